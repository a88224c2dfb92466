package relayer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// engineTable has one route to one service of engines.
func engineTable() *matcher.Table {
	route := &matcher.Route{Name: "draft", Host: "127.0.0.1", Prefix: "/", Kind: matcher.Streaming, Generates: true,
		Objective: 500 * time.Millisecond, Timeout: 6 * time.Second, MaxAttempts: 2,
		Targets: []matcher.Target{{Service: "engines", Weight: 1}}}
	engine := &matcher.Engine{Slots: 12, Step: 9 * time.Millisecond, ReadPerSecond: 20700, Chunk: 512, Stride: 4,
		UsualPrompt: 1000, UsualAnswer: 80, Models: []string{"m"}}
	t := &matcher.Table{Version: 1, Routes: []*matcher.Route{route},
		Services: map[string]*matcher.Service{"engines": {Name: "engines", Engine: engine, ColdRate: 14}}}
	t.Index()
	return t
}

// newPlacer makes an entry's placer before one engine whose agent can't be reached.
func newPlacer(c *clocktest.FakeClock, cold time.Duration, seed uint64) (*relayer.Placer, *matcher.Table) {
	table := engineTable()
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, value []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: table}, nil
		}
		if key == "weights" {
			return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
		}
		return registrar.Upstream{ID: key, Service: "engines", Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a",
			Slots: 12, Cold: cold, Models: []registrar.HeldModel{{Name: "m", Version: 1}}}, nil
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{
		{Key: "table", Revision: 1}, {Key: "engine", Revision: 2},
	}})
	return &relayer.Placer{
		Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r"},
		Chooser:   &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(seed, 1))},
		AgentPort: 1, WeightsBound: 8 * time.Second,
		Agents: &messenger.Clients{Timeout: time.Second, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }},
	}, table
}

// granted is how many of many entries send a request to the engine at once.
func granted(t *testing.T, cold time.Duration) int {
	t.Helper()
	n := 0
	for seed := range uint64(46) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		p, table := newPlacer(c, cold, seed)
		j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now().Add(-400 * time.Millisecond), Deadline: c.Now().Add(5 * time.Second)}
		j.ID, j.Model, j.Prompt = "id", "m", 800
		if place, err := p.Place(context.Background(), j); err == nil && place != nil {
			n++
		}
	}
	return n
}

// After a loss of everything the engines come back cold, and agents answer some entries
// too late because all ask at once. What entries then send without asking adds up with
// what the agent grants to others; a cold engine falls over under it, and all that it
// runs is lost.
func TestColdEngineGetsNothingUnasked(t *testing.T) {
	must.Eq(t, 0, granted(t, 3*time.Second))
	// A warm engine whose agent alone is gone goes on serving.
	must.Eq(t, 46, granted(t, 0))
}

// An entry tells ages by a clock that counts suspended time, and deadlines by the steady
// one, which begins elsewhere. Were a time of the one compared with the other, cold engines
// would count as warm at once and fall over, or as cold for good and stand idle.
func TestColdEngineByAnotherClock(t *testing.T) {
	for _, start := range []time.Time{time.Unix(7, 0), time.Unix(1e9, 0)} {
		c, ages := clocktest.NewFakeClock(time.Unix(1000, 0)), clocktest.NewFakeClock(start)
		p, table := newPlacer(c, 3*time.Second, 1)
		r := &registrar.Registrar{Clock: ages, Decode: p.Registrar.Decode}
		r.Apply(p.Registrar.Since(0))
		p.Registrar = r
		must.False(t, placed(p, c, table))
		ages.Step(3 * time.Second)
		must.True(t, placed(p, c, table))
	}
}

// The VM of an engine freezes, and its agent answers nothing. A request that is sent there
// all the same lies unread until its caller has left, and runs in vain when the VM wakes.
func TestFrozenVMGetsNothingUnasked(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	freezeAgent(t, p)
	must.False(t, placed(p, c, table))
	// Its replies go on, so it is the agent alone that is late.
	p.Chooser.Alive("engine")
	must.True(t, placed(p, c, table))
	c.Step(time.Second)
	must.False(t, placed(p, c, table))
}

