// Package soaker runs the system's real programs as separate processes on loopback against stand-ins
// of everything around them, injects faults from outside, and has an auditor check the promises
// meanwhile.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// Options are the settings of a run.
type Options struct {
	// Seed determines the faults.
	Seed uint64
	// Length is the length of the run.
	Length time.Duration
	// Entries, Engines and Services are the numbers of VMs of each kind.
	Entries, Engines, Services int
	// Binary is the program under test, Dir the directory for settings and logs.
	Binary, Dir string
	// Out receives the report; Log receives one line for each fault and each broken promise.
	Out, Log io.Writer
}

// OptionError reports an invalid option.
type OptionError struct{ Option, Problem string }

func (e *OptionError) Error() string { return e.Option + ": " + e.Problem }

// leastLength leaves some seconds for faults; mostVMs limits the processes to a few hundred. mostPairs
// bounds entries times engines: each entry keeps connections to each engine and its agent through
// links that hold two descriptors for each, of the 20,000 that a process has on our machines. Faults
// of the store add connections, see ErrDescriptors.
const (
	leastLength = settle + recovery + shown + 5*time.Second
	mostVMs     = 250
	mostPairs   = 5000
)

// Check rejects invalid options.
func (o *Options) Check() error {
	switch {
	case o.Length < leastLength:
		return &OptionError{"seconds", fmt.Sprintf("must be at least %.0f", leastLength.Seconds())}
	case o.Entries < 1 || o.Entries > mostVMs:
		return &OptionError{"entries", fmt.Sprintf("must be from 1 to %d", mostVMs)}
	case o.Engines < 1 || o.Engines > mostVMs:
		return &OptionError{"engines", fmt.Sprintf("must be from 1 to %d", mostVMs)}
	case o.Entries*o.Engines > mostPairs:
		return &OptionError{"engines", fmt.Sprintf("must be at most %d with %d entries", mostPairs/o.Entries, o.Entries)}
	case o.Services < 2 || o.Services > mostVMs:
		return &OptionError{"services", fmt.Sprintf("must be from 2 to %d", mostVMs)}
	}
	return nil
}

// Run performs one run and reports whether all promises were kept; an error is one of the soak itself.
// When the context ends early, it ends what it started and reports what is left unchecked.
func Run(ctx context.Context, o Options) (kept bool, err error) {
	if err := o.Check(); err != nil {
		return false, err
	}
	w := newWorld(&o)
	defer w.close()
	if err := w.start(); err != nil {
		return false, err
	}
	faults := plan(o.Seed, o.Length)
	w.say("seed %d: %d faults in %v", o.Seed, len(faults), o.Length)
	running, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	w.running = running
	made := w.play(running, faults)
	w.close()
	if ctx.Err() != nil {
		fmt.Fprintf(o.Out, "interrupted: %d of %d faults made, recovery not checked\n", made, len(faults))
	} else {
		w.audit.Finish(w.began.Add(o.Length - shown))
	}
	kept = w.audit.Report(o.Out)
	if w.short() {
		return false, ErrDescriptors
	}
	return kept, nil
}

// ErrDescriptors reports a run without a result: connections failed because the soak itself ran out of
// descriptors, which is a fault that no plan contains.
var ErrDescriptors = errors.New("the soak ran out of descriptors, so that the run has no verdict; take fewer entries or engines")

// play runs callers and faults until the context ends.
func (w *world) play(ctx context.Context, faults []fault) (made int) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { w.newCaller(i).run(ctx) })
	}
	all.Go(func() { w.watchStalls(ctx) })
	for _, p := range w.processes() {
		all.Go(func() { w.say("%s took %d MB at most", p.name, p.watchMemory(ctx)/bytesPerMB) })
	}
	for _, f := range faults {
		if !sleep(ctx, time.Until(w.began.Add(f.At))) {
			break
		}
		w.say("%v", f)
		made++
		all.Go(func() { w.make(f) })
	}
	<-ctx.Done()
	all.Wait()
	return made
}

// stallEvery is how often the soak looks whether it is itself held up, longStall from
// what on it says so: its own delay would show as that of the system.
const (
	stallEvery = 10 * time.Millisecond
	longStall  = 100 * time.Millisecond
)

func (w *world) watchStalls(ctx context.Context) {
	for last := time.Now(); sleep(ctx, stallEvery); {
		now := time.Now()
		if late := now.Sub(last) - stallEvery; late > longStall {
			w.say("the soak itself stood still for %v", late)
		}
		last = now
	}
}

// sleep waits and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// wait pauses until the time passes or the run ends; it reports whether the run continues.
func (w *world) wait(d time.Duration) bool { return sleep(w.running, d) }

// say writes a line of the run's log.
func (w *world) say(format string, args ...any) {
	w.logging.Lock()
	defer w.logging.Unlock()
	fmt.Fprintf(w.Log, "%7.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// newAuditor returns the auditor of a run.
func (w *world) newAuditor() *auditor.Auditor {
	b := w.bounds
	return &auditor.Auditor{
		Bounds: auditor.Bounds{
			StableWindow: b.StableWindow, Drain: b.Drain, Evacuate: b.Evacuate, ConfigApply: b.ConfigApply, Weights: b.Weights,
			RollbackSlack: b.RollbackSlack, Grace: b.Grace, LossSlack: b.LossSlack, RetryWindow: b.RetryWindow,
			RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack,
		},
		Clock:    clock.RealClock{},
		OnBroken: func(b *auditor.Violation) { w.say("BROKEN %v", b) },
	}
}
