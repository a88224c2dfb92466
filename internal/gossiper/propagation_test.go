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

// event is an action at a moment of virtual time.
type event struct {
	at     time.Time
	action func()
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

// timerlessClock is a virtual clock without timers: calls take no time here.
type timerlessClock struct {
	clock.WithDelayedExecution
	passive *testclock.FakePassiveClock
}

func (c timerlessClock) Now() time.Time                                  { return c.passive.Now() }
func (c timerlessClock) AfterFunc(_ time.Duration, _ func()) clock.Timer { return inertTimer{} }

type inertTimer struct{ clock.Timer }

func (inertTimer) Stop() bool { return true }

const (
	agentsPerEntry = 32
	entriesOfAgent = 2
	heartbeat      = time.Second // from an agent to each of its entries
	hopLatency     = 3 * time.Millisecond
	lossRate       = 0.01 // share of calls and pushes that are lost
	changesPerRun  = 10
)

// propagationSim is a deployment in virtual time with real states, watchers and
// exchangers, whose loops are replaced by events. It is also the store.
type propagationSim struct {
	storer.Store
	queue   events
	clock   timerlessClock
	random  *rand.Rand
	entries []*simulatedEntry
	states  []messenger.EntryState
	agents  []*gossiper.State
	current *bundler.Record
	// revision is that of current, which was accepted at acceptedAt.
	revision   uint64
	acceptedAt time.Time
	down       bool
	calls      int
	exchanges  int
	// records counts records read from the store, crossRegionRecords those that
	// entries sent each other between regions.
	records, crossRegionRecords int
	delays                      []time.Duration
}

type simulatedEntry struct {
	state        *gossiper.State
	watcher      *gossiper.Watcher
	exchanger    *gossiper.Exchanger
	agents       []int
	heldRevision uint64
	rearmedAt    time.Time
}

func newPropagationSim(entries int) *propagationSim {
	p := &propagationSim{
		clock:    timerlessClock{passive: testclock.NewFakePassiveClock(start)},
		random:   rand.New(rand.NewPCG(uint64(entries), 1)),
		current:  signed(1, "c1"),
		revision: 1,
	}
	regions := 3
	if entries > 100 {
		regions = 5
	}
	for i := range entries {
		p.states = append(p.states, messenger.EntryState{ID: fmt.Sprint(i), Region: fmt.Sprintf("r%d", i%regions)})
	}
	for i := range entries {
		p.entries = append(p.entries, p.newEntry(i))
	}
	for i := range entries * agentsPerEntry {
		p.agents = append(p.agents, &gossiper.State{Keyring: keyring(), Clock: p.clock})
		for k := range entriesOfAgent {
			e := p.entries[(i+k*(1+i/entries))%entries]
			e.agents = append(e.agents, i)
			p.schedule(p.randomBelow(heartbeat), func() { p.report(i, e) })
		}
	}
	return p
}

func (p *propagationSim) newEntry(i int) *simulatedEntry {
	m := &simulatedEntry{}
	m.state = &gossiper.State{Keyring: keyring(), Clock: p.clock, Entries: len(p.states), ID: p.states[i].ID, Region: p.states[i].Region}
	others := slices.Concat(p.states[:i], p.states[i+1:])
	m.exchanger = &gossiper.Exchanger{
		State:  m.state,
		Clock:  p.clock,
		Random: p.random,
		Self:   func() messenger.EntryState { return p.states[i] },
		Peers:  func() []messenger.EntryState { return others },
		Call:   p.call,
	}
	m.watcher = &gossiper.Watcher{Store: p, State: m.state, Clock: p.clock, Jitter: p.randomBelow, Relay: m.exchanger.IsRelay}
	p.schedule(p.randomBelow(time.Second), func() { p.probe(m) })
	p.schedule(p.randomBelow(time.Second), func() { p.poll(m, 0) })
	return m
}

func (p *propagationSim) call(_ context.Context, to messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error) {
	p.exchanges++
	if p.random.Float64() < lossRate {
		return x, errors.New("lost")
	}
	i, _ := strconv.Atoi(to.ID)
	a := p.entries[i].exchanger.Answer(x)
	if to.Region != x.State.Region && (a.Record != nil || x.Record != nil) {
		p.crossRegionRecords++
	}
	p.spreadChange(p.entries[i])
	return a, nil
}

// Get implements storer.Store.
func (p *propagationSim) Get(_ context.Context, key string) (storer.Item, error) {
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

func (p *propagationSim) schedule(d time.Duration, action func()) {
	heap.Push(&p.queue, event{at: p.clock.Now().Add(d), action: action})
}

func (p *propagationSim) randomBelow(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}

// run processes events until the end or until done.
func (p *propagationSim) run(d time.Duration, done func() bool) {
	end := p.clock.Now().Add(d)
	for p.queue[0].at.Before(end) && !done() {
		e := heap.Pop(&p.queue).(event)
		p.clock.passive.SetTime(e.at)
		e.action()
	}
}

func (p *propagationSim) probe(m *simulatedEntry) {
	wait := m.watcher.UntilProbe()
	if wait == 0 {
		_ = m.watcher.Probe(context.Background())
		p.spreadChange(m)
		wait = 250*time.Millisecond + p.randomBelow(500*time.Millisecond)
	}
	p.schedule(wait, func() { p.probe(m) })
}

// answerWatch simulates the answer to a long poll.
func (p *propagationSim) answerWatch(m *simulatedEntry) {
	if p.down {
		return
	}
	_ = m.watcher.Probe(context.Background())
	m.rearmedAt = p.clock.Now().Add(p.randomBelow(gossiper.DefaultRearm))
	p.spreadChange(m)
}

func (p *propagationSim) poll(m *simulatedEntry, turn int) {
	m.exchanger.Compare(context.Background(), turn)
	p.spreadChange(m)
	p.schedule(m.exchanger.NextPause(), func() { p.poll(m, turn+1) })
}

// spreadChange pushes a newly held revision to peers and agents.
func (p *propagationSim) spreadChange(m *simulatedEntry) {
	b, r := m.state.Current()
	if b == nil || b.Revision == m.heldRevision {
		return
	}
	m.heldRevision = b.Revision
	p.delays = append(p.delays, p.clock.Now().Sub(p.acceptedAt))
	p.schedule(hopLatency+p.randomBelow(gossiper.DefaultSpread), func() { m.exchanger.Push(context.Background()); p.spreadChange(m) })
	for _, a := range m.agents {
		if p.random.Float64() >= lossRate {
			p.schedule(hopLatency+p.randomBelow(gossiper.DefaultSpread), func() { p.offer(a, r) })
		}
	}
}

func (p *propagationSim) report(a int, m *simulatedEntry) {
	if p.random.Float64() >= lossRate {
		p.offer(a, m.state.RecordFor(p.agents[a].StatusUpdate()))
		p.agents[a].ReceiveUpdate(m.state.AgentUpdate(), p.clock.Now().Add(-hopLatency))
	}
	p.schedule(heartbeat, func() { p.report(a, m) })
}

func (p *propagationSim) offer(a int, r *bundler.Record) {
	if r == nil {
		return
	}
	if changed, _ := p.agents[a].Offer(r); changed {
		p.delays = append(p.delays, p.clock.Now().Sub(p.acceptedAt))
	}
}

// acceptRevision publishes the next revision. With store false, the store goes
// down as soon as one entry has read it.
func (p *propagationSim) acceptRevision(revision uint64, store bool) {
	p.current, p.revision, p.acceptedAt = signed(revision, fmt.Sprint(revision)), revision, p.clock.Now()
	for i, m := range p.entries {
		if i == 0 || store && m.exchanger.IsRelay() {
			p.schedule(max(hopLatency, m.rearmedAt.Sub(p.acceptedAt)), func() { p.answerWatch(m) })
		}
	}
	if !store {
		p.run(2*hopLatency, func() bool { return p.entries[0].heldRevision == revision })
		p.down = true
	}
}

// BenchmarkPropagation simulates changes in virtual time and reports how long
// they take to be in force for 99 of 100 processes and for the last one. One in
// a hundred calls and pushes is lost.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{9, 30, 100, 380} {
		for _, store := range []bool{true, false} {
			b.Run(fmt.Sprintf("entries=%d/store=%t", n, store), func(b *testing.B) {
				for b.Loop() {
					measurePropagation(b, n, store)
				}
			})
		}
	}
}

