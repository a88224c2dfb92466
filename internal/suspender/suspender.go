// Package suspender simulates a VM that can be suspended, for tests.
package suspender

import (
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
)

// VM is a simulated VM that may be suspended. Set the exported fields before use; it is
// safe for concurrent use.
type VM struct {
	// Steady is the VM's monotonic clock, which also runs its timers. It doesn't count the
	// time of a suspension.
	Steady clock.WithTicker

	mu        sync.Mutex
	suspended time.Duration
	// booted is the monotonic clock's time when the VM was first used.
	booted time.Time
}

// Suspend simulates a suspension: time passes, but the VM and its monotonic clock are
// stopped.
func (v *VM) Suspend(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspended += d
}

// Clock returns the clock by which a daemon on the VM measures the age of its state.
func (v *VM) Clock() clock.WithTicker {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.booted.IsZero() {
		v.booted = v.Steady.Now()
	}
	return &timekeeper.Clock{WithTicker: v.Steady, Elapsed: v.elapsed}
}

// elapsed is the uptime of the VM as its kernel reports it.
func (v *VM) elapsed() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.Steady.Since(v.booted) + v.suspended
}
