// Package suspender plays a VM that can be suspended, for tests.
package suspender

import (
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// VM is a VM that may be suspended for a while. Set the exported fields before use; it is
// safe for concurrent use.
type VM struct {
	// Steady is the VM's steady clock, by which its timers run too. It doesn't count the
	// time of a suspension.
	Steady clock.WithTicker

	mu        sync.Mutex
	suspended time.Duration
}

// Suspend lets time pass outside in which nothing on the VM goes on, its steady clock
// included.
func (v *VM) Suspend(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspended += d
}

// Outside is how long the VM has been suspended so far.
func (v *VM) Outside() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.suspended
}

// Clock is what a daemon on the VM tells the ages of its beliefs by.
func (v *VM) Clock() clock.WithTicker { return v.Steady }
