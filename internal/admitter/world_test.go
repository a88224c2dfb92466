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

// Sizes of the upstream in the model.
const (
	coldLimit = 2
	warmLimit = 6
)

// picker chooses a number from 0 to n-1: rapid's draw or a seeded generator.
type picker func(n int) int

// request is one that the gate let through.
type request struct {
	ticket ticket
	// start is the upstream's start at which it got its connection; 0 before.
	start int
	// old requests were there before the upstream turned cold in place.
	old bool
}

// ticket is *admitter.Ticket or that of a naive gate.
type ticket interface {
	Connected()
	Done(admitter.Result)
}

// subject is the gate under test.
type subject interface {
	enter() (ticket, bool)
	Mark() admitter.Mark
	Probe(admitter.Probe)
	Close(admitter.Reason)
	Open(admitter.Reason)
	State() (state messenger.GateState, limit, running int)
}

// ours is the real gate.
type ours struct{ *admitter.Gate }

func (o ours) enter() (ticket, bool) {
	t, err := o.Admit(admitter.Work{})
	return t, err == nil
}

// naive believes the last probe until the next one and does not read broken
// connections as a sign.
type naive struct {
	*admitter.Gate
	limit, running int
	held           bool
}

func (n *naive) enter() (ticket, bool) {
	if n.held || n.running >= n.limit {
		return nil, false
	}
	n.running++
	return naiveTicket{n}, true
}

func (n *naive) Mark() admitter.Mark { return admitter.Mark{} }

func (n *naive) Probe(p admitter.Probe) {
	switch {
	case p.Err != nil:
	case p.Cold:
		n.limit = coldLimit
	default:
		n.limit = warmLimit
	}
}

func (n *naive) Close(admitter.Reason) { n.held = true }
func (n *naive) Open(admitter.Reason)  { n.held = false }

func (n *naive) State() (state messenger.GateState, limit, running int) {
	return messenger.GateOpen, n.limit, n.running
}

// naiveTicket counts one request back.
type naiveTicket struct{ *naive }

func (naiveTicket) Connected()             {}
func (t naiveTicket) Done(admitter.Result) { t.running-- }

// question is a probe on its way.
type question struct {
	mark     admitter.Mark
	answered bool
	answer   admitter.Probe
}

// world is an upstream and its gate. The upstream is restarted, turns cold and
// warms up when it likes; its answers and broken connections are heard late and
// out of order.
type world struct {
	gate      subject
	clock     *testingclock.FakePassiveClock
	start     int
	startedAt time.Time
	cold      bool
	held      bool
	requests  []*request
	questions []*question
	// worst is the most that the upstream had of new work while it was cold.
	worst int
	// admitted counts all that passed.
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
	w.gate = ours{g}
	return w
}

func newNaiveWorld() *world {
	w := newWorld()
	w.gate = &naive{limit: coldLimit}
	return w
}

// step does one thing that can happen.
func (w *world) step(pick picker) error {
	before := len(w.requests)
	actions := []func(picker){
		w.admit, w.admit, w.admit, w.connect, w.connect, w.connect, w.finish, w.finish,
		w.hear, w.hear, w.ask, w.ask, w.answer, w.answer, w.warm, w.advance,
		w.notice, w.rarely(w.restart), w.rarely(w.turnCold), w.rarely(w.fail), w.rarely(w.hold),
	}
	actions[pick(len(actions))](pick)
	w.worst = max(w.worst, w.load())
	return w.check(before)
}

// rarely thins out an action, so that the gate has time to widen.
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
		return fmt.Errorf("gate counts %d running, %d are", running, len(w.requests))
	case limit > warmLimit || limit < coldLimit:
		return fmt.Errorf("limit is %d", limit)
	case len(w.requests) > before && running > limit:
		return fmt.Errorf("%d let through at a limit of %d", running, limit)
	case len(w.requests) > before && w.held:
		return errors.New("a held gate let a request through")
	}
	return nil
}

// load is the new work of a cold upstream; a warm one bears all the gate gives.
func (w *world) load() int {
	n := 0
	for _, r := range w.requests {
		if w.cold && !r.old && r.start == w.start {
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

// where picks one of the requests for which want holds.
func (w *world) where(pick picker, want func(*request) bool) *request {
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
	r := w.where(pick, func(r *request) bool { return r.start == 0 })
	if r == nil {
		return
	}
	r.start = w.start
	r.ticket.Connected()
}

func (w *world) finish(pick picker) {
	w.end(w.where(pick, func(r *request) bool { return r.start == w.start }), admitter.Served)
}

// notice is the agent reading the end of a connection that a restart broke.
func (w *world) notice(pick picker) {
	w.end(w.where(pick, func(r *request) bool { return r.start > 0 && r.start != w.start }), admitter.Cut)
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
		r.old = r.old || r.start == w.start
	}
}

func (w *world) warm(picker) { w.cold = false }

func (w *world) advance(pick picker) {
	w.clock.SetTime(w.clock.Now().Add(time.Duration(1+pick(50)) * time.Millisecond))
}

func (w *world) ask(picker) {
	if len(w.questions) < 3 {
		w.questions = append(w.questions, &question{mark: w.gate.Mark()})
	}
}

func (w *world) answer(pick picker) {
	if len(w.questions) == 0 {
		return
	}
	q := w.questions[pick(len(w.questions))]
	if q.answered {
		return
	}
	q.answered = true
	q.answer = admitter.Probe{
		Mark: q.mark, StartID: fmt.Sprint(w.start), Cold: w.cold,
		Uptime: w.clock.Now().Sub(w.startedAt),
	}
}

func (w *world) hear(pick picker) {
	if len(w.questions) == 0 {
		return
	}
	i := pick(len(w.questions))
	q := w.questions[i]
	if !q.answered {
		return
	}
	w.gate.Probe(q.answer)
	w.questions = slices.Delete(w.questions, i, i+1)
}

func (w *world) fail(picker) { w.gate.Probe(admitter.Probe{Err: errors.New("timeout")}) }

func (w *world) hold(picker) {
	w.held = !w.held
	if w.held {
		w.gate.Close(admitter.Drained)
		return
	}
	w.gate.Open(admitter.Drained)
}