func measurePropagation(b *testing.B, n int, store bool) {
	p := newPropagationSim(n)
	all := n * (1 + agentsPerEntry)
	never := func() bool { return false }
	p.run(10*time.Second, never)
	p.calls, p.exchanges, p.records, p.crossRegionRecords = 0, 0, 0, 0
	var delays []time.Duration
	for r := range uint64(changesPerRun) {
		p.delays = nil
		p.acceptRevision(r+2, store)
		p.run(20*time.Second, func() bool { return len(p.delays) == all })
		if len(p.delays) != all {
			b.Fatalf("revision %d reached %d of %d processes", r+2, len(p.delays), all)
		}
		delays = append(delays, p.delays...)
		p.down = false
		p.run(p.acceptedAt.Add(12*time.Second).Sub(p.clock.Now()), never)
	}
	slices.Sort(delays)
	seconds := float64(changesPerRun * 12)
	b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99-s")
	b.ReportMetric(delays[len(delays)-1].Seconds(), "worst-s")
	b.ReportMetric(float64(p.calls)/seconds, "storeCalls/s")
	x := messenger.Exchange{State: p.states[0]}
	x.State.Callers, x.State.Peers = netip.MustParseAddrPort("10.20.30.40:7001"), netip.MustParseAddrPort("10.20.30.40:7002")
	x.State.Incarnation, x.State.Freshness = "8c1f7a52-6a8e-4b7e-9d55-0f6a3c0f8c11", p.entries[0].state.StatusUpdate()
	data, err := json.Marshal(x)
	must.NoError(b, err)
	b.ReportMetric(float64(len(data)), "exchangeBytes")
	b.ReportMetric(float64(p.records)/changesPerRun, "storeRecords/change")
	b.ReportMetric(float64(p.crossRegionRecords)/changesPerRun, "farRecords/change")
	b.ReportMetric(float64(p.exchanges)/seconds/float64(n), "exchanges/entry/s")
}

