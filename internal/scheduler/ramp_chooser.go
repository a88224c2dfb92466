package scheduler

import (
	"math"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// rampSlotShare is the part of an upstream's slots that entries divide among them while it ramps.
	rampSlotShare = 0.75
	// leastRampShare is the part of its requests for which an entry considers an upstream without an agent that
	// has just started.
	leastRampShare = 0.1
	// minTrialShare is the least share at which an avoided upstream's ramp ends: with one, the first trial
	// would be its whole share.
	minTrialShare = 2
	// failuresBeforeTrial is after how many failures without a good answer an upstream must pass a trial before
	// it gets its share again. With one, it would mostly be held back for a reply that was cut, and the others
	// would be late: 77 of tearEverywhere's callers instead of 47.
	failuresBeforeTrial = 2
	// reasonEjected and reasonStarted are why an entry starts ramps.
	reasonEjected = "back after failures"
	reasonStarted = "upstream started"
	// rampingValidity is how long an agent's statement that its engine ramps is valid, warmValidity the same
	// for one that it doesn't. Engines that have just started are idle and asked first, so an entry gets more
	// such statements; the longer time of the others makes up for that.
	rampingValidity = time.Second
	// failureHalfLife is the time in which the cost of earlier failures halves at an upstream without an agent.
	// Good answers alone can't lower it: an upstream that failed twice gets no requests while others have free
	// slots. At engines it is no gain: tearEverywhere 0.988 instead of 0.990.
	failureHalfLife = 2 * time.Second
	warmValidity    = 3 * time.Second
	// minRampingUpstreams is the least number of ramping upstreams from which an entry infers that the whole
	// service has just started.
	minRampingUpstreams = 3
)

// upstreamRamp is an entry's state for the ramp of one upstream.
type upstreamRamp struct {
	// ramp is this entry's own; nil for none.
	ramp *Ramp
	// ejected reports that a ramp starts once the upstream isn't avoided any more, coldRampStarted that one has
	// started for the cold start at coldStartedAt.
	ejected, coldRampStarted bool
	coldStartedAt, ejectedAt time.Time
	// failedAt is when an attempt there last failed.
	failedAt time.Time
	// rampingUntil is until when the upstream's agent counts as ramping, warmUntil until when as not.
	rampingUntil, warmUntil time.Time
}

// rampDue reports whether a ramp is under way or has to start.
func (u *upstreamState) rampDue(k Candidate, now time.Time) bool {
	return u.ramp != nil && u.ramp.Active() || u.ejected && !now.Before(u.avoidUntil) || u.coldRampDue(k)
}

// coldRampDue reports whether an upstream is cold after a start for which no ramp has started.
func (u *upstreamState) coldRampDue(k Candidate) bool {
	return k.Cold && (!u.coldRampStarted || !u.coldStartedAt.Equal(k.StartedAt))
}

// startRamp starts a ramp that is due.
func (c *Chooser) startRamp(u *upstreamState, k Candidate, now time.Time) {
	switch {
	case u.coldRampDue(k):
		u.ramp = &Ramp{Least: leastRampShare}
		u.ramp.StartFrom(now, leastRampShare, reasonStarted)
		u.coldStartedAt, u.coldRampStarted, u.ejected = k.StartedAt, true, false
	case u.ejected && !now.Before(u.avoidUntil):
		if u.ramp == nil {
			u.ramp = &Ramp{}
		}
		u.ramp.Least = 1
		u.ramp.Start(u.ejectedAt, now, 1, reasonEjected)
		u.ejected = false
	default:
		return
	}
	logRampStart(k.ID, u.ramp, c.rampShare(u, k))
}

// rampShare is this entry's part of an upstream's slots.
func (c *Chooser) rampShare(u *upstreamState, k Candidate) float64 {
	sharers := 1
	if c.Sharers != nil {
		sharers = c.Sharers()
	}
	part := float64(EntryQuota(k.Slots, rampSlotShare, sharers))
	if u.ramp.Least >= 1 {
		return max(minTrialShare, part)
	}
	return part
}

