// Package notifier wakes all who wait for a change.
package notifier

import "sync"

// Broadcast wakes everybody who waits, each time anew. The zero value is ready.
type Broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// Wait gives a channel that is closed at the next Wake. Take it before looking at
// what may change, or a change in between is missed.
func (b *Broadcast) Wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// Wake wakes all who wait.
func (b *Broadcast) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
