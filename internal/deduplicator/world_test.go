package deduplicator_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
)

// smallLedger makes the ledger forget all the time.
const smallLedger = 6

// picker chooses a number from 0 to n-1: rapid's draw or a seeded generator.
type picker func(n int) int

// memory is the ledger under test, ours or a naive one.
type memory interface {
	Begin(k deduplicator.Key) deduplicator.Verdict
	Close(k deduplicator.Key) deduplicator.Verdict
	Finish(k deduplicator.Key, r deduplicator.Reply)
	Abandon(k deduplicator.Key)
	Refuse(k deduplicator.Key)
}

// lru is a naive ledger: it keeps the replies of the last few calls, and nothing
// of a call that did not run.
type lru struct {
	verdicts map[deduplicator.Key]deduplicator.Verdict
	order    []deduplicator.Key
}

func (l *lru) Begin(k deduplicator.Key) deduplicator.Verdict {
	if v, ok := l.verdicts[k]; ok {
		return v
	}
	l.set(k, deduplicator.Running{})
	return deduplicator.Run{}
}

func (l *lru) set(k deduplicator.Key, v deduplicator.Verdict) {
	l.verdicts[k] = v
	l.order = append(l.order, k)
	if len(l.order) > smallLedger {
		delete(l.verdicts, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *lru) Close(k deduplicator.Key) deduplicator.Verdict {
	if v, ok := l.verdicts[k]; ok {
		return v
	}
	return deduplicator.Refused{}
}

func (l *lru) Finish(k deduplicator.Key, r deduplicator.Reply) {
	l.set(k, deduplicator.Replay{Reply: r})
}
func (l *lru) Abandon(k deduplicator.Key) { delete(l.verdicts, k) }
func (l *lru) Refuse(k deduplicator.Key)  { delete(l.verdicts, k) }

// process is one start of an agent. One that was replaced may have been paused:
// it still does what reached it before.
type process struct {
	memory  memory
	running []*attempt
}

// booking is what a caller wants done once.
type booking struct {
	key  deduplicator.Key
	runs int
	// over is set once the caller has the reply.
	over bool
}

// attempt is a message of an entry to an agent; closing ones only ask.
type attempt struct {
	booking *booking
	key     deduplicator.Key
	closing bool
}

// answer is what comes back for an attempt.
type answer struct {
	attempt *attempt
	notRun  bool
	body    string
}

// world has callers that retry through any entry, entries with clocks that are
// apart, messages that are late, doubled or lost, and agents that are replaced.
type world struct {
	clock     *testingclock.FakePassiveClock
	make      func(w *world, incarnation string) memory
	processes []*process
	current   []int
	bookings  []*booking
	attempts  []*attempt
	answers   []answer
	runs      map[deduplicator.Key]int
	keys      int
	// Counted over the whole run.
	ran, doubled, untrue, replayed int
}

// agents is how many agents there are at a time.
const agents = 2

func newWorld(m func(w *world, incarnation string) memory) *world {
	w := &world{
		clock: testingclock.NewFakePassiveClock(epoch), make: m,
		current: make([]int, agents), runs: map[deduplicator.Key]int{},
	}
	for i := range agents {
		w.replace(i)
	}
	return w
}

func ourMemory(w *world, incarnation string) memory {
	return &deduplicator.Ledger{
		Clock: w.clock, Owner: "vm", Incarnation: incarnation, MaxEntries: smallLedger,
		Retain: 300 * time.Millisecond, MaxAhead: 10 * time.Millisecond,
	}
}

func naiveMemory(*world, string) memory {
	return &lru{verdicts: map[deduplicator.Key]deduplicator.Verdict{}}
}

func (w *world) replace(agent int) {
	w.current[agent] = len(w.processes)
	p := &process{memory: w.make(w, fmt.Sprint(len(w.processes)))}
	w.processes = append(w.processes, p)
}

// step does one thing that can happen.
func (w *world) step(pick picker) {
	actions := []func(picker){
		w.book, w.send, w.send, w.ask, w.deliver, w.deliver, w.deliver, w.run, w.run,
		w.hear, w.hear, w.lose, w.advance,
	}
	i := pick(len(actions) + 1)
	if i < len(actions) {
		actions[i](pick)
		return
	}
	if pick(10) == 0 {
		w.replace(pick(agents))
	}
}

// mint binds a new key to the present start of some agent, by an entry's clock.
func (w *world) mint(pick picker) deduplicator.Key {
	w.keys++
	skew := time.Duration(pick(10)-5) * time.Millisecond
	k := newKey(fmt.Sprint(w.keys), w.clock.Now().Add(skew))
	k.Owner, k.Incarnation = "vm", fmt.Sprint(w.current[pick(agents)])
	return k
}

func (w *world) book(pick picker) {
	if len(w.bookings) < 6 {
		w.bookings = append(w.bookings, &booking{key: w.mint(pick)})
	}
}

// send is a try, or another one through some other entry.
func (w *world) send(pick picker) { w.message(pick, false) }
func (w *world) ask(pick picker)  { w.message(pick, true) }

func (w *world) message(pick picker, closing bool) {
	if len(w.bookings) > 0 && len(w.attempts) < 12 {
		b := w.bookings[pick(len(w.bookings))]
		w.attempts = append(w.attempts, &attempt{booking: b, key: b.key, closing: closing})
	}
}

// recent is one of the last few processes, replaced or not.
func (w *world) recent(pick picker) *process {
	return w.processes[max(0, len(w.processes)-1-pick(agents+1))]
}

// deliver brings a message to some start of an agent, not always the right one,
// and leaves a copy under way now and then.
func (w *world) deliver(pick picker) {
	if len(w.attempts) == 0 {
		return
	}
	i := pick(len(w.attempts))
	a := w.attempts[i]
	if pick(3) > 0 {
		w.attempts = slices.Delete(w.attempts, i, i+1)
	}
	p := w.recent(pick)
	if i, err := strconv.Atoi(a.key.Incarnation); err == nil && pick(4) > 0 {
		p = w.processes[i]
	}
	if a.closing {
		w.settle(a, p.memory.Close(a.key))
		return
	}
	v := p.memory.Begin(a.key)
	if _, ok := v.(deduplicator.Run); !ok {
		w.settle(a, v)
		return
	}
	if pick(4) == 0 {
		p.memory.Refuse(a.key)
		w.answers = append(w.answers, answer{attempt: a, notRun: true})
		return
	}
	p.running = append(p.running, a)
}

// settle answers for a key that is not run now; of doubt there is nothing to say.
func (w *world) settle(a *attempt, v deduplicator.Verdict) {
	switch v := v.(type) {
	case deduplicator.Refused:
		w.answers = append(w.answers, answer{attempt: a, notRun: true})
	case deduplicator.Replay:
		w.replayed++
		w.answers = append(w.answers, answer{attempt: a, body: string(v.Reply.Body)})
	}
}

// run lets the service of some agent do one call; its answer may be lost.
func (w *world) run(pick picker) {
	p := w.recent(pick)
	if len(p.running) == 0 {
		return
	}
	i := pick(len(p.running))
	a := p.running[i]
	p.running = slices.Delete(p.running, i, i+1)
	w.ran++
	w.runs[a.key]++
	a.booking.runs++
	if a.booking.runs > 1 {
		w.doubled++
	}
	if pick(4) == 0 {
		p.memory.Abandon(a.key)
		return
	}
	body := "reply to " + a.key.Nonce
	p.memory.Finish(a.key, deduplicator.Reply{Status: 200, Body: []byte(body)})
	w.answers = append(w.answers, answer{attempt: a, body: body})
}

// hear brings an answer to the caller, who books anew after "not run" only.
func (w *world) hear(pick picker) {
	if len(w.answers) == 0 {
		return
	}
	i := pick(len(w.answers))
	a := w.answers[i]
	w.answers = slices.Delete(w.answers, i, i+1)
	runs := w.runs[a.attempt.key]
	if a.notRun && runs > 0 || !a.notRun && (runs == 0 || a.body != "reply to "+a.attempt.key.Nonce) {
		w.untrue++
	}
	b := a.attempt.booking
	switch {
	case b.key != a.attempt.key || b.over:
	case a.notRun:
		b.key = w.mint(pick)
	default:
		b.over = true
		w.bookings = slices.DeleteFunc(w.bookings, func(x *booking) bool { return x == b })
	}
}

// lose drops an answer, or lets a caller who hears nothing give its booking up.
func (w *world) lose(pick picker) {
	if n := len(w.answers); n > 0 {
		i := pick(n)
		w.answers = slices.Delete(w.answers, i, i+1)
	}
	if len(w.bookings) > 0 && pick(3) == 0 {
		w.bookings = w.bookings[1:]
	}
}

func (w *world) advance(pick picker) {
	w.clock.SetTime(w.clock.Now().Add(time.Duration(1+pick(20)) * time.Millisecond))
}
