package deduplicator_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
)

// smallLedgerEntries is so small that the ledger evicts keys all the time.
const smallLedgerEntries = 6

// picker chooses a number from 0 to n-1: rapid's draw or a seeded generator.
type picker func(n int) int

// callLedger is a ledger under test, either a deduplicator.Ledger or an lruLedger.
type callLedger interface {
	Begin(k deduplicator.Key) deduplicator.Outcome
	Close(k deduplicator.Key) deduplicator.Outcome
	Finish(k deduplicator.Key, r deduplicator.Reply)
	Abandon(k deduplicator.Key)
	Refuse(k deduplicator.Key)
}

// lruLedger is a naive ledger: it keeps the replies of the last few calls, and nothing
// of a call that did not run.
type lruLedger struct {
	outcomes map[deduplicator.Key]deduplicator.Outcome
	order    []deduplicator.Key
}

func (l *lruLedger) Begin(k deduplicator.Key) deduplicator.Outcome {
	if v, ok := l.outcomes[k]; ok {
		return v
	}
	l.set(k, deduplicator.Running{})
	return deduplicator.Run{}
}

func (l *lruLedger) set(k deduplicator.Key, v deduplicator.Outcome) {
	l.outcomes[k] = v
	l.order = append(l.order, k)
	if len(l.order) > smallLedgerEntries {
		delete(l.outcomes, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *lruLedger) Close(k deduplicator.Key) deduplicator.Outcome {
	if v, ok := l.outcomes[k]; ok {
		return v
	}
	return deduplicator.Refused{}
}

func (l *lruLedger) Finish(k deduplicator.Key, r deduplicator.Reply) {
	l.set(k, deduplicator.Replay{Reply: r})
}
func (l *lruLedger) Abandon(k deduplicator.Key) { delete(l.outcomes, k) }
func (l *lruLedger) Refuse(k deduplicator.Key)  { delete(l.outcomes, k) }

// process is one start of an agent. A replaced one may have been paused:
// it still handles attempts that arrived before.
type process struct {
	ledger  callLedger
	running []*attempt
}

// booking is an operation that its caller needs exactly once.
type booking struct {
	key  deduplicator.Key
	runs int
	// done is set once the caller has the reply.
	done bool
}

// attempt is a message of an entry to an agent; closing ones call Close instead of Begin.
type attempt struct {
	booking *booking
	key     deduplicator.Key
	closing bool
}

// answer is the reply to an attempt.
type answer struct {
	attempt *attempt
	notRun  bool
	body    string
}

// simulation has callers that retry through any entry, entries with skewed clocks,
// messages that are delayed, duplicated or lost, and agents that are replaced.
type simulation struct {
	clock     *testingclock.FakePassiveClock
	make      func(w *simulation, incarnation string) callLedger
	processes []*process
	current   []int
	bookings  []*booking
	attempts  []*attempt
	answers   []answer
	runs      map[deduplicator.Key]int
	keys      int
	// Totals of the whole simulation.
	ran, repeated, wrong, replayed int
}

// agents is the number of agents at any time.
const agents = 2

func newSimulation(m func(w *simulation, incarnation string) callLedger) *simulation {
	w := &simulation{
		clock: testingclock.NewFakePassiveClock(epoch), make: m,
		current: make([]int, agents), runs: map[deduplicator.Key]int{},
	}
	for i := range agents {
		w.replace(i)
	}
	return w
}

func newLedgerUnderTest(w *simulation, incarnation string) callLedger {
	return &deduplicator.Ledger{
		Clock: w.clock, Owner: "vm", Incarnation: incarnation, MaxEntries: smallLedgerEntries,
		Retain: 300 * time.Millisecond, MaxAhead: 10 * time.Millisecond,
	}
}

func newLRULedger(*simulation, string) callLedger {
	return &lruLedger{outcomes: map[deduplicator.Key]deduplicator.Outcome{}}
}

func (w *simulation) replace(agent int) {
	w.current[agent] = len(w.processes)
	p := &process{ledger: w.make(w, fmt.Sprint(len(w.processes)))}
	w.processes = append(w.processes, p)
}

// randomStep performs one random event.
func (w *simulation) randomStep(pick picker) {
	actions := []func(picker){
		w.book, w.send, w.send, w.sendClose, w.deliver, w.deliver, w.deliver, w.runCall, w.runCall,
		w.receiveAnswer, w.receiveAnswer, w.loseAnswer, w.advance,
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

// mint binds a new key to the current start of some agent, with an entry's clock.
func (w *simulation) mint(pick picker) deduplicator.Key {
	w.keys++
	skew := time.Duration(pick(10)-5) * time.Millisecond
	k := newKey(fmt.Sprint(w.keys), w.clock.Now().Add(skew))
	k.Owner, k.Incarnation = "vm", fmt.Sprint(w.current[pick(agents)])
	return k
}

func (w *simulation) book(pick picker) {
	if len(w.bookings) < 6 {
		w.bookings = append(w.bookings, &booking{key: w.mint(pick)})
	}
}

// send adds a first attempt or a retry through another entry.
func (w *simulation) send(pick picker)      { w.addAttempt(pick, false) }
func (w *simulation) sendClose(pick picker) { w.addAttempt(pick, true) }

func (w *simulation) addAttempt(pick picker, closing bool) {
	if len(w.bookings) > 0 && len(w.attempts) < 12 {
		b := w.bookings[pick(len(w.bookings))]
		w.attempts = append(w.attempts, &attempt{booking: b, key: b.key, closing: closing})
	}
}

// recentProcess returns one of the last few processes, replaced or not.
func (w *simulation) recentProcess(pick picker) *process {
	return w.processes[max(0, len(w.processes)-1-pick(agents+1))]
}

// deliver delivers a message to some start of an agent, not always the right one,
// and sometimes leaves a copy in transit.
func (w *simulation) deliver(pick picker) {
	if len(w.attempts) == 0 {
		return
	}
	i := pick(len(w.attempts))
	a := w.attempts[i]
	if pick(3) > 0 {
		w.attempts = slices.Delete(w.attempts, i, i+1)
	}
	p := w.recentProcess(pick)
	if i, err := strconv.Atoi(a.key.Incarnation); err == nil && pick(4) > 0 {
		p = w.processes[i]
	}
	if a.closing {
		w.answerAttempt(a, p.ledger.Close(a.key))
		return
	}
	v := p.ledger.Begin(a.key)
	if _, ok := v.(deduplicator.Run); !ok {
		w.answerAttempt(a, v)
		return
	}
	if pick(4) == 0 {
		p.ledger.Refuse(a.key)
		w.answers = append(w.answers, answer{attempt: a, notRun: true})
		return
	}
	p.running = append(p.running, a)
}

// answerAttempt answers for a key that is not run now; for unknown outcomes it sends nothing.
func (w *simulation) answerAttempt(a *attempt, v deduplicator.Outcome) {
	switch v := v.(type) {
	case deduplicator.Refused:
		w.answers = append(w.answers, answer{attempt: a, notRun: true})
	case deduplicator.Replay:
		w.replayed++
		w.answers = append(w.answers, answer{attempt: a, body: string(v.Reply.Body)})
	}
}

// runCall runs one call at the service of some agent; its reply may be lost.
func (w *simulation) runCall(pick picker) {
	p := w.recentProcess(pick)
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
		w.repeated++
	}
	if pick(4) == 0 {
		p.ledger.Abandon(a.key)
		return
	}
	body := "reply to " + a.key.Nonce
	p.ledger.Finish(a.key, deduplicator.Reply{Status: 200, Body: []byte(body)})
	w.answers = append(w.answers, answer{attempt: a, body: body})
}

// receiveAnswer delivers an answer to its caller, which books again with a new key only after "not run".
func (w *simulation) receiveAnswer(pick picker) {
	if len(w.answers) == 0 {
		return
	}
	i := pick(len(w.answers))
	a := w.answers[i]
	w.answers = slices.Delete(w.answers, i, i+1)
	runs := w.runs[a.attempt.key]
	if a.notRun && runs > 0 || !a.notRun && (runs == 0 || a.body != "reply to "+a.attempt.key.Nonce) {
		w.wrong++
	}
	b := a.attempt.booking
	switch {
	case b.key != a.attempt.key || b.done:
	case a.notRun:
		b.key = w.mint(pick)
	default:
		b.done = true
		w.bookings = slices.DeleteFunc(w.bookings, func(x *booking) bool { return x == b })
	}
}

// loseAnswer drops an answer, or a booking whose caller gives up without one.
func (w *simulation) loseAnswer(pick picker) {
	if n := len(w.answers); n > 0 {
		i := pick(n)
		w.answers = slices.Delete(w.answers, i, i+1)
	}
	if len(w.bookings) > 0 && pick(3) == 0 {
		w.bookings = w.bookings[1:]
	}
}

func (w *simulation) advance(pick picker) {
	w.clock.SetTime(w.clock.Now().Add(time.Duration(1+pick(20)) * time.Millisecond))
}
