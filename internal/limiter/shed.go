package limiter

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// shed makes the refusal of one request. Refused callers are given successive
// times at the rate at which the queue drains, the first once the present
// backlog is gone: with one time for all, the crowd that was refused would come
// back as a crowd, seen as refusals in waves with idle upstreams between.
func (q *Queue) shed(reason string, wait time.Duration, now time.Time) error {
	backlog := 0.0
	for _, w := range q.waiting {
		backlog += w.cost()
	}
	each := backlog / float64(max(1, len(q.waiting)))
	free := now.Add(max(retrier.MinRetryAfter, q.rate.time(backlog)))
	next := q.returns.Add(q.rate.time(max(1, each)))
	if next.Before(free) {
		next = free
	}
	most := now.Add(retrier.MaxRetryAfter)
	if next.After(most) {
		next = most.Add(-retrier.Spread(retrier.MaxRetryAfter/2, q.Random))
	} else {
		q.returns = next
	}
	after := next.Sub(now)
	after = min(after+retrier.Spread(after/4, q.Random), retrier.MaxRetryAfter)
	return &ShedError{Reason: reason, Wait: wait, RetryAfter: after}
}
