package retrier

import (
	"math/rand/v2"
	"time"
)

// Returns hands out the times at which refused callers are to come back. They
// are successive, one place's time after another, the first once the present
// backlog is gone. With one time for all, the crowd that was refused would come
// back as a crowd, seen as refusals in waves with idle upstreams between.
//
// The zero value is ready. It is not safe for concurrent use.
type Returns struct {
	last time.Time
}

// Next gives the wait for one more caller: backlog is how long it takes until
// the present work is done, each how long between two places that come free.
// It lies between MinRetryAfter and MaxRetryAfter.
func (r *Returns) Next(now time.Time, backlog, each time.Duration, random *rand.Rand) time.Duration {
	next := r.last.Add(each)
	if first := now.Add(max(backlog, MinRetryAfter)); next.Before(first) {
		next = first
	}
	if next.Sub(now) > MaxRetryAfter {
		return MaxRetryAfter - Spread(MaxRetryAfter/2, random)
	}
	r.last = next
	wait := next.Sub(now)
	return min(wait+Spread(wait/4, random), MaxRetryAfter)
}
