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

// bookings is two entries before three agents of a service whose calls may not
// be repeated. Messages arrive in any order or not at all, agents are replaced,
// domains are drained. The oracle counts how often each booking truly ran.
type bookings struct {
	clock    *clocktesting.FakePassiveClock
	random   *rand.Rand
	naive    bool
	bundle   *bundler.Bundle
	counters [2]*counter
	agents   []*agent
	messages []func()
	all      []*booking

	worstCold, inDrained int
}

// counter is what an entry decides with.
type counter struct {
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
	counter, attempts, asked, runs, told int
	key                                  *deduplicator.Key
	doubtful                             bool
	avoid                                []string
	word                                 retrier.Outcome
	ticket                               *limiter.Ticket
}

func newBookings(naive bool) *bookings {
	f := &bookings{clock: clocktesting.NewFakePassiveClock(epoch), random: rand.New(rand.NewPCG(5, 5)), naive: naive, bundle: threeDomains()}
	f.bundle.Workspaces[0].Limits.Concurrent = 40
	for i := range f.counters {
		f.counters[i] = &counter{
			Router:  &router.Router{FailureDomain: "north", Region: "one", Clock: f.clock, Random: f.random},
			Policy:  &retrier.Policy{Budget: &retrier.Budget{Clock: f.clock, Floor: 20}, Random: f.random},
			limiter: &limiter.Limiter{Clock: f.clock, Entries: func() int { return 2 }, Random: f.random},
		}
		f.counters[i].SetBundle(f.bundle)
		f.counters[i].limiter.SetBundle(f.bundle)
	}
	for i, d := range []string{"north", "south", "east"} {
		a := &agent{AgentState: engine(i, d)}
		a.Kind, a.Service = messenger.KindService, "bookings"
		f.agents = append(f.agents, a)
		f.restart(a)
	}
	return f
}

func (f *bookings) send(m func()) { f.messages = append(f.messages, m) }

func (f *bookings) restart(a *agent) {
	a.Incarnation = fmt.Sprint(f.random.Uint64())
	a.Sequence, a.running, a.warm = 0, 0, false
	a.gate = &admitter.Gate{Clock: f.clock, Limit: 4}
	a.ledger = &deduplicator.Ledger{Clock: f.clock, Owner: a.ID, Incarnation: a.Incarnation}
	if a.drained {
		a.gate.Close(admitter.Drained)
	}
}

// probe finds the upstream of a restarted agent cold, and warm from the next time.
func (f *bookings) probe(a *agent) {
	a.warm = a.warm || f.random.IntN(4) == 0
	a.gate.Probe(admitter.Probe{Mark: a.gate.Mark(), StartID: a.Incarnation, Cold: !a.warm})
	a.gate.Open(admitter.Booting)
}

func (f *bookings) report(a *agent) {
	a.Gate, a.Limit, a.Running = a.gate.State()
	a.Sequence++
	s := a.AgentState
	for _, c := range f.counters {
		f.send(func() { c.Report(s) })
	}
}

func (f *bookings) roll() {
	b := threeDomains()
	b.Revision = f.bundle.Revision + 1
	at := f.random.IntN(4)
	if at < 3 {
		b.FailureDomains[at].Drained = true
	}
	f.bundle = b
	for _, c := range f.counters {
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

func (f *bookings) step() {
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
			f.roll()
		}
	default:
		f.deliver()
	}
}

func (f *bookings) deliver() {
	if len(f.messages) == 0 {
		return
	}
	i := f.random.IntN(len(f.messages))
	m := f.messages[i]
	f.messages = slices.Delete(f.messages, i, i+1)
	m()
}

func (f *bookings) book() {
	b := &booking{counter: f.random.IntN(2)}
	t, err := f.counters[b.counter].limiter.Admit("farm", 0, 0)
	if err != nil {
		return
	}
	b.ticket = t
	f.all = append(f.all, b)
	f.attempt(b)
}