// freezeAgent gives the engine of a placer an agent on a frozen VM: the kernel takes connections, and
// nobody reads from them.
func freezeAgent(t *testing.T, p *relayer.Placer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	p.AgentPort = netip.MustParseAddrPort(l.Addr().String()).Port()
	p.Agents.Timeout = relayer.AskTimeout
}

// An engine's VM freezes right after an event. Its agent is silent at once; how long is the engine
// taken for one that lives, and sent requests that lie unread?
func TestFrozenVMGetsNothingUnaskedAfterItsLastEvent(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	freezeAgent(t, p)
	p.Chooser.Alive("engine")
	var sent []time.Duration
	for d := time.Duration(0); d <= 500*time.Millisecond; d += 50 * time.Millisecond {
		if placed(p, c, table) {
			sent = append(sent, d)
		}
		c.Step(50 * time.Millisecond)
	}
	t.Logf("sent unasked after %v", sent)
	for _, d := range sent {
		must.Less(t, 300*time.Millisecond, d)
	}
}

// The VM of an engine freezes before the engine takes a new version, and wakes after its
// time; a third version is named just then. The agent is silent, and entries that know
// only how young the third naming is would send to the engine as if its weights, two
// versions old, were still allowed.
func TestEngineTwoVersionsBehindGetsNothingUnasked(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	name(p.Registrar, 2)
	must.True(t, placed(p, c, table), must.Sprint("version 1 is allowed for a while"))
	c.Step(9 * time.Second)
	must.False(t, placed(p, c, table))
	name(p.Registrar, 3)
	must.False(t, placed(p, c, table))
}

// An entry stands still while two versions are named, and hears of the second only. The
// agent of an engine is silent; its weights were replaced by the first of the two, and
// their time is over, but the entry took the second for what replaced them.
func TestNamingMissedByAStoppedEntryCounts(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	name(p.Registrar, 1)
	must.True(t, placed(p, c, table))
	at, _, _ := p.Registrar.At()
	seen, _ := newPlacer(c, 0, 1)
	seen.Registrar.Apply(p.Registrar.Since(0))
	name(seen.Registrar, 2)
	c.Step(9 * time.Second)
	name(seen.Registrar, 3)
	p.Registrar.Apply(seen.Registrar.Since(at))
	must.False(t, placed(p, c, table))
}

// An agent stands still over a naming and wakes. Until it hears the news, some milliseconds
// later or a second if its peers are lost, it grants places as before, although the time of
// its engine's weights is over. The entry knows, and callers must not get replies from
// weights that the operators replaced. In the operators' report two requests, sent within
// 0.1 s of each other, began on weights replaced 11.6 s before.
func TestGrantOnOldWeightsIsNotUsed(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	a := grant(t, p, messenger.Decision{Granted: true, Version: 1, Slots: 12})
	must.True(t, placed(p, c, table))
	name(p.Registrar, 2)
	c.Step(7200 * time.Millisecond)
	must.True(t, placed(p, c, table), must.Sprint("version 1 is allowed until 0.7 s before the bound"))
	c.Step(200 * time.Millisecond)
	must.False(t, placed(p, c, table))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.ended.Load() == 1 }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	asked := a.asked.Load()
	must.False(t, placed(p, c, table))
	must.Eq(t, asked, a.asked.Load(), must.Sprint("the engine counts as closed and is left alone for a while"))
}

// An entry starts anew while a version is young, and reads the store by itself, which doesn't
// say how young. The agents know and grant places on the old weights for as long as they may
// serve; were the entry to take the version for an old one, it would refuse all its callers
// until the engines have switched. It used none of 180 grants in four seconds.
func TestEntryThatStartsLeavesOldWeightsToTheAgents(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	seen, table := newPlacer(c, 0, 1)
	name(seen.Registrar, 2)
	p, _ := newPlacer(c, 0, 1)
	p.Registrar = restarted(seen.Registrar)
	grant(t, p, messenger.Decision{Granted: true, Version: 1, Slots: 12, StartWithinMS: 7000})
	must.True(t, placed(p, c, table))
}

