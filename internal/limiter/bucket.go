package limiter

import "time"

// bucketDepth is the time for which unused rate accumulates.
const bucketDepth = time.Second

// bucket is a token bucket whose rate may change at any time. A rate of 0 means
// no limit.
type bucket struct {
	rate  float64
	saved float64
	last  time.Time
}

// depth is the most that can accumulate: at least one request.
func (b *bucket) depth() float64 { return max(1, b.rate*bucketDepth.Seconds()) }

// fill sets the rate and adds what it earned since the last call.
func (b *bucket) fill(now time.Time, rate float64) {
	fresh := b.last.IsZero()
	b.rate = rate
	switch {
	case fresh:
		b.saved = b.depth()
		b.last = now
	case now.After(b.last):
		b.saved += now.Sub(b.last).Seconds() * rate
		b.last = now
	}
	b.saved = min(b.saved, b.depth())
}

// wait returns how long until n can be taken, 0 if n is available. A full
// bucket also covers an n above its depth and goes into debt: otherwise a long
// prompt would be refused forever.
func (b *bucket) wait(n float64) time.Duration {
	if b.rate == 0 {
		return 0
	}
	missing := min(n, b.depth()) - b.saved
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.saved -= n
	}
}
