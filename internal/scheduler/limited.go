package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

// leastLimit is the lowest limit, in requests a second over all entries, that is kept to. An
// upstream that gets no request can't state that its limit is over.
const leastLimit = 0.1

// Limit is the rate that an upstream states of itself in its replies.
type Limit struct {
	// Rate is in requests a second from all entries together; 0 for none.
	Rate float64
	// Age is how long ago it was stated.
	Age time.Duration
}

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

// limited is what an entry knows of the limit that an upstream states of itself.
type limited struct {
	rate float64
	// reported is when a reply last stated it, or left it out; zero for an upstream that never had one.
	reported time.Time
	turn     rateTurn
}

// NoteLimit notes whether a reply of an upstream states a limit, and returns whether it changed.
func (c *Chooser) NoteLimit(id string, states bool, perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	if !states && s.limited.reported.IsZero() {
		return false
	}
	if states {
		perSecond = max(perSecond, leastLimit)
	} else {
		perSecond = 0
	}
	changed := perSecond != s.limited.rate
	s.limited.rate, s.limited.reported = perSecond, c.Clock.Now()
	return changed
}

// Limit gives what an upstream last said of its limit; false for one that never stated any.
func (c *Chooser) Limit(id string) (Limit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	return Limit{Rate: s.limited.rate, Age: c.Clock.Since(s.limited.reported)}, !s.limited.reported.IsZero()
}

// LimitPass lets a request through to an upstream that states a limit, within this entry's part
// of it.
func (c *Chooser) LimitPass(id string, share RateShare) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).limited.turn.pass(c.Clock.Now(), share)
}
