package scheduler

import (
	"math"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// rampPart is the part of an upstream's slots that entries divide among them while it ramps.
	rampPart = 0.75
	// thinnest is the part of its requests for which an entry considers an upstream without an agent
	// that has just started.
	thinnest = 0.1
	// trialShare is the least share at which an ejected upstream's ramp ends: with one, the first
	// trial would be its whole share.
	trialShare = 2
	// trialFailures is after how many failures without a good answer an upstream has to pass a trial
	// before it gets its share again. After one alone it would mostly be held back for a reply that
	// was cut, and the others would be late: of tearEverywhere's callers 77 instead of 47.
	trialFailures = 2
	// ejected and startedCold are why ramps begin at an entry.
	ejected     = "back after failures"
	startedCold = "upstream started"
	// rampKnown is for how long an agent's word that its engine ramps counts, and warmKnown its word that
	// it doesn't. Engines that have just started are idle and asked first, so an entry hears more of them
	// than of the others; the longer time makes up for that.
	rampKnown = time.Second
	// failureHalfLife is in which time the cost of earlier failures halves at an upstream without an agent.
	// Only good answers lowered it before, and one that failed twice got none while the others had room.
	// At engines it is no gain: tearEverywhere 0.988 instead of 0.990.
	failureHalfLife = 2 * time.Second
	warmKnown       = 3 * time.Second
	// leastAnswers is of how many engines an entry has to know at least that they ramp before it takes the
	// whole service to have just started.
	leastAnswers = 3
)

// ramped is what an entry knows of an upstream's ramp.
type ramped struct {
	// ramp is this entry's own; nil for none.
	ramp *Ramp
	// ejected tells that a ramp begins once the upstream isn't passed over any more, coldKnown that one
	// has begun for the cold start at coldAt.
	ejected, coldKnown bool
	coldAt, ejectedAt  time.Time
	// failedAt is when an attempt there last failed.
	failedAt time.Time
	// rampsUntil is until when the upstream's agent counts as ramping, warmUntil until when as not.
	rampsUntil, warmUntil time.Time
}

// rampDue tells whether a ramp is under way or has to begin.
func (s *seen) rampDue(k Candidate, now time.Time) bool {
	return s.ramp != nil && s.ramp.On() || s.ejected && !now.Before(s.avoidUntil) || s.startsCold(k)
}

// startsCold tells whether an upstream is cold after a start for which no ramp has begun.
func (s *seen) startsCold(k Candidate) bool {
	return k.Cold && (!s.coldKnown || !s.coldAt.Equal(k.StartedAt))
}

// beginRamp begins a ramp that is due.
func (c *Chooser) beginRamp(s *seen, k Candidate, now time.Time) {
	switch {
	case s.startsCold(k):
		s.ramp = &Ramp{Least: thinnest}
		s.ramp.Begin(now, thinnest, startedCold)
		s.coldAt, s.coldKnown, s.ejected = k.StartedAt, true, false
	case s.ejected && !now.Before(s.avoidUntil):
		if s.ramp == nil {
			s.ramp = &Ramp{}
		}
		s.ramp.Least = 1
		s.ramp.Start(s.ejectedAt, now, 1, ejected)
		s.ejected = false
	default:
		return
	}
	logRampBegin(k.ID, s.ramp, c.rampShare(s, k))
}

// rampShare is this entry's part of an upstream's slots.
func (c *Chooser) rampShare(s *seen, k Candidate) float64 {
	sharers := 1
	if c.Sharers != nil {
		sharers = c.Sharers()
	}
	part := float64(Part(k.Slots, rampPart, sharers))
	if s.ramp.Least >= 1 {
		return max(trialShare, part)
	}
	return part
}

// holdBack ranks upstreams that have just started or recovered behind the others, beyond the limits of
// their ramps. None is kept back where most of the candidates ramp, nor where the others are full.
func (c *Chooser) holdBack(ranked []scored, candidates []Candidate, now time.Time) {
	if c.Without.Has(ablator.SlowStart) {
		return
	}
	ramping, room := 0, false
	var held []int
	for i := range ranked {
		k := candidates[ranked[i].index]
		s := c.seen[k.ID]
		switch {
		case s.rampDue(k, now) && c.rampOn(s, k, now):
			ramping++
			if c.holds(s, now) {
				held = append(held, i)
				continue
			}
			fallthrough
		default:
			room = room || !ranked[i].avoided && s.active < 1
		}
	}
	if !room || 2*ramping > len(ranked) {
		return
	}
	for _, i := range held {
		ranked[i].avoided = true
	}
}

// rampOn tells whether a ramp is under way, and begins or ends it if that is due.
func (c *Chooser) rampOn(s *seen, k Candidate, now time.Time) bool {
	c.beginRamp(s, k, now)
	if end, ok := s.ramp.End(now, c.rampShare(s, k)); ok {
		logRampEnd(k.ID, end)
	}
	return s.ramp.On()
}

// holds tells whether a ramp keeps one more request back.
func (c *Chooser) holds(s *seen, now time.Time) bool {
	if !s.ramp.Allows(now, s.running) {
		return true
	}
	limit := s.ramp.Limit(now)
	return limit < 1 && c.Random.Float64() >= limit
}

// Judge notes how long an answer took that was to come within an objective; zero for none. Twice the
// objective is the bound beyond which an answer counts like a failure.
func (c *Chooser) Judge(id string, took, objective time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.seen[id]
	if s == nil || s.ramp == nil {
		return
	}
	switch now := c.Clock.Now(); {
	case objective == 0 || took <= objective:
		s.ramp.Good(now)
	case took <= 2*objective:
		s.ramp.Late(now)
	default:
		s.ramp.Bad(now)
	}
}

// failureDecay is what is left of the cost of earlier failures.
func (c *Chooser) failureDecay(s *seen, k Candidate, now time.Time) float64 {
	if s.failing == 0 || k.Agent || c.Without.Has(ablator.SlowStart) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(s.failedAt)) / float64(failureHalfLife))
}

// judgeAlive takes the first sign of life of an ejected upstream for the good answer of its trial. A whole
// stream takes a second and more.
func (s *seen) judgeAlive() {
	if s.ramp != nil && s.ramp.good == 0 {
		s.ramp.Good(s.alive)
	}
}

// NoteRamp notes whether the agent beside an upstream said that it ramps, if the upstream is open.
func (c *Chooser) NoteRamp(id string, ramps, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.of(id), c.Clock.Now()
	s.rampsUntil, s.warmUntil = time.Time{}, time.Time{}
	switch {
	case ramps:
		s.rampsUntil = now.Add(rampKnown)
		c.rampsHeardUntil = s.rampsUntil
	case open:
		s.warmUntil = now.Add(warmKnown)
	}
}

// MostRamp tells whether most of the upstreams ramp, as far as their agents said lately.
func (c *Chooser) MostRamp(n int, id func(int) string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if !now.Before(c.rampsHeardUntil) {
		return false
	}
	ramping, warm := 0, 0
	for i := range n {
		s := c.seen[id(i)]
		switch {
		case s == nil:
		case now.Before(s.rampsUntil):
			ramping++
		case now.Before(s.warmUntil) && !now.Before(s.avoidUntil):
			warm++
		}
	}
	return ramping > warm && ramping >= min(leastAnswers, (n+1)/2)
}

// Ramping tells whether an upstream ramps, as far as this entry knows.
func (c *Chooser) Ramping(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.seen[id]
	return s != nil && (s.ramp != nil && s.ramp.On() || c.Clock.Now().Before(s.rampsUntil))
}
