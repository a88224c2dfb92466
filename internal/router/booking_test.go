package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// bookingModel simulates two entries and three agents of a service whose calls
// may not be repeated. Messages are reordered or lost, agents are replaced,
// domains are drained. The oracle counts how often each booking really ran.
type bookingModel struct {
	clock    *clocktesting.FakePassiveClock
	random   *rand.Rand
	naive    bool
	bundle   *bundler.Bundle
	entries  [2]*bookingEntry
	agents   []*agent
	messages []func()
	booked   []*booking

	worstCold, runsInDrained int
}

// bookingEntry is the state that an entry decides with.
type bookingEntry struct {
	*router.Router
	*retrier.Policy
	limiter *limiter.Limiter
}

type agent struct {
	messenger.AgentState
	gate    *admitter.Gate
	ledger  *deduplicator.Ledger
	running int
	warm    bool
	drained bool
}

type booking struct {
	entry, attempts, callerRetries, runs, answers int
	key                                           *deduplicator.Key
	uncertain                                     bool
	avoid                                         []string
	answer                                        retrier.Outcome
	ticket                                        *limiter.Ticket
}

func newBookingModel(naive bool) *bookingModel {
	f := &bookingModel{clock: clocktesting.NewFakePassiveClock(epoch), random: rand.New(rand.NewPCG(5, 5)), naive: naive, bundle: threeDomains()}
	f.bundle.Workspaces[0].Limits.Concurrent = 40
	for i := range f.entries {
		f.entries[i] = &bookingEntry{
			Router:  &router.Router{FailureDomain: "north", Region: "one", Clock: f.clock, Random: f.random},
			Policy:  &retrier.Policy{Budget: &retrier.Budget{Clock: f.clock, Floor: 20}, Random: f.random},
			limiter: &limiter.Limiter{Clock: f.clock, Entries: func() int { return 2 }, Random: f.random},
		}
		f.entries[i].SetBundle(f.bundle)
		f.entries[i].limiter.SetBundle(f.bundle)
	}
	for i, d := range []string{"north", "south", "east"} {
		a := &agent{AgentState: engine(i, d)}
		a.Kind, a.Service = messenger.KindService, "bookings"
		f.agents = append(f.agents, a)
		f.restart(a)
	}
	return f
}

func (f *bookingModel) send(m func()) { f.messages = append(f.messages, m) }

func (f *bookingModel) restart(a *agent) {
	a.Incarnation = fmt.Sprint(f.random.Uint64())
	a.Sequence, a.running, a.warm = 0, 0, false
	a.gate = &admitter.Gate{Clock: f.clock, Limit: 4}
	a.ledger = &deduplicator.Ledger{Clock: f.clock, Owner: a.ID, Incarnation: a.Incarnation}
	if a.drained {
		a.gate.Close(admitter.Drained)
	}
}

// probe finds the upstream of a restarted agent cold at first and warm later.
func (f *bookingModel) probe(a *agent) {
	a.warm = a.warm || f.random.IntN(4) == 0
	a.gate.Probe(admitter.Probe{Mark: a.gate.Mark(), StartID: a.Incarnation, Cold: !a.warm})
	a.gate.Open(admitter.Booting)
}

func (f *bookingModel) report(a *agent) {
	a.Gate, a.Limit, a.Running = a.gate.State()
	a.Sequence++
	s := a.AgentState
	for _, c := range f.entries {
		f.send(func() { c.Report(s) })
	}
}

func (f *bookingModel) changeBundle() {
	b := threeDomains()
	b.Revision = f.bundle.Revision + 1
	domain := f.random.IntN(4)
	if domain < 3 {
		b.FailureDomains[domain].Drained = true
	}
	f.bundle = b
	for _, c := range f.entries {
		f.send(func() { c.SetBundle(b) })
	}
	for _, a := range f.agents {
		d, _ := b.Domain(a.FailureDomain)
		a.drained = d.Drained
		if d.Drained {
			a.gate.Close(admitter.Drained)
		} else {
			a.gate.Open(admitter.Drained)
		}
	}
}

func (f *bookingModel) step() {
	a := f.agents[f.random.IntN(3)]
	switch f.random.IntN(24) {
	case 0:
		f.book()
	case 1, 2, 3:
		f.report(a)
	case 4:
		f.probe(a)
	case 5:
		f.clock.SetTime(f.clock.Now().Add(time.Duration(f.random.IntN(400)) * time.Millisecond))
	case 6:
		if f.random.IntN(100) == 0 {
			f.restart(a)
		}
	case 7:
		if f.random.IntN(10) == 0 {
			f.changeBundle()
		}
	default:
		f.deliver()
	}
}

func (f *bookingModel) deliver() {
	if len(f.messages) == 0 {
		return
	}
	i := f.random.IntN(len(f.messages))
	m := f.messages[i]
	f.messages = slices.Delete(f.messages, i, i+1)
	m()
}

func (f *bookingModel) book() {
	b := &booking{entry: f.random.IntN(2)}
	t, err := f.entries[b.entry].limiter.Admit("farm", 0, 0)
	if err != nil {
		return
	}
	b.ticket = t
	f.booked = append(f.booked, b)
	f.sendAttempt(b)
}