// willingAgent is an agent that says the same to everybody.
type willingAgent struct{ asked, ended atomic.Int32 }

// grant gives the engine of a placer a willingAgent.
func grant(t *testing.T, p *relayer.Placer, v messenger.Decision) *willingAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	a := &willingAgent{}
	s := &messenger.Server{Listener: l, OnLost: func(*messenger.Link) {},
		OnProgress: func(p messenger.Progress, _ *messenger.Link) { a.ended.Add(int32(len(p.Ended))) },
		OnReserve: func(messenger.Reservation, *messenger.Link) messenger.Decision {
			a.asked.Add(1)
			return v
		}}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = s.Serve(ctx) }()
	p.AgentPort = netip.MustParseAddrPort(l.Addr().String()).Port()
	return a
}

// newLateAgent makes a placer that waits for agents no longer than entries do, and the ledger and the
// listener of an agent.
func newLateAgent(t *testing.T, c *clocktest.FakeClock) (*relayer.Placer, *matcher.Table, *scheduler.Ledger, net.Listener) {
	p, table := newPlacer(c, time.Hour, 1)
	p.Agents.Timeout = relayer.AskTimeout
	ledger := &scheduler.Ledger{Clock: c}
	ledger.Open(table.Services["engines"].Engine)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return p, table, ledger, l
}

// An agent grants a place, but its answer comes after the entry has given it up, as on a link
// that is full for a moment, and the request goes elsewhere. Were the place kept for as long
// as the caller might have waited, it would stand empty for six seconds while others are
// refused.
func TestPlaceGrantedTooLateIsGivenBack(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table, ledger, l := newLateAgent(t, c)
	asked, late := make(chan bool, 100), make(chan struct{})
	s := &messenger.Server{Listener: l, OnLost: func(link *messenger.Link) { ledger.Lost(link) },
		OnProgress: func(p messenger.Progress, _ *messenger.Link) {
			for _, id := range p.Ended {
				ledger.Ended(id)
			}
		},
		OnReserve: func(r messenger.Reservation, link *messenger.Link) messenger.Decision {
			v := ledger.Reserve(scheduler.Job{ID: r.Request, Prompt: r.Prompt, Patience: time.Second, Left: 6 * time.Second}, link)
			asked <- v.Granted
			<-late
			return messenger.Decision{Granted: true, Version: 1, Slots: 12, Active: v.Active}
		}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Serve(ctx) }()
	p.AgentPort = netip.MustParseAddrPort(l.Addr().String()).Port()
	for len(asked) == 0 {
		// On a busy machine the entry may give up before its question has left. It asks again
		// once the agent doesn't count as silent any more.
		c.Step(time.Second)
		must.False(t, placed(p, c, table))
	}
	close(late)
	must.True(t, <-asked)
	// The ledger's clock stands still, so that no place comes free by the time that it was kept.
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		v := ledger.Reserve(scheduler.Job{ID: "next", Prompt: 1}, nil)
		ledger.Ended("next")
		return v.Granted && v.Active == 1
	}), wait.Timeout(patience), wait.Gap(time.Millisecond)), must.Sprint("the place is kept"))
}

// name makes a version the one to hold.
func name(r *registrar.Registrar, version byte) {
	at, _, _ := r.At()
	r.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{
		{Key: "weights", Value: []byte{version}, Revision: at + 1}}})
}

// confirm has the store confirm that nothing is newer than what is known.
func confirm(r *registrar.Registrar) {
	at, _, _ := r.At()
	r.Apply(registrar.Batch{After: at, At: at})
}

// placed tells whether a request gets a place.
func placed(p *relayer.Placer, c *clocktest.FakeClock, table *matcher.Table) bool {
	j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now().Add(-400 * time.Millisecond), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = "id", "m", 800
	place, err := p.Place(context.Background(), j)
	return err == nil && place != nil
}
