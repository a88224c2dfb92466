// Oriolecroft distributes model weights in bursts and routes live requests. One
// binary holds the two daemons and the operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/platform"
)

// Exit statuses, for scripts. They are listed in docs/OPERATING.md.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitRace        = 4
	exitUnavailable = 5
	exitUnconfirmed = 6
)

const helpMain = `
  First steps:
    oriolecroft bundle keygen --out operator.key
    oriolecroft bundle new --out bundle.json
    oriolecroft bundle check bundle.json
    oriolecroft bundle sign bundle.json --key operator.key --out signed.json
    oriolecroft bundle roll signed.json --store 127.0.0.1:7000 --keys "$(cat operator.key.pub)"
    oriolecroft status --operators 127.0.0.1:7201

  Exit status: 0 done, 1 failed, 2 bad arguments or settings, 3 invalid bundle,
  4 another operator was first, 5 the store did not answer, 6 accepted but not
  yet in force everywhere, or processes out of step.`

// command is a subcommand and the function that runs it.
type command struct {
	flags *flaggy.Subcommand
	run   func(ctx context.Context) error
}

func main() {
	defer klog.Flush()
	os.Exit(run())
}

func run() int {
	flaggy.SetName("oriolecroft")
	flaggy.SetDescription("distributes model weights in bursts and routes live requests")
	flaggy.DefaultParser.AdditionalHelpAppend = helpMain
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	commands := append(bundleCommands(), entryCommand(), agentCommand(), statusCommand(), drainCommand(), returnCommand(), experimentCommand())
	attachCommands(commands)
	platformSubcommands := platformCommands()
	attachPlatform(platformSubcommands)
	commands = append(commands, platformSubcommands...)
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, c := range commands {
		if c.flags.Used {
			return exitCode(c.run(ctx))
		}
	}
	flaggy.ShowHelp("")
	return exitUsage
}

// attachCommands attaches the commands to the parser, those of `bundle` to `bundle`.
func attachCommands(commands []command) {
	bundle := flaggy.NewSubcommand("bundle")
	bundle.Description = "make, check, sign, roll, show and compare bundles"
	bundle.AdditionalHelpAppend = helpBundle
	flaggy.AttachSubcommand(bundle, 1)
	for _, c := range commands {
		if isBundleCommand(c.flags.Name) {
			bundle.AttachSubcommand(c.flags, 1)
			continue
		}
		flaggy.AttachSubcommand(c.flags, 1)
	}
}

// newCommand makes a subcommand with its help text.
func newCommand(name, description, help string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = help
	return s
}

// UsageError reports a missing or invalid argument.
type UsageError struct {
	Problem string
}

func (e *UsageError) Error() string { return e.Problem }

// UnconfirmedError reports a bundle that was accepted but is not yet known to be
// in force everywhere.
type UnconfirmedError struct {
	Missing string
}

func (e *UnconfirmedError) Error() string {
	return "accepted, but not yet confirmed by " + e.Missing
}

// exitCode prints an error and returns the exit status for scripts.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "oriolecroft: "+err.Error())
	if o, ok := oops.AsOops(err); ok && o.Hint() != "" {
		fmt.Fprintln(os.Stderr, "hint: "+o.Hint())
	}
	var (
		usage        *UsageError
		settings     *configurer.FaultsError
		faults       *bundler.FaultsError
		syntax       *bundler.SyntaxError
		size         *bundler.SizeError
		signature    *bundler.SignatureError
		race         *publisher.RaceError
		unavailable  *storer.UnavailableError
		unknown      *storer.UnknownError
		unconfirmed  *UnconfirmedError
		disagree     *DisagreementError
		noEntry      *NoEntryError
		field        *platform.FieldError
		settingsFile *SettingsFaultsError
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &settings), errors.As(err, &field), errors.As(err, &settingsFile):
		return exitUsage
	case errors.As(err, &faults), errors.As(err, &syntax), errors.As(err, &size), errors.As(err, &signature):
		return exitInvalid
	case errors.As(err, &race):
		return exitRace
	case errors.As(err, &unavailable), errors.As(err, &unknown), errors.As(err, &noEntry):
		return exitUnavailable
	case errors.As(err, &unconfirmed), errors.As(err, &disagree):
		return exitUnconfirmed
	default:
		return exitFailed
	}
}
