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

// minLength leaves some seconds for faults; maxVMs limits the processes to a few hundred. maxPairs
// bounds entries times engines: each entry keeps connections to each engine and its agent through
// links that hold two descriptors for each, of the 20,000 that a process has on our machines. Faults
// of the store add connections, see ErrDescriptors.
const (
	minLength = startupTime + recovery + recoveryCheck + 5*time.Second
	maxVMs    = 250
	maxPairs  = 5000
)

// Check rejects invalid options.
func (o *Options) Check() error {
	switch {
	case o.Length < minLength:
		return &OptionError{"seconds", fmt.Sprintf("must be at least %.0f", minLength.Seconds())}
	case o.Entries < 1 || o.Entries > maxVMs:
		return &OptionError{"entries", fmt.Sprintf("must be from 1 to %d", maxVMs)}
	case o.Engines < 1 || o.Engines > maxVMs:
		return &OptionError{"engines", fmt.Sprintf("must be from 1 to %d", maxVMs)}
	case o.Entries*o.Engines > maxPairs:
		return &OptionError{"engines", fmt.Sprintf("must be at most %d with %d entries", maxPairs/o.Entries, o.Entries)}
	case o.Services < 2 || o.Services > maxVMs:
		return &OptionError{"services", fmt.Sprintf("must be from 2 to %d", maxVMs)}
	}
	return nil
}

// Run performs one run and reports whether all promises were kept; an error is one of the soak itself.
// When the context ends early, it ends what it started and reports what is left unchecked.
func Run(ctx context.Context, o Options) (kept bool, err error) {
	if err := o.Check(); err != nil {
		return false, err
	}
	w := newDeployment(&o)
	defer w.close()
	if err := w.start(); err != nil {
		return false, err
	}
	faults := drawPlan(o.Seed, o.Length)
	w.logf("seed %d: %d faults in %v", o.Seed, len(faults), o.Length)
	runCtx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	w.running = runCtx
	applied := w.runFaults(runCtx, faults)
	w.close()
	if ctx.Err() != nil {
		fmt.Fprintf(o.Out, "interrupted: %d of %d faults made, recovery not checked\n", applied, len(faults))
	} else {
		w.audit.Finish(w.startedAt.Add(o.Length - recoveryCheck))
	}
	kept = w.audit.Report(o.Out)
	if w.outOfDescriptors() {
		return false, ErrDescriptors
	}
	return kept, nil
}

// ErrDescriptors reports a run without a result: connections failed because the soak itself ran out of
// descriptors, which is a fault that no plan contains.
var ErrDescriptors = errors.New("the soak ran out of descriptors, so that the run has no verdict; take fewer entries or engines")

// runFaults runs callers and faults until the context ends.
func (w *deployment) runFaults(ctx context.Context, faults []fault) (applied int) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { w.newCaller(i).run(ctx) })
	}
	all.Go(func() { w.watchStalls(ctx) })
	for _, p := range w.processes() {
		all.Go(func() { w.logf("%s took %d MB at most", p.name, p.watchMemory(ctx)/bytesPerMB) })
	}
	for _, f := range faults {
		if !sleep(ctx, time.Until(w.startedAt.Add(f.At))) {
			break
		}
		w.logf("%v", f)
		applied++
		all.Go(func() { w.applyFault(f) })
	}
	<-ctx.Done()
	all.Wait()
	return applied
}

// stallCheckInterval is how often the soak checks whether it is itself delayed, longStall the delay that it
// reports: its own delay would look like one of the system.
const (
	stallCheckInterval = 10 * time.Millisecond
	longStall          = 100 * time.Millisecond
)

func (w *deployment) watchStalls(ctx context.Context) {
	for last := time.Now(); sleep(ctx, stallCheckInterval); {
		now := time.Now()
		if late := now.Sub(last) - stallCheckInterval; late > longStall {
			w.logf("the soak itself stood still for %v", late)
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
func (w *deployment) wait(d time.Duration) bool { return sleep(w.running, d) }

// logf writes a line of the run's log.
func (w *deployment) logf(format string, args ...any) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	fmt.Fprintf(w.Log, "%7.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// newAuditor returns the auditor of a run.
func (w *deployment) newAuditor() *auditor.Auditor {
	b := w.bounds
	return &auditor.Auditor{
		Bounds: auditor.Bounds{
			StableWindow: b.StableWindow, Drain: b.Drain, Evacuate: b.Evacuate, ConfigApply: b.ConfigApply, Weights: b.Weights,
			RollbackSlack: b.RollbackSlack, Grace: b.Grace, LossSlack: b.LossSlack, RetryWindow: b.RetryWindow,
			RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack,
		},
		Clock:    clock.RealClock{},
		OnBroken: func(b *auditor.Violation) { w.logf("BROKEN %v", b) },
	}
}
