package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// goodMargin is what a first event may take beyond its predicted wait and reading to be good:
	// nine in ten came within it on a recorded day. Beyond startMargin it is bad.
	goodMargin = 240 * time.Millisecond
	// rampFailures is after how many failed requests in a row a ramp begins, without a first event
	// in between. One or two are the lot of a sound engine behind a bad link.
	rampFailures = 3
	requestsFail = "requests fail"
)

// Why agents begin ramps.
const (
	EngineStarted  = "engine started"
	EngineReturned = "engine answers again"
)

// Beyond is why a job may be let in beyond the limit of a ramp.
type Beyond string

// The reasons. Cold bounds and slots hold for all of them.
const (
	// WithinRamp jobs keep to the limit.
	WithinRamp Beyond = ""
	// OthersFull jobs found no slot at any other engine. They are let in while the engine answers well.
	OthersFull Beyond = "othersFull"
	// AllRamping jobs are for a service of which most engines have just started or recovered.
	AllRamping Beyond = "allRamping"
)

// RampState is the state of a ramp, for those whom it concerns.
type RampState struct {
	Limit int
	// Held tells that the ramp alone kept the job out.
	Held bool
	// Well tells that the engine answers well so far.
	Well bool
}

// ledgerRamp is the ramp of a ledger's engine.
type ledgerRamp struct {
	Ramp
	// pending is why a ramp begins as soon as the engine takes jobs; empty for none.
	pending string
	// closedAt is when the engine last closed.
	closedAt time.Time
	// failures are those in a row.
	failures int
}

// BeginRamp has a ramp begin with the next job that the engine may take: it has just started, or
// answers again after it did not. Time in which it is closed doesn't count.
func (l *Ledger) BeginRamp(why string) {
	if l.Without.Has(ablator.SlowStart) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ramp.pending = why
}

// failedAt is when the engine closed before it opened at a moment.
func (r *ledgerRamp) failedAt(now time.Time) time.Time {
	if r.closedAt.IsZero() {
		return now
	}
	return r.closedAt
}

// Ramping tells whether a ramp is under way.
func (l *Ledger) Ramping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rampOn(l.Clock.Now())
}

// rampOn tells whether a ramp is under way, and begins or ends it if that is due.
func (l *Ledger) rampOn(now time.Time) bool {
	r := &l.ramp
	if r.pending == "" && !r.On() || l.engine == nil {
		return false
	}
	share := float64(l.engine.Slots)
	if r.pending != "" && l.closed == "" {
		r.Least = 1
		r.Start(r.failedAt(now), now, share, r.pending)
		r.pending, r.failures = "", 0
		logRampBegin("", &r.Ramp, share)
	}
	l.judgeOverdue(now)
	if end, ok := r.End(now, share); ok {
		logRampEnd("", end)
	}
	return r.On()
}

// rampHolds tells whether a ramp keeps a job out, and notes that in its verdict.
func (l *Ledger) rampHolds(j Job, v *Verdict, now time.Time) bool {
	if !l.rampOn(now) {
		return false
	}
	r := &l.ramp
	v.Ramp = &RampState{Limit: int(r.Limit(now)), Well: r.Well()}
	if r.Allows(now, v.Active) || j.Beyond == AllRamping || j.Beyond == OthersFull && r.Well() && (r.setbacks == 0 || r.Allows(now, v.Active/2)) {
		return false
	}
	v.Ramp.Held, v.Free = true, max(leastOpening, r.Wait(now, v.Active))
	return true
}

// expect notes by when the first event of a granted job is good.
func (l *Ledger) expect(p *place, wait time.Duration, active int, now time.Time) {
	if l.ramp.On() {
		p.goodUntil = now.Add(wait + l.first(p.Job, active) - startMargin + goodMargin)
	}
}

// judgeStart judges a request's first event.
func (l *Ledger) judgeStart(p *place, now time.Time) {
	l.ramp.failures = 0
	if p.goodUntil.IsZero() || p.judged {
		return
	}
	p.judged = true
	switch late := now.Sub(p.goodUntil); {
	case late <= 0:
		l.ramp.Good(now)
	case late <= startMargin-goodMargin:
		l.ramp.Late(now)
	default:
		l.ramp.Bad(now)
	}
}

// judgeOverdue judges requests whose first event has not come in time.
func (l *Ledger) judgeOverdue(now time.Time) {
	for _, p := range l.held {
		if !p.started && !p.judged && !p.goodUntil.IsZero() && now.Sub(p.goodUntil) > startMargin-goodMargin {
			p.judged = true
			l.ramp.Bad(now)
		}
	}
}

// Failed notes that the engine refused a request that has a place, or failed to answer it. A refused
// one alone begins no ramp: engines that switch weights or ask for rest refuse, too.
func (l *Ledger) Failed(id string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.held[id]
	if p == nil || l.Without.Has(ablator.SlowStart) {
		// It was for an earlier start of the engine.
		return
	}
	now := l.Clock.Now()
	if !p.judged || p.started {
		l.ramp.Bad(now)
	}
	p.judged = true
	if refused || p.started {
		return
	}
	if l.ramp.failures++; l.ramp.failures >= rampFailures && !l.ramp.On() && l.engine != nil {
		l.ramp.Least = 1
		l.ramp.Begin(now, l.ramp.Least, requestsFail)
		logRampBegin("", &l.ramp.Ramp, float64(l.engine.Slots))
	}
}
