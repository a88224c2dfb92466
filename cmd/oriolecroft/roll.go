package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/internal/inspector"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const helpRoll = `
  Puts a signed bundle into force: one compare-and-swap in the store, after which
  every entry and agent takes it over within seconds. Repeating the command does
  no harm. With --operators it then shows how far the roll has come, and waits
  until everybody has confirmed and all replicas serve the new versions.

  Example:
    oriolecroft bundle roll signed.json --store 127.0.0.1:7000 \
      --keys "$(cat operator.key.pub)" --operators 127.0.0.1:7201,127.0.0.1:7202`

const helpDrain = `
  Takes a failure domain out: writes, signs and rolls the next bundle with the
  domain drained. Work under way there is finished, new work goes elsewhere.

  Example:
    oriolecroft drain huon-a --key operator.key --store 127.0.0.1:7000 \
      --keys "$(cat operator.key.pub)" --operators 127.0.0.1:7201`

const helpReturn = `
  Brings a drained failure domain back: writes, signs and rolls the next bundle.

  Example:
    oriolecroft return huon-a --key operator.key --store 127.0.0.1:7000 \
      --keys "$(cat operator.key.pub)" --operators 127.0.0.1:7201`

// rollPollInterval is how often a roll in progress is polled.
const rollPollInterval = 200 * time.Millisecond

// rollFlags holds the entries to poll for a roll's progress, and the time limit.
type rollFlags struct {
	storeFlags
	tls       configurer.TLS
	operators []string
	wait      time.Duration
}

func (r *rollFlags) bind(flags *flaggy.Subcommand) {
	r.storeFlags.bind(flags)
	r.wait = defaultRollWait
	flags.StringSlice(&r.operators, "", "operators", "operators' addresses of the entries, with commas or repeated [OC_ENTRIES_OPERATORS]")
	bindTLS(&r.tls, flags)
	flags.Duration(&r.wait, "", "wait", "how long to wait until the bundle is in force everywhere")
}

// entryAddresses returns the operators' addresses of the entries.
func (r *rollFlags) entryAddresses() ([]netip.AddrPort, error) {
	return operatorAddresses(r.operators)
}

func operatorAddresses(values []string) ([]netip.AddrPort, error) {
	list := strings.Join(values, ",")
	if list == "" {
		list = os.Getenv("OC_ENTRIES_OPERATORS")
	}
	var as []netip.AddrPort
	for _, v := range strings.Split(list, ",") {
		if v = strings.TrimSpace(v); v == "" {
			continue
		}
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, &UsageError{Problem: fmt.Sprintf("--operators: %q is no IP number and port", v)}
		}
		as = append(as, a)
	}
	return as, nil
}

func rollCommand() command {
	var r rollFlags
	file := ""
	flags := newCommand("roll", "put a signed bundle into force", helpRoll)
	r.bind(flags)
	flags.AddPositionalValue(&file, "FILE", 1, true, "signed bundle")
	return command{flags: flags, run: func(ctx context.Context) error {
		record, err := readRecord(file)
		if err != nil {
			return err
		}
		return r.roll(ctx, record)
	}}
}

// roll publishes a record and waits until it is in force.
func (r *rollFlags) roll(ctx context.Context, record *bundler.Record) error {
	p, err := r.publisher()
	if err != nil {
		return err
	}
	addresses, err := r.entryAddresses()
	if err != nil {
		return err
	}
	result, err := p.Publish(ctx, record)
	if err != nil {
		explainRace(err)
		return err
	}
	outcome := "accepted"
	if result.AlreadyAccepted {
		outcome = "was accepted before"
	}
	fmt.Printf("revision %d (change %s) %s\n", result.Bundle.Revision, result.Bundle.ChangeID, outcome)
	i, err := newInspector(&r.tls)
	if err != nil {
		return err
	}
	offerBundle(ctx, i, addresses, record)
	return watchRoll(ctx, i, result.Bundle, addresses, r.wait)
}

// offerBundle sends the accepted bundle to the entries, so that they don't wait for
// the store. An entry that can't be reached receives it from the others; watchRoll
// shows which entries have it.
func offerBundle(ctx context.Context, i inspector.Inspector, addresses []netip.AddrPort, record *bundler.Record) {
	for _, a := range addresses {
		if err := i.SendBundle(ctx, a, record); err != nil {
			fmt.Fprintf(os.Stderr, "bundle not handed to the entry at %v: %v\n", a, err)
		}
	}
}

// explainRace prints the difference from the bundle that won a race and the next steps.
func explainRace(err error) {
	var race *publisher.RaceError
	if !errors.As(err, &race) {
		return
	}
	fmt.Fprintf(os.Stderr, "another change is in force. From it to yours:\n")
	for _, c := range bundler.Diff(race.Accepted, race.Ours) {
		fmt.Fprintf(os.Stderr, "  %-45s %s -> %s\n", c.Field, orDash(c.Old), orDash(c.New))
	}
	fmt.Fprintln(os.Stderr, "To go on from it: oriolecroft bundle new --store ... --keys ... --out bundle.json, make your change, sign and roll again.")
}

// watchRoll prints the progress of a roll until it is complete or the wait is over.
func watchRoll(ctx context.Context, i inspector.Inspector, b *bundler.Bundle, addresses []netip.AddrPort, wait time.Duration) error {
	if len(addresses) == 0 {
		fmt.Println("no --operators given: not waiting for confirmation")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	t := time.NewTicker(rollPollInterval)
	defer t.Stop()
	lastLine := ""
	for {
		p := inspector.Measure(b, i.Survey(ctx, addresses))
		if line := p.String(); line != lastLine && ctx.Err() == nil {
			fmt.Println(line)
			lastLine = line
		}
		if p.AllReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnconfirmedError{Missing: missingText(p)}
		case <-t.C:
		}
	}
}

func missingText(p inspector.Progress) string {
	if len(p.Missing) > 0 {
		return strings.Join(p.Missing, ", ")
	}
	return fmt.Sprintf("%d replicas still without the new weights", p.AllReplicas-p.Ready)
}

func drainCommand() command {
	return drainStateCommand("drain", "take a failure domain out", helpDrain, true)
}

func returnCommand() command {
	return drainStateCommand("return", "bring a drained failure domain back", helpReturn, false)
}

func drainStateCommand(name, description, help string, drained bool) command {
	var r rollFlags
	var domain, key string
	flags := newCommand(name, description, help)
	r.bind(flags)
	flags.AddPositionalValue(&domain, "DOMAIN", 1, true, "failure domain")
	flags.String(&key, "", "key", "file with the operator's private key")
	return command{flags: flags, run: func(ctx context.Context) error {
		record, err := r.nextWithDomain(ctx, name, domain, drained)
		if err != nil || record == nil {
			return err
		}
		if err := signWithKeyFile(record, key); err != nil {
			return err
		}
		return r.roll(ctx, record)
	}}
}

// nextWithDomain makes the next bundle with a domain drained or not; nil if the
// domain already has that state in the bundle in force.
func (r *rollFlags) nextWithDomain(ctx context.Context, verb, domain string, drained bool) (*bundler.Record, error) {
	b, err := r.nextBundle(ctx)
	if err != nil {
		return nil, err
	}
	d, ok := b.Domain(domain)
	if !ok {
		return nil, &UsageError{Problem: fmt.Sprintf("no failure domain %q in the bundle in force", domain)}
	}
	if d.Drained == drained {
		fmt.Printf("nothing to do: the bundle in force already says so of %s\n", domain)
		return nil, nil
	}
	for i := range b.FailureDomains {
		if b.FailureDomains[i].Name == domain {
			b.FailureDomains[i].Drained = drained
		}
	}
	b.Note = verb + " " + domain
	if err := b.Validate(); err != nil {
		return nil, err
	}
	data, err := b.Encode()
	if err != nil {
		return nil, err
	}
	return &bundler.Record{Payload: data}, nil
}
