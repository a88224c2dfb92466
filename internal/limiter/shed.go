package limiter

import "time"

// shedError builds the refusal of one request, with a retry time derived from
// the backlog and the drain rate.
func (q *Queue) shedError(reason string, wait time.Duration, now time.Time) error {
	backlog := 0.0
	for _, w := range q.waiting {
		backlog += w.cost()
	}
	meanCost := max(1, backlog/float64(max(1, len(q.waiting))))
	after := q.retryTimes.Next(now, q.rate.durationOf(backlog), q.rate.durationOf(meanCost), q.Random)
	return &ShedError{Reason: reason, Wait: wait, RetryAfter: after}
}
