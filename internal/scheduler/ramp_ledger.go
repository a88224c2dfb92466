package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// goodMargin is how long beyond its predicted wait and reading a first event is good: nine in ten were
	// within it on a recorded day. Beyond startMargin it is bad.
	goodMargin = 240 * time.Millisecond
	// failuresBeforeRamp is after how many failed requests in a row, without a first event in between, a ramp
	// starts. One or two are normal for a healthy engine behind a bad link.
	failuresBeforeRamp = 3
	reasonRequestsFail = "requests fail"
)

// Reasons why agents start ramps.
const (
	EngineStarted  = "engine started"
	EngineReturned = "engine answers again"
)

// RampBypass is why a job may exceed the limit of a ramp.
type RampBypass string

// Values of RampBypass. Cold limits and slots apply to all of them.
const (
	// WithinRamp jobs keep to the limit.
	WithinRamp RampBypass = ""
	// OthersFull jobs found no slot at any other engine. They are admitted while the engine answers well.
	OthersFull RampBypass = "othersFull"
	// AllRamping jobs are for a service of which most engines have just started or recovered.
	AllRamping RampBypass = "allRamping"
)

// RampState is the state of a ramp as stated with a decision.
type RampState struct {
	Limit int
	// Held reports that the ramp alone kept the job out.
	Held bool
	// Well reports that the engine has answered well so far.
	Well bool
}

// ledgerRamp is the ramp of a ledger's engine.
type ledgerRamp struct {
	Ramp
	// pendingReason is why a ramp starts as soon as the engine accepts jobs; empty for none.
	pendingReason string
	// closedAt is when the engine last closed.
	closedAt time.Time
	// consecutiveFailures counts failures in a row.
	consecutiveFailures int
}

// StartRamp starts a ramp with the next job that the engine may accept, after its start or once it responds
// again. Time in which it is closed doesn't count.
func (l *Ledger) StartRamp(why string) {
	if l.Without.Has(ablator.SlowStart) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ramp.pendingReason = why
}

// failedAt is when the engine closed before it opened at now.
func (r *ledgerRamp) failedAt(now time.Time) time.Time {
	if r.closedAt.IsZero() {
		return now
	}
	return r.closedAt
}

// Ramping reports whether a ramp is under way.
func (l *Ledger) Ramping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updateRamp(l.Clock.Now())
}

// updateRamp starts or ends a ramp that is due, and reports whether one is under way.
func (l *Ledger) updateRamp(now time.Time) bool {
	r := &l.ramp
	if r.pendingReason == "" && !r.Active() || l.engine == nil {
		return false
	}
	share := float64(l.engine.Slots)
	if r.pendingReason != "" && l.closedReason == "" {
		r.Least = 1
		r.Start(r.failedAt(now), now, share, r.pendingReason)
		r.pendingReason, r.consecutiveFailures = "", 0
		logRampStart("", &r.Ramp, share)
	}
	l.evaluateOverdue(now)
	if end, ok := r.TryEnd(now, share); ok {
		logRampEnd("", end)
	}
	return r.Active()
}

// rampRefuses reports whether a ramp keeps a job out, and records that in the decision.
func (l *Ledger) rampRefuses(j Job, v *Decision, now time.Time) bool {
	if !l.updateRamp(now) {
		return false
	}
	r := &l.ramp
	v.Ramp = &RampState{Limit: int(r.Limit(now)), Well: r.Healthy()}
	if r.Allows(now, v.Active) || j.Beyond == AllRamping || j.Beyond == OthersFull && r.Healthy() && (r.setbacks == 0 || r.Allows(now, v.Active/2)) {
		return false
	}
	v.Ramp.Held, v.Free = true, max(minOpensIn, r.Wait(now, v.Active))
	return true
}

// setGoodBy sets by when the first event of a granted job is good.
func (l *Ledger) setGoodBy(r *reservation, wait time.Duration, active int, now time.Time) {
	if l.ramp.Active() {
		r.goodBy = now.Add(wait + l.firstTokenTime(r.Job, active) - startMargin + goodMargin)
	}
}

// evaluateStart evaluates the time of a request's first event.
func (l *Ledger) evaluateStart(r *reservation, now time.Time) {
	l.ramp.consecutiveFailures = 0
	if r.goodBy.IsZero() || r.evaluated {
		return
	}
	r.evaluated = true
	switch late := now.Sub(r.goodBy); {
	case late <= 0:
		l.ramp.RecordGood(now)
	case late <= startMargin-goodMargin:
		l.ramp.RecordLate(now)
	default:
		l.ramp.RecordBad(now)
	}
}

// evaluateOverdue evaluates requests whose first event is overdue.
func (l *Ledger) evaluateOverdue(now time.Time) {
	for _, r := range l.reservations {
		if !r.started && !r.evaluated && !r.goodBy.IsZero() && now.Sub(r.goodBy) > startMargin-goodMargin {
			r.evaluated = true
			l.ramp.RecordBad(now)
		}
	}
}

// RecordFailure records that the engine refused a request that holds a slot, or failed to answer it. A refusal
// alone starts no ramp: engines that switch weights or ask for backoff refuse, too.
func (l *Ledger) RecordFailure(id string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reservations[id]
	if r == nil || l.Without.Has(ablator.SlowStart) {
		// The request was for an earlier start of the engine.
		return
	}
	now := l.Clock.Now()
	if !r.evaluated || r.started {
		l.ramp.RecordBad(now)
	}
	r.evaluated = true
	if refused || r.started {
		return
	}
	if l.ramp.consecutiveFailures++; l.ramp.consecutiveFailures >= failuresBeforeRamp && !l.ramp.Active() && l.engine != nil {
		l.ramp.Least = 1
		l.ramp.StartFrom(now, l.ramp.Least, reasonRequestsFail)
		logRampStart("", &l.ramp.Ramp, float64(l.engine.Slots))
	}
}
