package gossiper_test

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at  time.Time
	act func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// stillClock is a virtual clock whose timers never fire: calls take no time here.
type stillClock struct {
	clock.WithDelayedExecution
	passive *testclock.FakePassiveClock
}

func (c stillClock) Now() time.Time                                  { return c.passive.Now() }
func (c stillClock) AfterFunc(_ time.Duration, _ func()) clock.Timer { return stillTimer{} }

type stillTimer struct{ clock.Timer }

func (stillTimer) Stop() bool { return true }

const (
	agentsPerEntry = 32
	entriesOfAgent = 2
	heartbeat      = time.Second // of an agent to each of its entries
	hop            = 3 * time.Millisecond
	loss           = 0.01 // share of calls and pushes that come to nothing
	rounds         = 10
)

// propagation is a deployment in virtual time over the real states, watchers and
// exchangers; only their loops are played by events. It is the store, too.
type propagation struct {
	storer.Store
	queue   events
	clock   stillClock
	random  *rand.Rand
	entries []*member
	names   []messenger.EntryState
	agents  []*gossiper.State
	current *bundler.Record
	// revision is that of current, which was accepted at since.
	revision uint64
	since    time.Time
	down     bool
	calls    int
	swaps    int
	// records counts records read from the store, far those that entries sent
	// each other from one region to another.
	records, far int
	took         []time.Duration
}

type member struct {
	state     *gossiper.State
	watcher   *gossiper.Watcher
	exchanger *gossiper.Exchanger
	agents    []int
	held      uint64
	rearmed   time.Time
}

func newPropagation(entries int) *propagation {
	p := &propagation{
		clock:    stillClock{passive: testclock.NewFakePassiveClock(start)},
		random:   rand.New(rand.NewPCG(uint64(entries), 1)),
		current:  signed(1, "c1"),
		revision: 1,
	}
	regions := 3
	if entries > 100 {
		regions = 5
	}
	for i := range entries {
		p.names = append(p.names, messenger.EntryState{ID: fmt.Sprint(i), Region: fmt.Sprintf("r%d", i%regions)})
	}
	for i := range entries {
		p.entries = append(p.entries, p.member(i))
	}
	for i := range entries * agentsPerEntry {
		p.agents = append(p.agents, &gossiper.State{Keyring: keyring(), Clock: p.clock})
		for k := range entriesOfAgent {
			e := p.entries[(i+k*(1+i/entries))%entries]
			e.agents = append(e.agents, i)
			p.after(p.below(heartbeat), func() { p.report(i, e) })
		}
	}
	return p
}

func (p *propagation) member(i int) *member {
	m := &member{}
	m.state = &gossiper.State{Keyring: keyring(), Clock: p.clock, Entries: len(p.names), ID: p.names[i].ID, Region: p.names[i].Region}
	others := slices.Concat(p.names[:i], p.names[i+1:])
	m.exchanger = &gossiper.Exchanger{
		State:  m.state,
		Clock:  p.clock,
		Random: p.random,
		Self:   func() messenger.EntryState { return p.names[i] },
		Peers:  func() []messenger.EntryState { return others },
		Call:   p.call,
	}
	m.watcher = &gossiper.Watcher{Store: p, State: m.state, Clock: p.clock, Jitter: p.below, Relay: m.exchanger.IsRelay}
	p.after(p.below(time.Second), func() { p.probe(m) })
	p.after(p.below(time.Second), func() { p.compare(m, 0) })
	return m
}

func (p *propagation) call(_ context.Context, to messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error) {
	p.swaps++
	if p.random.Float64() < loss {
		return x, errors.New("lost")
	}
	i, _ := strconv.Atoi(to.ID)
	a := p.entries[i].exchanger.Answer(x)
	if to.Region != x.State.Region && (a.Record != nil || x.Record != nil) {
		p.far++
	}
	p.moved(p.entries[i])
	return a, nil
}

// Get is the store's.
func (p *propagation) Get(_ context.Context, key string) (storer.Item, error) {
	p.calls++
	if p.down {
		return storer.Item{}, errors.New("down")
	}
	if key == gossiper.HeadKey {
		value, err := json.Marshal(gossiper.Head{Revision: p.revision, Digest: p.current.Digest()})
		return storer.Item{Value: value, Version: 1}, err
	}
	p.records++
	value, err := p.current.Encode()
	return storer.Item{Value: value, Version: 1}, err
}

func (p *propagation) after(d time.Duration, act func()) {
	heap.Push(&p.queue, event{at: p.clock.Now().Add(d), act: act})
}

func (p *propagation) below(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}

// run plays events until the end or until done.
func (p *propagation) run(d time.Duration, done func() bool) {
	end := p.clock.Now().Add(d)
	for p.queue[0].at.Before(end) && !done() {
		e := heap.Pop(&p.queue).(event)
		p.clock.passive.SetTime(e.at)
		e.act()
	}
}

func (p *propagation) probe(m *member) {
	wait := m.watcher.UntilProbe()
	if wait == 0 {
		_ = m.watcher.Probe(context.Background())
		p.moved(m)
		wait = 250*time.Millisecond + p.below(500*time.Millisecond)
	}
	p.after(wait, func() { p.probe(m) })
}

// watched is the answer to a long poll.
func (p *propagation) watched(m *member) {
	if p.down {
		return
	}
	_ = m.watcher.Probe(context.Background())
	m.rearmed = p.clock.Now().Add(p.below(gossiper.DefaultRearm))
	p.moved(m)
}

