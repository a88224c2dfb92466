package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// firstSilence is how long an agent that did not answer isn't asked; it doubles each time the agent stays
	// silent, up to maxSilence. A VM that is gone takes the time of one request for each question.
	firstSilence = 700 * time.Millisecond
	maxSilence   = 4 * time.Second
	// probeTime is for how long an agent that was silent counts as being asked again by a request, so that no
	// other one asks as well: the time for an answer, and a margin.
	probeTime = 60 * time.Millisecond
	// probeOverdue is after what time an agent that nobody has asked again is no longer ranked last. At a low load
	// requests find a slot before they come to it, and it would not be used again.
	probeOverdue = time.Second
)

// Silence notes that an upstream's agent did not answer; it isn't asked again for a while. Gone
// tells that its VM answered in its place that nobody listens: this takes no time, and the process is mostly back soon,
// so the pause doesn't grow.
func (c *Chooser) Silence(id string, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.of(id), c.Clock.Now()
	s.processGone = gone
	switch {
	case c.Without.Has(ablator.UnresponsiveBackoff):
		return
	case gone:
		s.silences, s.silentUntil = 0, now.Add(firstSilence)
	case s.silences == 0 || s.probing:
		s.silentUntil = now.Add(min(firstSilence<<min(s.silences, 10), maxSilence))
		s.silences++
	}
	// Otherwise it was asked by several requests before the first of them had waited long enough.
	s.probing = false
}

// Answered notes that an upstream's agent answered, without a load.
func (c *Chooser) Answered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(id).answered()
}

func (s *seen) answered() {
	s.silences, s.silentUntil, s.probing, s.processGone = 0, time.Time{}, false, false
}

// MayAsk tells whether an upstream's agent may be asked now. One that was silent is asked again by one request at a
// time, and only by one that has met no other silent agent.
func (c *Chooser) MayAsk(id string, metSilence bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.of(id), c.Clock.Now()
	if now.Before(s.silentUntil) {
		return false
	}
	if s.silences == 0 {
		return true
	}
	if metSilence {
		return false
	}
	s.probing, s.silentUntil = true, now.Add(probeTime)
	return true
}

// suspect tells whether an upstream's agent was silent and should be asked after all others.
func (s *seen) suspect(now time.Time) bool {
	return s.silences > 0 && now.Before(s.silentUntil.Add(probeOverdue))
}

// loadUnknown tells whether nothing has been received of the load of an engine with an agent since this process or the
// engine started. The last load received counts however old it is: in trials loads unknown after 5 s cost 0.002 of the worth
// while half of the agents are gone.
func (s *seen) loadUnknown(k Candidate) bool { return k.Agent && s.heard.IsZero() }

// loads averages the known loads of candidates.
type loads struct {
	sum   time.Duration
	known int
}

// add counts a candidate's load, as a cost.
func (l *loads) add(load time.Duration) {
	l.sum += load
	l.known++
}

// mean is the average; 0 if none is known.
func (l *loads) mean() time.Duration { return l.sum / time.Duration(max(1, l.known)) }
