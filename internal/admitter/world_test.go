package admitter_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Limits of the upstream in the model.
const (
	coldLimit = 2
	warmLimit = 6
)

// picker chooses a number from 0 to n-1: rapid's draw or a seeded generator.
type picker func(n int) int

// request is an admitted request.
type request struct {
	ticket ticket
	// start is the upstream's start at which it was connected; 0 before.
	start int
	// olderThanCold requests were running before the upstream turned cold
	// without a restart.
	olderThanCold bool
}

// ticket is *admitter.Ticket or that of a naive gate.
type ticket interface {
	Connected()
	Done(admitter.Result)
}

// gate is the gate under test.
type gate interface {
	enter() (ticket, bool)
	Mark() admitter.Mark
	Probe(admitter.Probe)
	Close(admitter.Reason)
	Open(admitter.Reason)
	State() (state messenger.GateState, limit, running int)
}

// realGate is the production gate.
type realGate struct{ *admitter.Gate }

func (o realGate) enter() (ticket, bool) {
	t, err := o.Admit(admitter.Request{})
	return t, err == nil
}

// naiveGate trusts the last probe until the next one and ignores broken
// connections.
type naiveGate struct {
	*admitter.Gate
	limit, running int
	held           bool
}

func (n *naiveGate) enter() (ticket, bool) {
	if n.held || n.running >= n.limit {
		return nil, false
	}
	n.running++
	return naiveTicket{n}, true
}

func (n *naiveGate) Mark() admitter.Mark { return admitter.Mark{} }

func (n *naiveGate) Probe(p admitter.Probe) {
	switch {
	case p.Err != nil:
	case p.Cold:
		n.limit = coldLimit
	default:
		n.limit = warmLimit
	}
}

func (n *naiveGate) Close(admitter.Reason) { n.held = true }
func (n *naiveGate) Open(admitter.Reason)  { n.held = false }

func (n *naiveGate) State() (state messenger.GateState, limit, running int) {
	return messenger.GateOpen, n.limit, n.running
}

// naiveTicket is the ticket of a naiveGate.
type naiveTicket struct{ *naiveGate }

func (naiveTicket) Connected()             {}
func (t naiveTicket) Done(admitter.Result) { t.running-- }

// pendingProbe is a probe whose result the gate has not received.
type pendingProbe struct {
	mark     admitter.Mark
	answered bool
	result   admitter.Probe
}

// world is an upstream and its gate. The upstream restarts, turns cold and
// warms up at random; its answers and broken connections arrive late and out of
// order.
type world struct {
	gate      gate
	clock     *testingclock.FakePassiveClock
	start     int
	startedAt time.Time
	cold      bool
	held      bool
	requests  []*request
	probes    []*pendingProbe
	// maxColdLoad is the most new requests that the upstream had while cold.
	maxColdLoad int
	// admitted counts all admitted requests.
	admitted int
}

func newWorld() *world {
	c := testingclock.NewFakePassiveClock(epoch)
	w := &world{clock: c, start: 1, startedAt: epoch, cold: true}
	g := &admitter.Gate{
		Clock: c, ColdLimit: coldLimit, Limit: warmLimit,
		Slow: time.Second, Step: time.Millisecond, Confirm: true,
	}
	g.Open(admitter.Booting)
	w.gate = realGate{g}
	return w
}

func newNaiveWorld() *world {
	w := newWorld()
	w.gate = &naiveGate{limit: coldLimit}
	return w
}

// step performs one random event.
func (w *world) step(pick picker) error {
	before := len(w.requests)
	actions := []func(picker){
		w.admit, w.admit, w.admit, w.connect, w.connect, w.connect, w.finish, w.finish,
		w.deliverAnswer, w.deliverAnswer, w.sendProbe, w.sendProbe, w.answerProbe, w.answerProbe, w.warm, w.advance,
		w.detectBrokenConnection, w.rarely(w.restart), w.rarely(w.turnCold), w.rarely(w.failProbe), w.rarely(w.toggleHold),
	}
	actions[pick(len(actions))](pick)
	w.maxColdLoad = max(w.maxColdLoad, w.load())
	return w.check(before)
}

