package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// Defaults for the fields of Gate.
const (
	defaultColdLimit = 1
	defaultSlow      = time.Second
	defaultStep      = 100 * time.Millisecond
)

// Gate admits requests to one upstream. Set the exported fields before the
// first call. A new gate is closed for Booting. All methods may be called
// concurrently.
type Gate struct {
	Clock clock.PassiveClock
	// ColdLimit is how many concurrent requests a cold upstream can handle; 0
	// means 1.
	ColdLimit int
	// Limit is how many it can handle when warm.
	Limit int
	// Slow is the latency from which a probe counts as failed; 0 means one
	// second.
	Slow time.Duration
	// Step is the least time between two increments of the limit; 0 means 100 ms.
	Step time.Duration
	// Confirm bounds the load on an upstream that turned cold since its last
	// probe: beyond ColdLimit, a request is admitted only after probes sent once
	// the others were connected have found the upstream warm. It requires calls
	// of Ticket.Connected, a probe whenever ProbeWanted signals, and admission by
	// AdmitWait.
	Confirm bool

	mu          sync.Mutex
	initialized bool
	holds       []Reason
	running     int
	changed     chan struct{}
	idle        chan struct{}

	// currentLimit is the present limit, limitRaisedAt when it last grew.
	currentLimit  int
	limitRaisedAt time.Time
	// latency is the moving average of reply latencies.
	latency time.Duration
	// unconfirmed are the running requests not yet confirmed by a probe.
	unconfirmed map[*Ticket]struct{}
	connected   uint64
	resets      uint64
	probeWanted chan struct{}

	// probed is set once a probe was answered; the rest is from the last answer.
	probed   bool
	cold     bool
	startID  string
	uptime   time.Duration
	probedAt time.Time
	loaded   weights
}

// Ticket is the admission of one request to the upstream.
type Ticket struct {
	gate *Gate
	done bool
	// resets is the gate's count of limit resets at admission: the request's
	// result is evidence only if there was none since.
	resets uint64
	// connected is the gate's connection count at this connection; 0 before it.
	connected uint64
}

// initialize sets the defaults of a zero Gate. Callers hold g.mu.
func (g *Gate) initialize() {
	if g.initialized {
		return
	}
	g.initialized = true
	g.holds = append(g.holds, Booting)
	g.ColdLimit = max(g.ColdLimit, defaultColdLimit)
	g.Limit = max(g.Limit, 1)
	if g.Slow <= 0 {
		g.Slow = defaultSlow
	}
	if g.Step <= 0 {
		g.Step = defaultStep
	}
	g.currentLimit = g.coldLimit()
	g.cold = true
	g.unconfirmed = map[*Ticket]struct{}{}
	g.probeWanted = make(chan struct{}, 1)
	g.changed = make(chan struct{})
	g.idle = make(chan struct{})
	close(g.idle)
}

// Admit decides at once whether w may pass. A refusal is a *RefusedError.
func (g *Gate) Admit(w Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	if err := g.refusal(w); err != nil {
		return nil, err
	}
	if g.running == 0 {
		g.idle = make(chan struct{})
	}
	g.running++
	t := &Ticket{gate: g, resets: g.resets}
	if g.Confirm {
		g.unconfirmed[t] = struct{}{}
	}
	return t, nil
}

// refusal returns why w is not admitted; nil if it is.
func (g *Gate) refusal(w Request) error {
	switch {
	case len(g.holds) > 0:
		return &RefusedError{Reason: g.holds[0]}
	case !w.Deadline.IsZero() && !g.Clock.Now().Before(w.Deadline):
		return &RefusedError{Reason: Expired}
	case !g.loaded.satisfies(w):
		return &RefusedError{Reason: WrongWeights}
	case w.EngineStart != "" && w.EngineStart != g.startID:
		return &RefusedError{Reason: WrongStart}
	case g.running >= g.currentLimit:
		return &RefusedError{Reason: Full, RetryAfter: g.retryAfter()}
	case len(g.unconfirmed) >= g.coldLimit():
		// Between two probes an idle upstream may have restarted without breaking
		// any connection. A full load on the cold upstream would crash it, which
		// shows as start ids that keep changing under load. Unconfirmed requests
		// are therefore limited to what a cold upstream can handle.
		g.requestProbe()
		return &RefusedError{Reason: Unconfirmed, RetryAfter: g.Slow}
	}
	return nil
}

// retryAfter is when the next of the running requests should end.
func (g *Gate) retryAfter() time.Duration {
	return g.latency / time.Duration(max(g.currentLimit, 1))
}

// AdmitWait is Admit that waits for a pending probe if one is required. It returns
// once the gate has decided or ctx is done; in both cases the error is the gate's.
func (g *Gate) AdmitWait(ctx context.Context, w Request) (*Ticket, error) {
	for {
		changed := g.Changed()
		t, err := g.Admit(w)
		var r *RefusedError
		if !errors.As(err, &r) || r.Reason != Unconfirmed {
			return t, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, err
		}
	}
}

// Connected records that the request has its connection: a restart of the
// upstream from this point on breaks it and is reported to Done. Calls after
// the first do nothing.
func (t *Ticket) Connected() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done || t.connected > 0 {
		return
	}
	g.connected++
	t.connected = g.connected
	if len(g.unconfirmed) >= g.coldLimit() && !g.cold {
		g.requestProbe()
	}
}

// Done ends the request; calls after the first do nothing.
func (t *Ticket) Done(r Result) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	delete(g.unconfirmed, t)
	g.running--
	g.applyResult(t, r)
	if g.running == 0 {
		close(g.idle)
	}
	g.notifyChanged()
}

// applyResult adjusts the limit to the result of a request.
func (g *Gate) applyResult(t *Ticket, r Result) {
	switch r.Outcome {
	case Served, Failed:
		g.updateLatency(r.Latency)
		if t.resets == g.resets {
			g.raiseLimit()
		}
	case Refused, Cut:
		g.resetLimit()
	case Cancelled:
	}
}

// updateLatency updates the moving average of reply latencies.
func (g *Gate) updateLatency(d time.Duration) {
	const weight = 8
	if g.latency == 0 {
		g.latency = d
		return
	}
	g.latency += (d - g.latency) / weight
}
