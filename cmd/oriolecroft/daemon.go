package main

import (
	"context"
	"net/netip"
	"runtime/debug"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/configurer"
)

// garbagePercent is how much a daemon's heap grows between two collections. Of a
// few megabytes, which is all that control needs, Go's own 100 would collect
// several times a second for as little.
const garbagePercent = 400

// daemonCommand makes the sub-command of a daemon; fault is what was wrong with its
// environment.
func daemonCommand(flags *flaggy.Subcommand, fault error, run func(ctx context.Context) error) command {
	return command{flags: flags, run: func(ctx context.Context) error {
		if fault != nil {
			return &UsageError{Problem: fault.Error()}
		}
		return run(ctx)
	}}
}

// prepareDaemon sets what both daemons have in common, and reads the certificates.
func prepareDaemon(s *configurer.Common) (*certifier.Certifier, error) {
	debug.SetGCPercent(garbagePercent)
	var l klog.Level
	if err := l.Set(strconv.Itoa(s.Verbosity)); err != nil {
		return nil, err
	}
	return s.Certifier()
}

// listenError says which address was not to be had.
func listenError(err error, at netip.AddrPort) error {
	return oops.Hint("is another process on that port, and is the address this VM's?").Wrapf(err, "listen on %v", at)
}
