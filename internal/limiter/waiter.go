package limiter

import (
	"slices"
	"time"
)

// Waiter is a request in a Queue.
type Waiter struct {
	Item

	queue    *Queue
	startTag float64
	ready    chan struct{}
	err      error
}

func newWaiter(q *Queue, i Item, startTag float64) *Waiter {
	return &Waiter{Item: i, queue: q, startTag: startTag, ready: make(chan struct{})}
}

// Ready is closed when the wait is over, served or shed.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Err is nil if it is the request's turn, a *ShedError if it was shed. It may
// be called once Ready is closed.
func (w *Waiter) Err() error { return w.err }

// Cancel removes the request when its caller is gone, and reports whether it was
// still waiting. If it was not and Err is nil, the caller must pass its slot on.
func (w *Waiter) Cancel() bool {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Contains(q.waiting, w) {
		return false
	}
	q.removeUnserved(w, q.Clock.Now())
	return true
}

// before reports whether w is served before v, which joined earlier.
func (w *Waiter) before(v *Waiter) bool {
	return w.startTag < v.startTag || w.startTag == v.startTag && w.Again && !v.Again
}

func (w *Waiter) finish(err error) {
	w.err = err
	close(w.ready)
}

// expired reports whether the deadline has passed.
func (w *Waiter) expired(now time.Time) bool {
	return !w.Deadline.IsZero() && !now.Before(w.Deadline)
}

func (w *Waiter) cost() float64 { return max(1, w.Cost) }

func (w *Waiter) weight() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}
