package retrier

import (
	"math/rand/v2"
	"time"
)

// RetryTimes assigns the times at which refused callers should come back. They
// are successive, one for each slot that becomes free, the first once the
// present backlog is processed. With one time for all, refused callers would
// come back together and be refused in waves, with idle upstreams in between.
//
// The zero value is ready to use. It is not safe for concurrent use.
type RetryTimes struct {
	last time.Time
}

// Next returns the wait of one more caller: backlog is how long the present
// work takes, each the interval at which slots become free. The wait lies
// between MinRetryAfter and MaxRetryAfter.
func (r *RetryTimes) Next(now time.Time, backlog, each time.Duration, random *rand.Rand) time.Duration {
	next := r.last.Add(each)
	if first := now.Add(max(backlog, MinRetryAfter)); next.Before(first) {
		next = first
	}
	if next.Sub(now) > MaxRetryAfter {
		return MaxRetryAfter - Jitter(MaxRetryAfter/2, random)
	}
	r.last = next
	wait := next.Sub(now)
	return min(wait+Jitter(wait/4, random), MaxRetryAfter)
}