// rankRampingLast ranks upstreams that have just started or recovered behind the others, beyond the limits of
// their ramps. It changes nothing where most of the candidates ramp or the others are full.
func (c *Chooser) rankRampingLast(ranked []rankedCandidate, candidates []Candidate, now time.Time) {
	if c.Without.Has(ablator.SlowStart) {
		return
	}
	ramping, othersFree := 0, false
	var held []int
	for i := range ranked {
		k := candidates[ranked[i].index]
		u := c.upstreams[k.ID]
		switch {
		case u.rampDue(k, now) && c.updateRamp(u, k, now):
			ramping++
			if c.rampDefers(u, now) {
				held = append(held, i)
				continue
			}
			fallthrough
		default:
			othersFree = othersFree || !ranked[i].avoided && u.active < 1
		}
	}
	if !othersFree || 2*ramping > len(ranked) {
		return
	}
	for _, i := range held {
		ranked[i].avoided = true
	}
}

// updateRamp starts or ends a ramp that is due, and reports whether one is under way.
func (c *Chooser) updateRamp(u *upstreamState, k Candidate, now time.Time) bool {
	c.startRamp(u, k, now)
	if end, ok := u.ramp.TryEnd(now, c.rampShare(u, k)); ok {
		logRampEnd(k.ID, end)
	}
	return u.ramp.Active()
}

// rampDefers reports whether a ramp keeps one more request back.
func (c *Chooser) rampDefers(u *upstreamState, now time.Time) bool {
	if !u.ramp.Allows(now, u.running) {
		return true
	}
	limit := u.ramp.Limit(now)
	return limit < 1 && c.Random.Float64() >= limit
}

// RecordLatency records how long an answer took that had an objective; zero for none. An answer beyond twice
// the objective counts like a failure.
func (c *Chooser) RecordLatency(id string, took, objective time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[id]
	if u == nil || u.ramp == nil {
		return
	}
	switch now := c.Clock.Now(); {
	case objective == 0 || took <= objective:
		u.ramp.RecordGood(now)
	case took <= 2*objective:
		u.ramp.RecordLate(now)
	default:
		u.ramp.RecordBad(now)
	}
}

// failureDecay is the remaining part of the cost of earlier failures.
func (c *Chooser) failureDecay(u *upstreamState, k Candidate, now time.Time) float64 {
	if u.failureRate == 0 || k.Agent || c.Without.Has(ablator.SlowStart) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(u.failedAt)) / float64(failureHalfLife))
}

// completeTrial counts the first progress of an upstream on trial as the trial's good answer, as a whole stream
// takes a second and more.
func (u *upstreamState) completeTrial() {
	if u.ramp != nil && u.ramp.good == 0 {
		u.ramp.RecordGood(u.progressAt)
	}
}

// RecordRamp records whether the agent beside an upstream stated that it ramps, and whether the upstream is
// open.
func (c *Chooser) RecordRamp(id string, ramps, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, now := c.upstream(id), c.Clock.Now()
	u.rampingUntil, u.warmUntil = time.Time{}, time.Time{}
	switch {
	case ramps:
		u.rampingUntil = now.Add(rampingValidity)
		c.anyRampingUntil = u.rampingUntil
	case open:
		u.warmUntil = now.Add(warmValidity)
	}
}

// MostlyRamping reports whether most of the upstreams ramp, by recent statements of their agents.
func (c *Chooser) MostlyRamping(n int, id func(int) string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if !now.Before(c.anyRampingUntil) {
		return false
	}
	ramping, warm := 0, 0
	for i := range n {
		u := c.upstreams[id(i)]
		switch {
		case u == nil:
		case now.Before(u.rampingUntil):
			ramping++
		case now.Before(u.warmUntil) && !now.Before(u.avoidUntil):
			warm++
		}
	}
	return ramping > warm && ramping >= min(minRampingUpstreams, (n+1)/2)
}

// Ramping reports whether an upstream ramps, by this entry's own ramp or its agent's statement.
func (c *Chooser) Ramping(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[id]
	return u != nil && (u.ramp != nil && u.ramp.Active() || c.Clock.Now().Before(u.rampingUntil))
}
