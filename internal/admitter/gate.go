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
	// Step is the least time between two steps by which the limit widens; 0 means
	// 100 ms.
	Step time.Duration
	// Confirm bounds what an upstream can get that has turned cold since its last
	// probe: beyond ColdLimit, a request passes only once probes sent after the
	// others were connected have found the upstream warm. Whoever sets it calls
	// Ticket.Connected, probes whenever Wanted says so, and admits by Enter.
	Confirm bool

	mu      sync.Mutex
	begun   bool
	holds   []Reason
	running int
	changed chan struct{}
	idle    chan struct{}

	// width is the present limit, widened when it last grew.
	width   int
	widened time.Time
	// latency is the moving average of replies.
	latency time.Duration
	// fresh are the running requests that no probe has confirmed yet.
	fresh     map[*Ticket]struct{}
	connected uint64
	narrowed  uint64
	wanted    chan struct{}

	// proved is set once a probe was answered; the rest is from the last answer.
	proved  bool
	cold    bool
	startID string
	uptime  time.Duration
	asOf    time.Time
	held    weights
}

// Ticket is the right of one request to be with the upstream.
type Ticket struct {
	gate *Gate
	done bool
	// narrowed is the gate's count of narrowings at admission: what a request
	// proves of the upstream holds only when none came between.
	narrowed uint64
	// connected is the gate's count of connections at this one; 0 before it.
	connected uint64
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
	if g.Slow <= 0 {
		g.Slow = defaultSlow
	}
	if g.Step <= 0 {
		g.Step = defaultStep
	}
	g.width = g.floor()
	g.cold = true
	g.fresh = map[*Ticket]struct{}{}
	g.wanted = make(chan struct{}, 1)
	g.changed = make(chan struct{})
	g.idle = make(chan struct{})
	close(g.idle)
}

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
	t := &Ticket{gate: g, narrowed: g.narrowed}
	if g.Confirm {
		g.fresh[t] = struct{}{}
	}
	return t, nil
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
	case len(g.fresh) >= g.floor():
		// Between two probes the upstream may have been restarted, with nothing
		// running whose connection would have broken. A full load would then meet a
		// cold upstream, which falls over; one would see it by its start id
		// changing again and again under load. What is not confirmed is therefore
		// kept to what a cold upstream bears.
		g.want()
		return &RefusedError{Reason: Unconfirmed, RetryAfter: g.Slow}
	}
	return nil
}

// retryAfter is when the next of the running requests should be through.
func (g *Gate) retryAfter() time.Duration {
	return g.latency / time.Duration(max(g.width, 1))
}

// Enter is Admit that waits out a probe which is asked for now. It returns once
// the gate has decided otherwise or ctx is done; in both cases the error is the
// gate's.
func (g *Gate) Enter(ctx context.Context, w Work) (*Ticket, error) {
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

// Connected notes that the request has its connection: should the upstream be
// restarted from now on, that connection breaks and Done hears of it. Calls
// after the first do nothing.
func (t *Ticket) Connected() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done || t.connected > 0 {
		return
	}
	g.connected++
	t.connected = g.connected
	if len(g.fresh) >= g.floor() && !g.cold {
		g.want()
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
	delete(g.fresh, t)
	g.running--
	g.learn(t, r)
	if g.running == 0 {
		close(g.idle)
	}
	g.announce()
}

// learn takes the end of a request as a sign of how the upstream is.
func (g *Gate) learn(t *Ticket, r Result) {
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
