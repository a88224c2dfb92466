// Package granter answers the entries that ask an agent for places at its engine, and logs
// each answer so that a refused request leads to its cause.
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
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// refusalLines is how many refusals are logged a second, after a first refusalBurst. At
	// 1.4 times what twelve engines bear, an agent refuses some 25 questions a second; a
	// burst at all entries asks each agent hundreds of times within the same moment.
	refusalLines = 50
	refusalBurst = 100
)

// Granter grants places. Set the exported fields before use.
type Granter struct {
	Ledger *scheduler.Ledger
	// Holds gives the version of a model in the engine; 0 for none.
	Holds func(model string) uint64
	// EngineStart gives the start of the engine and how long ago it was observed; a zero start while it
	// is unknown. Nil for an engine that doesn't state its start.
	EngineStart func() (startedAt time.Time, age time.Duration)
	// Poll has the agent ask its engine at once; nil for an agent that can't.
	Poll  func()
	Clock clock.PassiveClock
	// Metrics counts the answers to reservations with a priority; nil for no count.
	Metrics metrics.Registry

	once sync.Once
	// logged bounds the lines on refusals, and unlogged counts those left out since the
	// last. Bursts would else fill the log with lines that all say the same, and those of
	// other requests would be dropped; the entry's line on the refused request tells what
	// its agents said, too.
	logged   *rate.Limiter
	unlogged atomic.Int64
	tables   tables
}

// Reserve answers a question for a place.
func (g *Granter) Reserve(q messenger.Reservation, from *messenger.Link) messenger.Decision {
	if v, ok := g.anotherEngine(q); ok {
		return v
	}
	if q.Limit != nil {
		g.Ledger.Limit(observer.Limit{Rate: q.Limit.PerSecond, Age: q.Limit.Age()})
	}
	v := g.Ledger.Reserve(scheduler.Job{
		ID: q.Request, Prompt: q.Prompt, Answer: q.Answer, Expected: q.Expected, MaxAnswer: q.MaxAnswer, Spare: q.Spare, Patience: q.WaitLimit(), Left: q.TimeLeft(), Pause: q.Pause(),
		Priority: q.Priority, Workspace: q.Workspace, Budget: q.Budget(), Asked: q.Asked, Refusals: q.Refusals,
		Beyond: scheduler.Beyond(q.BeyondRamp),
	}, from)
	g.count(q, v)
	g.tables.note(q)
	if v.Granted || g.logs() {
		fields := []any{"request", q.RequestID(), "granted", v.Granted, "closed", v.Closed, "wait", v.Wait, "takes", v.Takes,
			"patience", q.WaitLimit(), "active", v.Active, "slots", v.Slots, "prompt", q.Prompt, "spare", q.Spare,
			"unreserved", v.Unreserved, "observed", v.Observed, "held", v.Ramp != nil && v.Ramp.Held, "unlogged", g.unlogged.Swap(0),
			"endsLate", v.EndsLate, "left", q.TimeLeft(), "pace", v.Pace, "momentaryPace", v.Momentary.Factor}
		klog.InfoS("Place asked", append(fields, priorityFields(q, v)...)...)
	}
	return messenger.Decision{
		Granted: v.Granted, ClosedReason: v.Closed, Version: g.Holds(q.Model), WaitMS: v.Wait.Milliseconds(),
		DurationMS: v.Takes.Milliseconds(), FreeInMS: v.Free.Milliseconds(), Active: v.Active, Slots: v.Slots, KeptFor: v.Kept,
		StartWithinMS: v.BeginWithin.Milliseconds(), EndsLate: v.EndsLate, Pace: pace(v.Pace), Momentary: g.momentary(v.Momentary), Ramp: rampOf(v.Ramp),
	}
}

// pace is what is reported of a pace; 0 for the normal one.
func pace(factor float64) messenger.Hundredths {
	if factor <= 1 {
		return 0
	}
	return messenger.InHundredths(factor)
}

// momentary is what is reported of a momentary pace; nil for the normal one, and for one that is too old to matter.
func (g *Granter) momentary(m scheduler.Momentary) *messenger.MomentaryPace {
	if m.Factor <= 0 {
		return nil
	}
	age := g.Clock.Since(m.At)
	if age >= scheduler.PaceSpan {
		return nil
	}
	return &messenger.MomentaryPace{Pace: messenger.InHundredths(m.Factor), AgeMS: age.Milliseconds()}
}

// rampOf is the state of a ramp on the wire.
func rampOf(r *scheduler.RampState) *messenger.Ramp {
	if r == nil {
		return nil
	}
	return &messenger.Ramp{Limit: r.Limit, Limited: r.Held, Healthy: r.Well}
}

// AnotherEngine is why nothing is granted for an engine that isn't the one beside the agent.
const AnotherEngine = "another engine"

// anotherEngine refuses a reservation for a start of the engine that isn't the one known here. The engine
// would reject the request, and the slot be free for the next one that it rejects. A later start than
// the known one is mostly the engine's own, which this agent hasn't observed yet.
func (g *Granter) anotherEngine(q messenger.Reservation) (messenger.Decision, bool) {
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
	if g.logs() {
		klog.InfoS("Slot refused: meant for another start of the engine", "request", q.RequestID(), "meant", q.StartedAt,
			"startedAt", startedAt, "observed", age)
	}
	return messenger.Decision{ClosedReason: AnotherEngine, StartedAt: startedAt, ObservedMS: age.Milliseconds()}, true
}

// logs tells whether one more refusal is logged now.
func (g *Granter) logs() bool {
	g.once.Do(func() { g.logged = rate.NewLimiter(refusalLines, refusalBurst) })
	if g.logged.AllowN(g.Clock.Now(), 1) {
		return true
	}
	g.unlogged.Add(1)
	return false
}

// Progress notes what became of requests that got places.
func (g *Granter) Progress(p messenger.Progress, _ *messenger.Link) {
	for _, id := range p.Started {
		g.Ledger.Started(id)
	}
	if p.Pace != nil {
		g.Ledger.Paced(p.Pace.Pace.Factor(), p.Pace.Age())
	}
	for _, id := range p.Failed {
		g.Ledger.Failed(id, false)
	}
	for _, id := range p.Refused {
		g.Ledger.Failed(id, true)
	}
	for _, id := range p.Ended {
		g.Ledger.Ended(id)
	}
}

// Lost frees what a connection that is over had.
func (g *Granter) Lost(from *messenger.Link) {
	if slots := g.Ledger.Lost(from); slots > 0 {
		klog.InfoS("Entry disconnected", "slots", slots)
	}
}