func (p *propagation) compare(m *member, turn int) {
	m.exchanger.Compare(context.Background(), turn)
	p.moved(m)
	p.after(m.exchanger.Pause(), func() { p.compare(m, turn+1) })
}

// moved follows up a change: peers are told, and agents.
func (p *propagation) moved(m *member) {
	b, r := m.state.Current()
	if b == nil || b.Revision == m.held {
		return
	}
	m.held = b.Revision
	p.took = append(p.took, p.clock.Now().Sub(p.since))
	p.after(hop+p.below(gossiper.DefaultSpread), func() { m.exchanger.Tell(context.Background()); p.moved(m) })
	for _, a := range m.agents {
		if p.random.Float64() >= loss {
			p.after(hop+p.below(gossiper.DefaultSpread), func() { p.offer(a, r) })
		}
	}
}

func (p *propagation) report(a int, m *member) {
	if p.random.Float64() >= loss {
		p.offer(a, m.state.RecordFor(p.agents[a].Word()))
		p.agents[a].HearWord(m.state.AgentWord(), p.clock.Now().Add(-hop))
	}
	p.after(heartbeat, func() { p.report(a, m) })
}

func (p *propagation) offer(a int, r *bundler.Record) {
	if r == nil {
		return
	}
	if changed, _ := p.agents[a].Offer(r); changed {
		p.took = append(p.took, p.clock.Now().Sub(p.since))
	}
}

// change has the next revision accepted and tells how many processes took it.
// Without the store it goes down as soon as one entry has read it.
func (p *propagation) change(revision uint64, store bool) {
	p.current, p.revision, p.since = signed(revision, fmt.Sprint(revision)), revision, p.clock.Now()
	for i, m := range p.entries {
		if i == 0 || store && m.exchanger.IsRelay() {
			p.after(max(hop, m.rearmed.Sub(p.since)), func() { p.watched(m) })
		}
	}
	if !store {
		p.run(2*hop, func() bool { return p.entries[0].held == revision })
		p.down = true
	}
}

// BenchmarkPropagation plays changes in virtual time and reports how long they
// take until in force: for 99 of 100 processes, and for the last one. One in a
// hundred calls and pushes is lost.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{9, 30, 100, 380} {
		for _, store := range []bool{true, false} {
			b.Run(fmt.Sprintf("entries=%d/store=%t", n, store), func(b *testing.B) {
				for b.Loop() {
					propagate(b, n, store)
				}
			})
		}
	}
}

func propagate(b *testing.B, n int, store bool) {
	p := newPropagation(n)
	all := n * (1 + agentsPerEntry)
	never := func() bool { return false }
	p.run(10*time.Second, never)
	p.calls, p.swaps, p.records, p.far = 0, 0, 0, 0
	var took []time.Duration
	for r := range uint64(rounds) {
		p.took = nil
		p.change(r+2, store)
		p.run(20*time.Second, func() bool { return len(p.took) == all })
		if len(p.took) != all {
			b.Fatalf("revision %d came to %d of %d processes", r+2, len(p.took), all)
		}
		took = append(took, p.took...)
		p.down = false
		p.run(p.since.Add(12*time.Second).Sub(p.clock.Now()), never)
	}
	slices.Sort(took)
	seconds := float64(rounds * 12)
	b.ReportMetric(took[len(took)*99/100].Seconds(), "p99-s")
	b.ReportMetric(took[len(took)-1].Seconds(), "worst-s")
	b.ReportMetric(float64(p.calls)/seconds, "storeCalls/s")
	x := messenger.Exchange{State: p.names[0]}
	x.State.Callers, x.State.Peers = netip.MustParseAddrPort("10.20.30.40:7001"), netip.MustParseAddrPort("10.20.30.40:7002")
	x.State.Incarnation, x.State.Freshness = "8c1f7a52-6a8e-4b7e-9d55-0f6a3c0f8c11", p.entries[0].state.Word()
	data, err := json.Marshal(x)
	must.NoError(b, err)
	b.ReportMetric(float64(len(data)), "exchangeBytes")
	b.ReportMetric(float64(p.records)/rounds, "storeRecords/change")
	b.ReportMetric(float64(p.far)/rounds, "farRecords/change")
	b.ReportMetric(float64(p.swaps)/seconds/float64(n), "exchanges/entry/s")
}

// BenchmarkLongOutage takes the store away for half a minute and reports how
// often entries ask it and each other meanwhile, how large one exchange is, and
// for what share of the time processes refuse work.
func BenchmarkLongOutage(b *testing.B) {
	for _, n := range []int{9, 30, 100, 380} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				outage(b, n)
			}
		})
	}
}

func outage(b *testing.B, n int) {
	const span, sample = 30 * time.Second, 100 * time.Millisecond
	p := newPropagation(n)
	p.run(10*time.Second, func() bool { return false })
	p.down, p.calls, p.swaps = true, 0, 0
	refused, all := 0, 0
	for range span / sample {
		p.run(sample, func() bool { return false })
		states := slices.Clone(p.agents)
		for _, m := range p.entries {
			states = append(states, m.state)
		}
		for _, s := range states {
			all++
			if s.MayServe() != nil {
				refused++
			}
		}
	}
	word, err := json.Marshal(p.entries[0].state.Word())
	must.NoError(b, err)
	b.ReportMetric(100*float64(refused)/float64(all), "refused-%")
	b.ReportMetric(float64(p.calls)/span.Seconds(), "storeCalls/s")
	b.ReportMetric(float64(p.swaps)/span.Seconds()/float64(n), "exchanges/entry/s")
	b.ReportMetric(float64(len(word)), "wordBytes")
}