// BenchmarkLongOutage simulates a store outage of half a minute and reports how
// often entries call the store and each other meanwhile, the size of one
// exchange, and the share of time in which processes refuse work.
func BenchmarkLongOutage(b *testing.B) {
	for _, n := range []int{9, 30, 100, 380} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureOutage(b, n)
			}
		})
	}
}

func measureOutage(b *testing.B, n int) {
	const span, sample = 30 * time.Second, 100 * time.Millisecond
	p := newPropagationSim(n)
	p.run(10*time.Second, func() bool { return false })
	p.down, p.calls, p.exchanges = true, 0, 0
	refused, total := 0, 0
	for range span / sample {
		p.run(sample, func() bool { return false })
		states := slices.Clone(p.agents)
		for _, m := range p.entries {
			states = append(states, m.state)
		}
		for _, s := range states {
			total++
			if s.MayServe() != nil {
				refused++
			}
		}
	}
	update, err := json.Marshal(p.entries[0].state.StatusUpdate())
	must.NoError(b, err)
	b.ReportMetric(100*float64(refused)/float64(total), "refused-%")
	b.ReportMetric(float64(p.calls)/span.Seconds(), "storeCalls/s")
	b.ReportMetric(float64(p.exchanges)/span.Seconds()/float64(n), "exchanges/entry/s")
	b.ReportMetric(float64(len(update)), "wordBytes")
}
