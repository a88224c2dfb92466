// Package granter answers the entries that ask an agent for slots at its engine, and logs each answer, so that
// a refused request can be traced to its cause.
package granter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// refusalLogRate is how many refusals are logged per second, beyond a burst of refusalLogBurst. At 1.4
	// times the capacity of twelve engines an agent refuses some 25 reservations per second; a burst at all
	// entries sends each agent hundreds at once.
	refusalLogRate  = 50
	refusalLogBurst = 100
)

// Granter grants slots. Set the exported fields before use.
type Granter struct {
	Ledger *scheduler.Ledger
	// Holds returns the version of a model in the engine; 0 for none.
	Holds func(model string) uint64
	// EngineStart returns the start of the engine and how long ago it was observed; a zero start while it is
	// unknown. Nil for an engine that doesn't state its start.
	EngineStart func() (startedAt time.Time, age time.Duration)
	// Confirmation returns on whose word the announced weights count as the newest; nil for an agent that doesn't know.
	Confirmation func() registrar.Confirmation
	// Poll makes the agent poll its engine at once; nil for an agent that can't.
	Poll  func()
	Clock clock.PassiveClock
	// Metrics counts the answers to reservations with a priority; nil for no count.
	Metrics metrics.Registry

	once sync.Once
	// logLimiter limits the lines on refusals, and unlogged counts those left out since the last line. Bursts
	// would otherwise fill the log with equal lines and displace those of other requests; the entry's line on
	// the refused request includes its agents' answers, too.
	logLimiter    *rate.Limiter
	unlogged      atomic.Int64
	tableVersions tableVersions
}

// Reserve answers a reservation.
func (g *Granter) Reserve(q messenger.Reservation, from *messenger.Link) messenger.Decision {
	if v, ok := g.refuseOtherStart(q); ok {
		return v
	}
	if q.Limit != nil {
		g.Ledger.SetStatedLimit(observer.Limit{Rate: q.Limit.PerSecond, Age: q.Limit.Age()})
	}
	v := g.Ledger.Reserve(scheduler.Job{
		ID: q.Request, Prompt: q.Prompt, Answer: q.Answer, Expected: q.Expected, MaxAnswer: q.MaxAnswer, Spare: q.Spare, Patience: q.WaitLimit(), Left: q.TimeLeft(), Pause: q.Pause(),
		Priority: q.Priority, Workspace: q.Workspace, Budget: q.Budget(), Asked: q.Asked, Refusals: q.Refusals,
		Beyond: scheduler.RampBypass(q.BeyondRamp),
	}, from)
	g.countOutcome(q, v)
	g.tableVersions.record(q)
	if v.Granted || g.allowLogLine() {
		fields := []any{"request", q.RequestID(), "granted", v.Granted, "closed", v.Closed, "wait", v.Wait, "takes", v.Takes,
			"patience", q.WaitLimit(), "active", v.Active, "slots", v.Slots, "prompt", q.Prompt, "spare", q.Spare,
			"unreserved", v.Unreserved, "observed", v.Observed, "held", v.Ramp != nil && v.Ramp.Held, "unlogged", g.unlogged.Swap(0),
			"endsLate", v.EndsLate, "left", q.TimeLeft(), "pace", v.Pace, "momentaryPace", v.Momentary.Factor}
		klog.InfoS("Place asked", append(append(fields, g.weightsFields(q.Model, v)...), priorityFields(q, v)...)...)
	}
	return messenger.Decision{
		Granted: v.Granted, ClosedReason: v.Closed, Version: g.Holds(q.Model), WaitMS: v.Wait.Milliseconds(),
		DurationMS: v.Takes.Milliseconds(), FreeInMS: v.Free.Milliseconds(), Active: v.Active, Slots: v.Slots, KeptFor: v.Kept,
		StartWithinMS: v.BeginWithin.Milliseconds(), EndsLate: v.EndsLate, Pace: wirePace(v.Pace), Momentary: g.wireMomentary(v.Momentary), Ramp: wireRamp(v.Ramp),
	}
}

