package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

// RateLimited is why an engine that has used up its stated limit accepts nothing.
const RateLimited = "rate limit"

// limitBurstSeconds is the burst of a limited engine, in seconds of its limit.
const limitBurstSeconds = 0.25

// statedLimit is the limit of one engine for the requests of all entries.
type statedLimit struct {
	limiter *rate.Limiter
	// statedAt is when the engine stated it.
	statedAt time.Time
}

// update adopts a statement unless a newer one is known.
func (l *statedLimit) update(perSecond float64, statedAt, now time.Time) {
	if !statedAt.After(l.statedAt) {
		return
	}
	l.statedAt = statedAt
	burst := max(1, int(limitBurstSeconds*perSecond))
	switch {
	case perSecond == 0:
		l.limiter = nil
	case l.limiter == nil:
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	case l.limiter.Limit() != rate.Limit(perSecond):
		l.limiter.SetLimitAt(now, rate.Limit(perSecond))
		l.limiter.SetBurstAt(now, burst)
	}
}

// allow reports whether one more request may go to the engine, and counts it.
func (l *statedLimit) allow(now time.Time) bool { return l.limiter == nil || l.limiter.AllowN(now, 1) }

// AllowLimited reports whether a request may go to an upstream that states a limit, within this entry's share
// of it.
func (c *Chooser) AllowLimited(id string, share RateShare) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream(id).limited.allow(c.Clock.Now(), share)
}
