package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

// RateLimited is why an engine takes nothing that has got what its limit allows.
const RateLimited = "rate limit"

// limitBurst is how many seconds of its limit an engine may get at once.
const limitBurst = 0.25

// statedLimit is the limit of one engine for requests from all entries.
type statedLimit struct {
	limiter *rate.Limiter
	// stated is when the engine stated it.
	stated time.Time
}

// set takes over what was stated at a moment, unless something newer is known.
func (l *statedLimit) set(perSecond float64, stated, now time.Time) {
	if !stated.After(l.stated) {
		return
	}
	l.stated = stated
	burst := max(1, int(limitBurst*perSecond))
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

// allow tells whether one more request may go there now, and counts it.
func (l *statedLimit) allow(now time.Time) bool { return l.limiter == nil || l.limiter.AllowN(now, 1) }

// LimitPass lets a request through to an upstream that states a limit, within this entry's part
// of it.
func (c *Chooser) LimitPass(id string, share RateShare) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).limited.pass(c.Clock.Now(), share)
}