// rarely makes an action less frequent, so that the gate has time to raise its
// limit.
func (w *world) rarely(action func(picker)) func(picker) {
	return func(pick picker) {
		if pick(4) == 0 {
			action(pick)
		}
	}
}

func (w *world) check(before int) error {
	_, limit, running := w.gate.State()
	switch {
	case running != len(w.requests):
		return fmt.Errorf("gate reports %d running, want %d", running, len(w.requests))
	case limit > warmLimit || limit < coldLimit:
		return fmt.Errorf("limit is %d", limit)
	case len(w.requests) > before && running > limit:
		return fmt.Errorf("%d admitted at a limit of %d", running, limit)
	case len(w.requests) > before && w.held:
		return errors.New("a closed gate admitted a request")
	}
	return nil
}

// load is the number of new requests at a cold upstream; a warm one can handle
// all that the gate admits.
func (w *world) load() int {
	n := 0
	for _, r := range w.requests {
		if w.cold && !r.olderThanCold && r.start == w.start {
			n++
		}
	}
	return n
}

func (w *world) admit(picker) {
	t, ok := w.gate.enter()
	if !ok {
		return
	}
	w.admitted++
	w.requests = append(w.requests, &request{ticket: t})
}

// randomRequest picks one of the requests for which want is true.
func (w *world) randomRequest(pick picker, want func(*request) bool) *request {
	var rs []*request
	for _, r := range w.requests {
		if want(r) {
			rs = append(rs, r)
		}
	}
	if len(rs) == 0 {
		return nil
	}
	return rs[pick(len(rs))]
}

func (w *world) connect(pick picker) {
	r := w.randomRequest(pick, func(r *request) bool { return r.start == 0 })
	if r == nil {
		return
	}
	r.start = w.start
	r.ticket.Connected()
}

func (w *world) finish(pick picker) {
	w.end(w.randomRequest(pick, func(r *request) bool { return r.start == w.start }), admitter.Served)
}

// detectBrokenConnection ends a request whose connection was broken by a
// restart.
func (w *world) detectBrokenConnection(pick picker) {
	w.end(w.randomRequest(pick, func(r *request) bool { return r.start > 0 && r.start != w.start }), admitter.Cut)
}

func (w *world) end(r *request, o admitter.Outcome) {
	if r == nil {
		return
	}
	r.ticket.Done(admitter.Result{Outcome: o, Latency: time.Second})
	w.requests = slices.DeleteFunc(w.requests, func(x *request) bool { return x == r })
}

func (w *world) restart(picker) {
	w.start++
	w.startedAt = w.clock.Now()
	w.cold = true
}

func (w *world) turnCold(picker) {
	w.cold = true
	for _, r := range w.requests {
		r.olderThanCold = r.olderThanCold || r.start == w.start
	}
}

func (w *world) warm(picker) { w.cold = false }

func (w *world) advance(pick picker) {
	w.clock.SetTime(w.clock.Now().Add(time.Duration(1+pick(50)) * time.Millisecond))
}

func (w *world) sendProbe(picker) {
	if len(w.probes) < 3 {
		w.probes = append(w.probes, &pendingProbe{mark: w.gate.Mark()})
	}
}

func (w *world) answerProbe(pick picker) {
	if len(w.probes) == 0 {
		return
	}
	q := w.probes[pick(len(w.probes))]
	if q.answered {
		return
	}
	q.answered = true
	q.result = admitter.Probe{
		Mark: q.mark, StartID: fmt.Sprint(w.start), Cold: w.cold,
		Uptime: w.clock.Now().Sub(w.startedAt),
	}
}

func (w *world) deliverAnswer(pick picker) {
	if len(w.probes) == 0 {
		return
	}
	i := pick(len(w.probes))
	q := w.probes[i]
	if !q.answered {
		return
	}
	w.gate.Probe(q.result)
	w.probes = slices.Delete(w.probes, i, i+1)
}

func (w *world) failProbe(picker) { w.gate.Probe(admitter.Probe{Err: errors.New("timeout")}) }

func (w *world) toggleHold(picker) {
	w.held = !w.held
	if w.held {
		w.gate.Close(admitter.Drained)
		return
	}
	w.gate.Open(admitter.Drained)
}
