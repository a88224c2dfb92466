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

// DefaultCapacity is the most requests that wait in a Queue.
const DefaultCapacity = 256

// Item is a request to be queued.
type Item struct {
	Workspace string
	// Priority decides which requests are shed; higher is kept longer.
	Priority int
	// Weight is the workspace's weight among others at a saturated entry; 0
	// means 1.
	Weight float64
	// Cost is the request's size, such as its tokens; 0 means 1.
	Cost float64
	// Deadline is when the caller gives up; zero for never.
	Deadline time.Time
	// Again is set for a request that had its turn and then found its replica
	// full. It precedes those that have not had one: at the back, it would wait
	// a second time for slots that others took, and be the one request in
	// thousands that is shed although there was capacity for all.
	Again bool
}

// Queue holds requests that found no free slot, in the order of start-time fair
// queueing: each workspace's requests are served in turn with those of others,
// regardless of how many wait. It admits only requests that can start before
// their deadline at the measured rate and refuses the rest at once. Set the
// fields before use. It is safe for concurrent use.
type Queue struct {
	Clock clock.PassiveClock
	// Capacity bounds how many requests wait; 0 means DefaultCapacity.
	Capacity int
	// Random spreads retry times; nil means the process's own source.
	Random *rand.Rand

	mu          sync.Mutex
	waiting     []*Waiter // by start tag
	finishTags  map[string]float64
	virtualTime float64
	rate        drainRate
	retryTimes  retrier.RetryTimes
}

// Join queues a request. If it would not start before its deadline, or the
// queue is full, waiters of lower priority are shed; if that is not enough,
// Join returns a *ShedError at once.
func (q *Queue) Join(i Item) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.expire(now)
	w := newWaiter(q, i, q.startTag(i))
	if err := q.makeRoom(w, now); err != nil {
		return nil, err
	}
	q.insert(w, now)
	return w, nil
}

// startTag is the start tag of a new request.
func (q *Queue) startTag(i Item) float64 {
	switch {
	case !i.Again:
		return max(q.virtualTime, q.finishTags[i.Workspace])
	case len(q.waiting) > 0:
		return min(q.virtualTime, q.waiting[0].startTag)
	default:
		return q.virtualTime
	}
}

// Next removes and finishes the wait of the waiter whose turn it is; nil if
// none waits. Call it when a slot is free.
func (q *Queue) Next() *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.expire(now)
	if len(q.waiting) == 0 {
		return nil
	}
	w := q.waiting[0]
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.remove(0, now)
	w.finish(nil)
	return w
}

// Requeue puts a waiter that Next returned back ahead of all others, for use
// when there was no slot for it. It returns a new Waiter for the same request,
// or a *ShedError after its deadline.
func (q *Queue) Requeue(w *Waiter) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if w.expired(now) {
		return nil, q.shedError("deadline before its turn", 0, now)
	}
	v := newWaiter(q, w.Item, w.startTag)
	q.rate.advance(now, len(q.waiting) > 0)
	q.waiting = slices.Insert(q.waiting, 0, v)
	return v, nil
}

// Finished counts a request of the given cost as completed, whether or not it
// waited; refused requests don't count. The rate at which requests complete
// while others wait is used to estimate waits.
func (q *Queue) Finished(cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		// The completion rate of an empty queue reflects demand, not capacity.
		return
	}
	q.rate.advance(q.Clock.Now(), true)
	q.rate.addCost(max(1, cost))
}

// Expire refuses waiters that can no longer start in time. Join and Next do this
// too; call it periodically in case neither is called.
func (q *Queue) Expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(q.Clock.Now())
}

// Len is the number of waiters.
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

// makeRoom sheds waiters until the new waiter w fits, or refuses w.
func (q *Queue) makeRoom(w *Waiter, now time.Time) error {
	for len(q.waiting) >= q.capacity() {
		v := q.victim(w)
		if v == nil {
			return q.shedError("queue full", q.expectedWait(w), now)
		}
		q.evict(v, "place given to another", now)
	}
	for q.missesDeadline(w, q.expectedWait(w), now) {
		v := q.lowerPriorityAhead(w)
		if v == nil {
			return q.shedError("deadline before its turn", q.expectedWait(w), now)
		}
		q.evict(v, "place given to a higher priority", now)
	}
	return nil
}

// missesDeadline reports whether a wait ends after the deadline. The first in the
// queue has no wait at any rate: the rate can't be measured while the queue is
// empty, so one measured too low would refuse every request from then on.
func (q *Queue) missesDeadline(w *Waiter, wait time.Duration, now time.Time) bool {
	return !w.Deadline.IsZero() && now.Add(wait).After(w.Deadline)
}

// expectedWait is how long a new waiter would wait.
func (q *Queue) expectedWait(w *Waiter) time.Duration {
	ahead := 0.0
	for _, v := range q.waiting {
		if v.startTag > w.startTag {
			break
		}
		ahead += v.cost()
	}
	return q.rate.durationOf(ahead)
}

// victim is the waiter that a full queue sheds for w: the last of the lowest
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
	if worst.Priority == w.Priority && worst.startTag <= w.startTag {
		return nil
	}
	return worst
}

// lowerPriorityAhead is the last of the lowest priority among the waiters ahead
// of w with a priority below w's.
func (q *Queue) lowerPriorityAhead(w *Waiter) *Waiter {
	var worst *Waiter
	for _, v := range q.waiting {
		if v.startTag > w.startTag {
			break
		}
		if v.Priority < w.Priority && (worst == nil || v.Priority <= worst.Priority) {
			worst = v
		}
	}
	return worst
}

// expire refuses waiters whose turn, at the current rate, comes after their
// deadline, so that callers are refused early instead of at the deadline.
func (q *Queue) expire(now time.Time) {
	q.rate.advance(now, len(q.waiting) > 0)
	ahead := 0.0
	var late []*Waiter
	for _, w := range q.waiting {
		if q.missesDeadline(w, q.rate.durationOf(ahead), now) || w.expired(now) {
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
	q.rate.advance(now, len(q.waiting) > 0)
	if q.finishTags == nil {
		q.finishTags = map[string]float64{}
	}
	if !w.Again {
		q.finishTags[w.Workspace] = w.startTag + w.cost()/w.weight()
	}
	pos := len(q.waiting)
	for pos > 0 && w.before(q.waiting[pos-1]) {
		pos--
	}
	q.waiting = slices.Insert(q.waiting, pos, w)
}

// remove removes the waiter at i. An empty queue resets all finish tags, which
// also keeps the map from growing without bound.
func (q *Queue) remove(i int, now time.Time) {
	q.rate.advance(now, true)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if len(q.waiting) == 0 {
		clear(q.finishTags)
	}
}

// removeUnserved removes a waiter that was not served and moves up those of its
// workspace behind it. Otherwise the workspace would be charged for requests
// that never ran, and a small one refused although it stays below its share.
func (q *Queue) removeUnserved(w *Waiter, now time.Time) {
	i := slices.Index(q.waiting, w)
	service := w.cost() / w.weight()
	if w.Again {
		service = 0
	}
	q.finishTags[w.Workspace] -= service
	for _, v := range q.waiting[i+1:] {
		if v.Workspace == w.Workspace {
			v.startTag -= service
		}
	}
	q.remove(i, now)
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int { return cmp.Compare(a.startTag, b.startTag) })
}

func (q *Queue) evict(v *Waiter, reason string, now time.Time) {
	q.removeUnserved(v, now)
	v.finish(q.shedError(reason, 0, now))
}