func (f *bookingModel) sendAttempt(b *booking) {
	q := router.Request{Workspace: "farm", Service: "bookings", Avoid: b.avoid}
	if b.key != nil {
		q.Owner, q.Avoid = b.key.Owner, nil
	}
	c, err := f.entries[b.entry].Pick(q)
	if err != nil {
		f.answerCaller(b, retrier.NotRun)
		return
	}
	b.attempts++
	if b.key == nil {
		b.key = &deduplicator.Key{Owner: c.AgentID, Incarnation: c.Incarnation, Issued: f.clock.Now(), Nonce: fmt.Sprint(f.random.Uint64())}
	}
	a := f.agents[slices.IndexFunc(f.agents, func(a *agent) bool { return a.ID == c.AgentID })]
	if f.naive {
		a = f.agents[f.random.IntN(3)]
	}
	k := *b.key
	f.send(func() {
		if f.random.IntN(12) == 0 {
			f.attemptEnded(b, c, retrier.NotRun, true)
			return
		}
		f.handleAttempt(a, b, k, func(o retrier.Outcome) {
			if f.random.IntN(12) == 0 {
				o = retrier.Unknown
			}
			f.send(func() { f.attemptEnded(b, c, o, false) })
		})
	})
}

// handleAttempt simulates the agent: ledger first, then gate, then the service.
func (f *bookingModel) handleAttempt(a *agent, b *booking, k deduplicator.Key, reply func(retrier.Outcome)) {
	switch v := a.ledger.Begin(k).(type) {
	case deduplicator.Run:
	case deduplicator.Replay:
		reply(retrier.Ran)
		return
	case deduplicator.Refused:
		reply(retrier.NotRun)
		return
	default:
		if _, running := v.(deduplicator.Running); !f.naive || running {
			reply(retrier.Unknown)
			return
		}
	}
	t, err := a.gate.Admit(admitter.Request{})
	if err != nil && !f.naive {
		a.ledger.Refuse(k)
		reply(retrier.NotRun)
		return
	}
	b.runs++
	a.running++
	if a.drained {
		f.runsInDrained++
	}
	if !a.warm {
		f.worstCold = max(f.worstCold, a.running)
	}
	gate, ledger := a.gate, a.ledger
	f.send(func() {
		if gate != a.gate {
			reply(retrier.Unknown)
			return
		}
		a.running--
		o := retrier.Ran
		if f.random.IntN(12) == 0 {
			o = retrier.Unknown
			ledger.Abandon(k)
		}
		ledger.Finish(k, deduplicator.Reply{})
		if t != nil {
			t.Done(admitter.Result{Outcome: admitter.Served})
		}
		reply(o)
	})
}

func (f *bookingModel) attemptEnded(b *booking, c *router.Choice, o retrier.Outcome, lost bool) {
	c.Done(o)
	earlier := retrier.NotRun
	if b.uncertain {
		earlier = retrier.Unknown
	}
	d := f.entries[b.entry].Decide(retrier.Attempt{Outcome: o, Earlier: earlier, Number: b.attempts, Idempotent: true, Now: f.clock.Now()})
	b.uncertain = o == retrier.Unknown || b.uncertain && lost
	if f.naive || o == retrier.NotRun && !b.uncertain {
		b.key, b.uncertain, b.avoid = nil, false, append(b.avoid, c.AgentID)
	}
	if d.Retry {
		f.send(func() { f.sendAttempt(b) })
		return
	}
	f.answerCaller(b, o)
}

// answerCaller answers the caller, or lets it retry through the other entry.
func (f *bookingModel) answerCaller(b *booking, o retrier.Outcome) {
	if b.uncertain && o == retrier.NotRun {
		o = retrier.Unknown
	}
	if o == retrier.Unknown && b.callerRetries < 2 {
		b.callerRetries, b.attempts, b.entry = b.callerRetries+1, 0, 1-b.entry
		f.send(func() { f.sendAttempt(b) })
		return
	}
	b.answer = o
	b.answers++
	b.ticket.Done()
}

// countRuns returns how many bookings ran twice, how many got a wrong answer
// about having run, and how many ran once.
func (f *bookingModel) countRuns(steps int) (twice, wrong, once int) {
	for range steps {
		f.step()
	}
	for len(f.messages) > 0 {
		f.deliver()
	}
	for _, b := range f.booked {
		switch {
		case b.runs > 1:
			twice++
		case b.runs == 1:
			once++
		}
		if b.answers != 1 || b.answer == retrier.NotRun && b.runs > 0 || b.answer == retrier.Ran && b.runs == 0 {
			wrong++
		}
	}
	return twice, wrong, once
}

// Answers are lost, agents replaced, reports late and domains drained, and
// callers retry through another entry. A fault shows as two bookings of one
// slot, or as one that ran although the answer was that it did not.
func TestBookingsAgainstOracle(t *testing.T) {
	ours, naive := newBookingModel(false), newBookingModel(true)
	twice, wrong, once := ours.countRuns(100_000)
	t.Logf("ours: %d bookings, %d ran once, %d twice, %d wrong answers, worst cold load %d, %d in drained domains",
		len(ours.booked), once, twice, wrong, ours.worstCold, ours.runsInDrained)
	must.EqOp(t, 0, twice)
	must.EqOp(t, 0, wrong)
	must.EqOp(t, 0, ours.runsInDrained)
	must.LessEq(t, 1, ours.worstCold)
	must.Greater(t, len(ours.booked)/2, once)
	twice, wrong, once = naive.countRuns(100_000)
	t.Logf("naive: %d bookings, %d ran once, %d twice, %d wrong answers, worst cold load %d, %d in drained domains",
		len(naive.booked), once, twice, wrong, naive.worstCold, naive.runsInDrained)
	must.Positive(t, twice)
	must.Positive(t, wrong)
}
