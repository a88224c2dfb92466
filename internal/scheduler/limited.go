package scheduler

import "time"

// leastLimit is the lowest limit, in requests a second over all entries, that is kept to. An
// upstream that gets no request can't tell that its limit is over.
const leastLimit = 0.5

// Limit is the rate that an upstream states of itself in its replies.
type Limit struct {
	// Rate is in requests a second from all entries together; 0 for none.
	Rate float64
	// Age is how long ago it was stated.
	Age time.Duration
}

// limited is what an entry knows of the limit that an upstream states of itself.
type limited struct {
	rate float64
	// heard is when it was last stated, or left out; zero for an upstream that never had one.
	heard time.Time
	turn  rateTurn
}

// HeardLimit notes whether a reply of an upstream states a limit, and tells whether that is news.
func (c *Chooser) HeardLimit(id string, states bool, rate float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	if !states {
		rate = 0
	} else {
		rate = max(rate, leastLimit)
	}
	if rate == 0 && s.limited.heard.IsZero() {
		return false
	}
	changed := rate != s.limited.rate
	s.limited.rate, s.limited.heard = rate, c.Clock.Now()
	return changed
}

// Limit gives what an upstream last said of its limit; false for one that never stated any.
func (c *Chooser) Limit(id string) (Limit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	return Limit{Rate: s.limited.rate, Age: c.Clock.Since(s.limited.heard)}, !s.limited.heard.IsZero()
}

// LimitPass lets a request through to an upstream that states a limit, within this entry's part
// of it.
func (c *Chooser) LimitPass(id string, share RateShare) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).limited.turn.pass(c.Clock.Now(), share)
}
