package limiter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// DefaultCapacity is how many requests wait at most in a Queue.
const DefaultCapacity = 256

// Item is a request that asks for a place.
type Item struct {
	Workspace string
	// Priority decides who is shed; higher is kept longer.
	Priority int
	// Weight is the workspace's part of a saturated entry against others; 0
	// means 1.
	Weight float64
	// Cost is the request's size, such as its tokens; 0 means 1.
	Cost float64
	// Deadline is when the caller gives up; zero for never.
	Deadline time.Time
	// Again is set for a request that had its turn and then found its replica
	// full. It goes before those that have not; at the back, it would wait a
	// second time for what others took, and end as the one request in thousands
	// that is shed although there was room for all.
	Again bool
}

// Queue holds requests that found no free place, in the order of start-time fair
// queueing: each workspace's requests are served in turn with those of others,
// however many of them wait. It admits only what its measured rate lets start
// before the deadline; the rest is refused at once. Set the fields before use.
// It is safe for concurrent use.
type Queue struct {
	Clock clock.PassiveClock
	// Capacity bounds how many wait; 0 means DefaultCapacity.
	Capacity int
	// Random spreads the times to come back; nil means the process's own source.
	Random *rand.Rand

	mu      sync.Mutex
	waiting []*Waiter // in the order of tags
	flows   map[string]float64
	virtual float64
	rate    drainRate
	returns retrier.Returns
}

// Join puts a request into the queue. When it would not start before its
// deadline, or the queue is full, waiters of lower priority make room; failing
// that the error is a *ShedError, at once.
func (q *Queue) Join(i Item) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.expire(now)
	w := newWaiter(q, i, q.start(i))
	if err := q.makeRoom(w, now); err != nil {
		return nil, err
	}
	q.insert(w, now)
	return w, nil
}

// start is the turn of a newcomer.
func (q *Queue) start(i Item) float64 {
	switch {
	case !i.Again:
		return max(q.virtual, q.flows[i.Workspace])
	case len(q.waiting) > 0:
		return min(q.virtual, q.waiting[0].start)
	default:
		return q.virtual
	}
}

// Next takes out the waiter whose turn it is and wakes it; nil when none waits.
// Call it when a place is free.
func (q *Queue) Next() *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.expire(now)
	if len(q.waiting) == 0 {
		return nil
	}
	w := q.waiting[0]
	q.virtual = max(q.virtual, w.start)
	q.remove(0, now)
	w.wake(nil)
	return w
}

// Return puts back a waiter that Next gave when there turned out to be no place
// for it, ahead of all others. It gives a fresh Waiter for the same request, or
// a *ShedError when its deadline is over.
func (q *Queue) Return(w *Waiter) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if w.over(now) {
		return nil, q.shed("deadline before its turn", 0, now)
	}
	v := newWaiter(q, w.Item, w.start)
	q.rate.pass(now, len(q.waiting) > 0)
	q.waiting = slices.Insert(q.waiting, 0, v)
	return v, nil
}

// Finished counts a request of that cost as done, waited or not; one that was
// refused is not done. The rate at which this happens while others wait is what
// waits are worked out from.
func (q *Queue) Finished(cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		// What ends while nobody waits says how little was asked for.
		return
	}
	q.rate.pass(q.Clock.Now(), true)
	q.rate.finish(max(1, cost))
}

// Expire refuses waiters that can no longer start in time. Join and Next do this
// too; call it now and then while neither is called.
func (q *Queue) Expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(q.Clock.Now())
}

// Len is how many wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *Queue) capacity() int {
	if q.Capacity == 0 {
		return DefaultCapacity
	}
	return q.Capacity
}

