package limiter

import (
	"math"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// share is this entry's part of a rate; 0 stays 0, no limit.
func (l *Limiter) share(rate float64) float64 {
	n := l.entries()
	if n == 1 {
		return rate
	}
	return min(rate, rate/float64(n)*(1+l.borrow()))
}

// places is this entry's part of a number of concurrent requests: at least one,
// else a workspace with a limit below the number of entries would get nothing.
func (l *Limiter) places(most int) int {
	return max(1, int(math.Ceil(l.share(float64(most)))))
}

func (l *Limiter) entries() int {
	if l.Entries == nil {
		return 1
	}
	return max(1, l.Entries())
}

func (l *Limiter) borrow() float64 {
	if l.Borrow == 0 {
		return 0.5
	}
	return l.Borrow
}

func (l *Limiter) spread(d time.Duration) time.Duration {
	d = max(d, retrier.MinRetryAfter)
	return min(d+retrier.Spread(d/2, l.Random), retrier.MaxRetryAfter)
}