// weightsFields returns log fields on the weights of a granted slot: without them, a reply that starts on old weights
// can't be traced to an agent that hadn't received the announcement, or that dated it too late.
func (g *Granter) weightsFields(model string, v scheduler.Decision) []any {
	if !v.Granted {
		return nil
	}
	fields := []any{"version", g.Holds(model), "beginWithin", v.BeginWithin}
	if g.Confirmation != nil {
		fields = append(fields, g.Confirmation().LogFields()...)
	}
	return fields
}

// wirePace is a pace on the wire; 0 for the normal one.
func wirePace(factor float64) messenger.Hundredths {
	if factor <= 1 {
		return 0
	}
	return messenger.InHundredths(factor)
}

// wireMomentary is a momentary pace on the wire; nil for the normal one and for one that has expired.
func (g *Granter) wireMomentary(m scheduler.MomentaryPace) *messenger.MomentaryPace {
	if m.Factor <= 0 {
		return nil
	}
	age := g.Clock.Since(m.At)
	if age >= scheduler.PaceValidity {
		return nil
	}
	return &messenger.MomentaryPace{Pace: messenger.InHundredths(m.Factor), AgeMS: age.Milliseconds()}
}

// wireRamp is the state of a ramp on the wire.
func wireRamp(r *scheduler.RampState) *messenger.Ramp {
	if r == nil {
		return nil
	}
	return &messenger.Ramp{Limit: r.Limit, Limited: r.Held, Healthy: r.Well}
}

// AnotherEngine is why nothing is granted for an engine other than the one beside the agent.
const AnotherEngine = "another engine"

// refuseOtherStart refuses a reservation for a start of the engine other than the known one. The engine would
// reject the request, and free the slot for the next one to be rejected. A later start than the known one is
// mostly the engine's own, which this agent hasn't observed yet.
func (g *Granter) refuseOtherStart(q messenger.Reservation) (messenger.Decision, bool) {
	if g.EngineStart == nil || q.StartedAt.IsZero() {
		return messenger.Decision{}, false
	}
	startedAt, age := g.EngineStart()
	if startedAt.IsZero() || startedAt.Equal(q.StartedAt) {
		return messenger.Decision{}, false
	}
	if startedAt.Before(q.StartedAt) && g.Poll != nil {
		g.Poll()
	}
	if g.allowLogLine() {
		klog.InfoS("Slot refused: meant for another start of the engine", "request", q.RequestID(), "meant", q.StartedAt,
			"startedAt", startedAt, "observed", age)
	}
	return messenger.Decision{ClosedReason: AnotherEngine, StartedAt: startedAt, ObservedMS: age.Milliseconds()}, true
}

// allowLogLine reports whether one more refusal may be logged.
func (g *Granter) allowLogLine() bool {
	g.once.Do(func() { g.logLimiter = rate.NewLimiter(refusalLogRate, refusalLogBurst) })
	if g.logLimiter.AllowN(g.Clock.Now(), 1) {
		return true
	}
	g.unlogged.Add(1)
	return false
}

// Progress records the progress of requests that hold slots.
func (g *Granter) Progress(p messenger.Progress, _ *messenger.Link) {
	for _, id := range p.Started {
		g.Ledger.Started(id)
	}
	if p.Pace != nil {
		g.Ledger.RecordPace(p.Pace.Pace.Factor(), p.Pace.Age())
	}
	for _, id := range p.Failed {
		g.Ledger.RecordFailure(id, false)
	}
	for _, id := range p.Refused {
		g.Ledger.RecordFailure(id, true)
	}
	for _, id := range p.Ended {
		g.Ledger.Ended(id)
	}
}

// Lost handles the end of a connection over which slots were granted.
func (g *Granter) Lost(from *messenger.Link) {
	if slots := g.Ledger.ConnectionLost(from); slots > 0 {
		klog.InfoS("Entry disconnected", "slots", slots)
	}
}