func (f *bookings) attempt(b *booking) {
	q := router.Request{Workspace: "farm", Service: "bookings", Avoid: b.avoid}
	if b.key != nil {
		q.Owner, q.Avoid = b.key.Owner, nil
	}
	c, err := f.counters[b.counter].Pick(q)
	if err != nil {
		f.end(b, retrier.NotRun)
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
			f.ended(b, c, retrier.NotRun, true)
			return
		}
		f.arrive(a, b, k, func(o retrier.Outcome) {
			if f.random.IntN(12) == 0 {
				o = retrier.Unknown
			}
			f.send(func() { f.ended(b, c, o, false) })
		})
	})
}

// arrive is the agent: ledger first, then gate, then the service.
func (f *bookings) arrive(a *agent, b *booking, k deduplicator.Key, reply func(retrier.Outcome)) {
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
		f.inDrained++
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

func (f *bookings) ended(b *booking, c *router.Choice, o retrier.Outcome, gone bool) {
	c.Done(o)
	earlier := retrier.NotRun
	if b.doubtful {
		earlier = retrier.Unknown
	}
	d := f.counters[b.counter].Decide(retrier.Attempt{Outcome: o, Earlier: earlier, Number: b.attempts, Idempotent: true, Now: f.clock.Now()})
	b.doubtful = o == retrier.Unknown || b.doubtful && gone
	if f.naive || o == retrier.NotRun && !b.doubtful {
		b.key, b.doubtful, b.avoid = nil, false, append(b.avoid, c.AgentID)
	}
	if d.Retry {
		f.send(func() { f.attempt(b) })
		return
	}
	f.end(b, o)
}

// end tells the caller, who asks again through the other entry when in doubt.
func (f *bookings) end(b *booking, o retrier.Outcome) {
	if b.doubtful && o == retrier.NotRun {
		o = retrier.Unknown
	}
	if o == retrier.Unknown && b.asked < 2 {
		b.asked, b.attempts, b.counter = b.asked+1, 0, 1-b.counter
		f.send(func() { f.attempt(b) })
		return
	}
	b.word = o
	b.told++
	b.ticket.Done()
}

// count gives how many bookings ran twice, how many were wrongly told to have run
// or not, and how many ran once.
func (f *bookings) count(steps int) (twice, lies, once int) {
	for range steps {
		f.step()
	}
	for len(f.messages) > 0 {
		f.deliver()
	}
	for _, b := range f.all {
		switch {
		case b.runs > 1:
			twice++
		case b.runs == 1:
			once++
		}
		if b.told != 1 || b.word == retrier.NotRun && b.runs > 0 || b.word == retrier.Ran && b.runs == 0 {
			lies++
		}
	}
	return twice, lies, once
}

// Bookings meet lost answers, replaced agents, late reports and drained domains,
// and callers ask again through another entry. A user notices a fault as two
// bookings of one slot, or as one that was said not to have run.
func TestBookingsAgainstOracle(t *testing.T) {
	ours, naive := newBookings(false), newBookings(true)
	twice, lies, once := ours.count(100_000)
	t.Logf("ours: %d bookings, %d ran once, %d twice, %d lies, worst cold load %d, %d in drained domains",
		len(ours.all), once, twice, lies, ours.worstCold, ours.inDrained)
	must.EqOp(t, 0, twice)
	must.EqOp(t, 0, lies)
	must.EqOp(t, 0, ours.inDrained)
	must.LessEq(t, 1, ours.worstCold)
	must.Greater(t, len(ours.all)/2, once)
	twice, lies, once = naive.count(100_000)
	t.Logf("naive: %d bookings, %d ran once, %d twice, %d lies, worst cold load %d, %d in drained domains",
		len(naive.all), once, twice, lies, naive.worstCold, naive.inDrained)
	must.Positive(t, twice)
	must.Positive(t, lies)
}
