package retrier

import (
	"math/rand/v2"
	"time"
)

// The bounds of RetryAfter.
const (
	MinRetryAfter = 20 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
)

// RetryAfter is when a refused caller should come back: once the backlog ahead
// of it (requests) is processed at rate (requests a second), plus up to half as
// much again, so that callers refused together do not return together. A rate of
// 0, with nothing finished recently, gives MaxRetryAfter less its jitter.
func RetryAfter(backlog int, rate float64, random *rand.Rand) time.Duration {
	wait := MaxRetryAfter
	if seconds := float64(backlog) / rate; rate > 0 && seconds < MaxRetryAfter.Seconds() {
		wait = time.Duration(seconds * float64(time.Second))
	}
	wait = max(wait, MinRetryAfter)
	if wait >= MaxRetryAfter {
		return MaxRetryAfter - Jitter(MaxRetryAfter/2, random)
	}
	return min(wait+Jitter(wait/2, random), MaxRetryAfter)
}
