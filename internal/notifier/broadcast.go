// Package notifier signals changes to all goroutines that wait for them.
package notifier

import "sync"

// Broadcast signals each change to all waiting goroutines. The zero value is ready.
type Broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// Wait returns a channel that is closed at the next NotifyAll. Call it before reading the state
// that may change, or a change in between is missed.
func (b *Broadcast) Wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// NotifyAll unblocks all waiting goroutines.
func (b *Broadcast) NotifyAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
