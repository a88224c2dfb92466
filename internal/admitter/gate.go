package admitter

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Defaults for the fields of Gate.
const (
	defaultColdLimit = 1
	defaultSlow      = time.Second
)

// Gate lets requests through to one upstream. Set the exported fields before
// the first call. A new gate is held for Booting. All methods may be called
// concurrently.
type Gate struct {
	Clock clock.PassiveClock
	// ColdLimit is how many requests a cold upstream bears at once; 0 means 1.
	ColdLimit int
	// Limit is how many it bears when warm.
	Limit int
	// Slow is the latency from which a probe's answer counts as a bad sign; 0
	// means one second.
	Slow time.Duration

	mu      sync.Mutex
	begun   bool
	holds   []Reason
	width   int
	credit  int
	running int
	latency time.Duration

	admitted  uint64
	confirmed uint64
	narrowed  uint64
	changed   chan struct{}
	idle      chan struct{}

	proved  bool
	cold    bool
	startID string
	uptime  time.Duration
	asOf    time.Time
	held    weights
}

// weights are what the last good probe found in the engine.
type weights struct {
	model, version, manifest string
}

// Ticket is the right of one request to be with the upstream.
type Ticket struct {
	gate *Gate
	once sync.Once
	// narrowed is the gate's count of narrowings at admission: what a request
	// proves about the upstream holds only when none came between.
	narrowed uint64
}

// begin fills in what the zero value of Gate leaves out. Callers hold g.mu.
func (g *Gate) begin() {
	if g.begun {
		return
	}
	g.begun = true
	g.holds = append(g.holds, Booting)
	g.ColdLimit = max(g.ColdLimit, defaultColdLimit)
	g.Limit = max(g.Limit, 1)
	if g.Slow == 0 {
		g.Slow = defaultSlow
	}
	g.width = g.floor()
	g.cold = true
	g.changed = make(chan struct{})
	g.idle = make(chan struct{})
	close(g.idle)
}

// floor is the limit of a gate that knows nothing good of its upstream.
func (g *Gate) floor() int { return min(g.ColdLimit, g.Limit) }

// Admit decides at once whether w may pass. A refusal is a *RefusedError.
func (g *Gate) Admit(w Work) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	if err := g.refusal(w); err != nil {
		return nil, err
	}
	if g.running == 0 {
		g.idle = make(chan struct{})
	}
	g.running++
	g.admitted++
	return &Ticket{gate: g, narrowed: g.narrowed}, nil
}

// refusal says what keeps w out, nil when nothing does.
func (g *Gate) refusal(w Work) error {
	switch {
	case len(g.holds) > 0:
		return &RefusedError{Reason: g.holds[0]}
	case !w.Deadline.IsZero() && !g.Clock.Now().Before(w.Deadline):
		return &RefusedError{Reason: Expired}
	case !g.held.suit(w):
		return &RefusedError{Reason: WrongWeights}
	case w.EngineStart != "" && w.EngineStart != g.startID:
		return &RefusedError{Reason: WrongStart}
	case g.running >= g.width:
		return &RefusedError{Reason: Full, RetryAfter: g.retryAfter()}
	}
	return nil
}

// retryAfter is when the next of the running requests should be through.
func (g *Gate) retryAfter() time.Duration {
	return g.latency / time.Duration(max(g.width, 1))
}

func (h weights) suit(w Work) bool {
	return (w.Model == "" || w.Model == h.model) &&
		(w.Version == "" || w.Version == h.version) &&
		(w.Manifest == "" || w.Manifest == h.manifest)
}

// Done ends the request; calls after the first do nothing.
func (t *Ticket) Done(r Result) {
	t.once.Do(func() { t.gate.done(t, r) })
}

func (g *Gate) done(t *Ticket, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	switch r.Outcome {
	case Served, Failed:
		g.observe(r.Latency)
		if t.narrowed == g.narrowed {
			g.widen()
		}
	case Refused, Cut:
		g.narrow()
	case Cancelled:
	}
	if g.running == 0 {
		close(g.idle)
	}
	g.announce()
}

// observe follows the latency of replies with a moving average.
func (g *Gate) observe(d time.Duration) {
	const weight = 8
	if g.latency == 0 {
		g.latency = d
		return
	}
	g.latency += (d - g.latency) / weight
}

// widen adds one to the limit for each full set of good signs at the present
// one. While the upstream calls itself cold nothing counts as a good sign.
func (g *Gate) widen() {
	if g.cold || !g.proved {
		return
	}
	g.credit++
	if g.credit < g.width || g.width >= g.Limit {
		return
	}
	g.credit = 0
	g.width++
}

// narrow takes the gate back to the cold limit.
func (g *Gate) narrow() {
	g.narrowed++
	g.width = g.floor()
	g.credit = 0
	g.cold = true
}

// announce wakes those who wait for a change.
func (g *Gate) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Mark is to be taken before a probe is sent and put into Probe.Mark.
func (g *Gate) Mark() Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return Mark{admitted: g.admitted, narrowed: g.narrowed}
}

// Probe takes in what a probe of the upstream gave.
func (g *Gate) Probe(p Probe) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	defer g.announce()
	if p.Err != nil || p.Latency >= g.Slow {
		g.narrow()
		return
	}
	now := g.Clock.Now()
	if g.restarted(p, now) {
		g.narrow()
	}
	g.startID, g.uptime, g.asOf = p.StartID, p.Uptime, now
	g.held = weights{model: p.Model, version: p.Version, manifest: p.Manifest}
	g.settle(p)
}

// settle lets a sound answer count: it may end the cold state and widen.
func (g *Gate) settle(p Probe) {
	g.proved = true
	if p.Cold {
		g.narrow()
		return
	}
	if p.Mark.narrowed != g.narrowed {
		return
	}
	g.cold = false
	g.confirmed = max(g.confirmed, p.Mark.admitted)
	g.widen()
}

// restarted tells whether the upstream is another one than at the last probe.
func (g *Gate) restarted(p Probe, _ time.Time) bool {
	return !g.proved || p.StartID != g.startID || p.Uptime < g.uptime
}

// Close holds the gate for a reason; nothing new passes until no reason is left.
func (g *Gate) Close(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	if !slices.Contains(g.holds, r) {
		g.holds = append(g.holds, r)
		g.announce()
	}
}

// Open takes away one reason to hold the gate.
func (g *Gate) Open(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	if i := slices.Index(g.holds, r); i >= 0 {
		g.holds = slices.Delete(g.holds, i, i+1)
		g.announce()
	}
}

// Holds lists the reasons for which the gate is closed.
func (g *Gate) Holds() []Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return slices.Clone(g.holds)
}

// State gives the gate's state, its present limit and the exact number of
// requests that are with the upstream.
func (g *Gate) State() (state messenger.GateState, limit, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	switch {
	case len(g.holds) > 0:
		return messenger.GateClosed, g.width, g.running
	case g.cold:
		return messenger.GateCold, g.width, g.running
	}
	return messenger.GateOpen, g.width, g.running
}

// Changed gives a channel that is closed at the next change of the gate.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return g.changed
}

// Idle gives a channel that is closed once no request is with the upstream. It
// stands for the present busy period only: close the gate first.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return g.idle
}

// Drained waits until no request is with the upstream.
func (g *Gate) Drained(ctx context.Context) error {
	select {
	case <-g.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
