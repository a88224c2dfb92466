package limiter

import (
	"slices"
	"time"
)

// Waiter is a request in a Queue.
type Waiter struct {
	Item

	queue *Queue
	start float64
	ready chan struct{}
	err   error
}

func newWaiter(q *Queue, i Item, start float64) *Waiter {
	return &Waiter{Item: i, queue: q, start: start, ready: make(chan struct{})}
}

// Ready is closed when the wait is over, one way or the other.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Err is nil when it is the request's turn, a *ShedError when it was given up.
// It may be called once Ready is closed.
func (w *Waiter) Err() error { return w.err }

// Leave takes the request out when its caller is gone, and tells whether it was
// still waiting. When it was not and Err is nil, the place is the caller's to
// give on.
func (w *Waiter) Leave() bool {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Contains(q.waiting, w) {
		return false
	}
	q.forget(w, q.Clock.Now())
	return true
}

// before tells whether w is served before v, which joined earlier.
func (w *Waiter) before(v *Waiter) bool {
	return w.start < v.start || w.start == v.start && w.Again && !v.Again
}

func (w *Waiter) wake(err error) {
	w.err = err
	close(w.ready)
}

// over tells whether the caller has given up.
func (w *Waiter) over(now time.Time) bool {
	return !w.Deadline.IsZero() && !now.Before(w.Deadline)
}

func (w *Waiter) cost() float64 { return max(1, w.Cost) }

func (w *Waiter) weight() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}
