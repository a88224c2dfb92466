// Standins simulates the systems outside oriolecroft, one per sub-command: the
// key-value service, the list of VMs, the weight store and origin, a model
// engine, a plain service, and the callers with their checks. It is meant for the
// demo and manual trials and does not simulate a cluster.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"
)

// shutdownGrace is the time limit for responses in progress after SIGTERM.
const shutdownGrace = 2 * time.Second

// command is one sub-command.
type command struct {
	flags *flaggy.Subcommand
	run   func(ctx context.Context) error
}

func main() {
	defer klog.Flush()
	flaggy.SetName("standins")
	flaggy.SetDescription("plays the systems outside oriolecroft")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	commands := []command{
		kvCommand(),
		listCommand(),
		originCommand(),
		engineCommand(),
		serviceCommand(),
		callerCommand(),
		checkCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.flags, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, c := range commands {
		if !c.flags.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			klog.ErrorS(err, "stopped", "command", c.flags.Name)
			klog.FlushAndExit(klog.ExitFlushTimeout, 1)
		}
		return
	}
	flaggy.ShowHelpAndExit("a sub-command is needed")
}

// newCommand returns a sub-command without flags.
func newCommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// serve handles HTTP requests on the address until ctx is done.
func serve(ctx context.Context, listen netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return err
	}
	klog.InfoS("listening", "address", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := s.Shutdown(grace); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.Close()
}

// splitList returns the non-empty parts of a comma-separated list.
func splitList(list string) []string {
	var parts []string
	for p := range strings.SplitSeq(list, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// parseAddresses returns the addresses in a comma-separated list.
func parseAddresses(list string) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, p := range splitList(list) {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}
