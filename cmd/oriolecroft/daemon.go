package main

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/internal/logger"
)

// gcPercent is the growth of a daemon's heap between two collections, in percent.
// With Go's default of 100, a heap of a few megabytes, which is all that control
// needs, would be collected several times a second to little effect.
const gcPercent = 400

// daemonCommand makes the subcommand of a daemon; envErr reports faults in its
// environment.
func daemonCommand(flags *flaggy.Subcommand, envErr error, run func(ctx context.Context) error) command {
	return command{flags: flags, run: func(ctx context.Context) error {
		if envErr != nil {
			return &UsageError{Problem: envErr.Error()}
		}
		return run(ctx)
	}}
}

// heapPerClientMemory is the heap, as a multiple of the memory that clients may use, from which on the runtime collects garbage
// more often.
const heapPerClientMemory = 2.5

// prepareDaemon applies the settings that both daemons share, and loads the certificates. The daemon uses so many bytes of
// memory for other purposes than clients.
func prepareDaemon(s *configurer.Common, otherMemory int64) (*certifier.Certifier, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapPerClientMemory*float64(s.ClientMemory)) + otherMemory)
	logger.KeepRunningWithoutReader()
	var l klog.Level
	if err := l.Set(strconv.Itoa(s.Verbosity)); err != nil {
		return nil, err
	}
	return s.Certifier()
}

// mainShare is the share of a process's limits for the requests of the listener that it is there for, so that some is left
// for peers and operators.
const mainShare = 0.75

// listen opens a port.
func listen(address netip.AddrPort, limits *acceptor.Limits) (*acceptor.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, listenError(err, address)
	}
	return limits.Listen(l), nil
}

// listenError adds the address and a hint to an error of net.Listen.
func listenError(err error, address netip.AddrPort) error {
	return oops.Hint("is another process on that port, and is the address this VM's?").Wrapf(err, "listen on %v", address)
}
