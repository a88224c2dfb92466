package limiter

import "time"

// shed makes the refusal of one request, with a time to come back worked out
// from the backlog and the rate at which it drains.
func (q *Queue) shed(reason string, wait time.Duration, now time.Time) error {
	backlog := 0.0
	for _, w := range q.waiting {
		backlog += w.cost()
	}
	each := max(1, backlog/float64(max(1, len(q.waiting))))
	after := q.returns.Next(now, q.rate.time(backlog), q.rate.time(each), q.Random)
	return &ShedError{Reason: reason, Wait: wait, RetryAfter: after}
}