// makeRoom sheds until the newcomer w fits, or refuses w.
func (q *Queue) makeRoom(w *Waiter, now time.Time) error {
	for len(q.waiting) >= q.capacity() {
		v := q.victim(w)
		if v == nil {
			return q.shed("queue full", q.waitOf(w), now)
		}
		q.evict(v, "place given to another", now)
	}
	for q.late(w, q.waitOf(w), now) {
		v := q.lowerAhead(w)
		if v == nil {
			return q.shed("deadline before its turn", q.waitOf(w), now)
		}
		q.evict(v, "place given to a higher priority", now)
	}
	return nil
}

// late tells whether a wait goes beyond the deadline. The first in line has no
// wait at whatever rate: with nobody waiting the rate cannot be measured anew, and
// one once measured too low would refuse everybody from then on.
func (q *Queue) late(w *Waiter, wait time.Duration, now time.Time) bool {
	return !w.Deadline.IsZero() && now.Add(wait).After(w.Deadline)
}

// waitOf is how long a newcomer would wait.
func (q *Queue) waitOf(w *Waiter) time.Duration {
	ahead := 0.0
	for _, v := range q.waiting {
		if v.start > w.start {
			break
		}
		ahead += v.cost()
	}
	return q.rate.time(ahead)
}

// victim is whom a full queue gives up for w: the last in line of the lowest
// priority, if that is below w's or, at the same priority, further back than w.
func (q *Queue) victim(w *Waiter) *Waiter {
	var worst *Waiter
	for _, v := range q.waiting {
		if worst == nil || v.Priority <= worst.Priority {
			worst = v
		}
	}
	if worst == nil || worst.Priority > w.Priority {
		return nil
	}
	if worst.Priority == w.Priority && worst.start <= w.start {
		return nil
	}
	return worst
}

// lowerAhead is the last in line of the lowest priority among those ahead of w
// with a priority below w's.
func (q *Queue) lowerAhead(w *Waiter) *Waiter {
	var worst *Waiter
	for _, v := range q.waiting {
		if v.start > w.start {
			break
		}
		if v.Priority < w.Priority && (worst == nil || v.Priority <= worst.Priority) {
			worst = v
		}
	}
	return worst
}

// expire refuses those whose turn, at the present rate, comes after their
// deadline: a caller learns it now instead of at the deadline.
func (q *Queue) expire(now time.Time) {
	q.rate.pass(now, len(q.waiting) > 0)
	ahead := 0.0
	var late []*Waiter
	for _, w := range q.waiting {
		if q.late(w, q.rate.time(ahead), now) || w.over(now) {
			late = append(late, w)
			continue
		}
		ahead += w.cost()
	}
	for _, w := range late {
		q.evict(w, "deadline before its turn", now)
	}
}

func (q *Queue) insert(w *Waiter, now time.Time) {
	q.rate.pass(now, len(q.waiting) > 0)
	if q.flows == nil {
		q.flows = map[string]float64{}
	}
	if !w.Again {
		q.flows[w.Workspace] = w.start + w.cost()/w.weight()
	}
	at := len(q.waiting)
	for at > 0 && w.before(q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, w)
}

// remove takes the waiter at i out. With the last one gone, all flows start
// equal again, which also keeps the map from growing for ever.
func (q *Queue) remove(i int, now time.Time) {
	q.rate.pass(now, true)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if len(q.waiting) == 0 {
		clear(q.flows)
	}
}

// forget takes out a waiter that was not served, and lets those of its workspace
// behind it move up. Otherwise a workspace would pay for turns that it never
// had: seen as a small one refused although it asks for less than its part.
func (q *Queue) forget(w *Waiter, now time.Time) {
	i := slices.Index(q.waiting, w)
	part := w.cost() / w.weight()
	if w.Again {
		part = 0
	}
	q.flows[w.Workspace] -= part
	for _, v := range q.waiting[i+1:] {
		if v.Workspace == w.Workspace {
			v.start -= part
		}
	}
	q.remove(i, now)
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int { return cmp.Compare(a.start, b.start) })
}

func (q *Queue) evict(v *Waiter, reason string, now time.Time) {
	q.forget(v, now)
	v.wake(q.shed(reason, 0, now))
}
