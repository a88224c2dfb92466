// Package suspender plays a VM that can be suspended, for tests.
package suspender

import (
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
)

// VM is a VM that may be suspended for a while. Set the exported fields before use; it is
// safe for concurrent use.
type VM struct {
	// Steady is the VM's steady clock, by which its timers run too. It doesn't count the
	// time of a suspension.
	Steady clock.WithTicker

	mu        sync.Mutex
	suspended time.Duration
	// booted is the steady clock's time when the VM was first used.
	booted time.Time
}

// Suspend lets time pass outside in which nothing on the VM goes on, its steady clock
// included.
func (v *VM) Suspend(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspended += d
}

// Clock is what a daemon on the VM tells the ages of its beliefs by.
func (v *VM) Clock() clock.WithTicker {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.booted.IsZero() {
		v.booted = v.Steady.Now()
	}
	return &timekeeper.Clock{WithTicker: v.Steady, Elapsed: v.elapsed}
}

// elapsed is what the kernel of the VM tells.
func (v *VM) elapsed() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.Steady.Since(v.booted) + v.suspended
}
