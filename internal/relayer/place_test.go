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

// newPlacer makes an entry's placer with one engine whose agent is unreachable.
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

// countPlaced is how many of 46 entries send a request to the engine at once.
func countPlaced(t *testing.T, cold time.Duration) int {
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

// Guards against sending to a cold engine without a grant. After a loss of all processes, agents
// answer some entries too late because all ask at once. Requests sent without a grant add to those
// that the agent grants to others, and a cold engine crashes under the sum and loses all that it
// runs.
func TestColdEngineGetsNothingWithoutAGrant(t *testing.T) {
	must.Eq(t, 0, countPlaced(t, 3*time.Second))
	// A warm engine stays in service if only its agent has failed.
	must.Eq(t, 46, countPlaced(t, 0))
}

// Guards against comparing times of two clocks with different epochs: ages use one that counts
// suspended time, deadlines the monotonic one. Cold engines would count as warm at once and crash,
// or as cold forever and stay idle.
func TestColdEngineWithSeparateClocks(t *testing.T) {
	for _, start := range []time.Time{time.Unix(7, 0), time.Unix(1e9, 0)} {
		c, ages := clocktest.NewFakeClock(time.Unix(1000, 0)), clocktest.NewFakeClock(start)
		p, table := newPlacer(c, 3*time.Second, 1)
		r := &registrar.Registrar{Clock: ages, Decode: p.Registrar.Decode}
		r.Apply(p.Registrar.ChangesSince(0))
		p.Registrar = r
		must.False(t, placed(p, c, table))
		ages.Step(3 * time.Second)
		must.True(t, placed(p, c, table))
	}
}

// Guards against sending to an engine on a suspended VM, whose agent doesn't answer. The request
// stays unread until its caller has left, and runs for nothing after the VM resumes.
func TestSuspendedVMGetsNothingWithoutAGrant(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	suspendAgent(t, p)
	must.False(t, placed(p, c, table))
	// The engine's replies continue, so only the agent is unresponsive.
	p.Chooser.RecordProgress("engine")
	must.True(t, placed(p, c, table))
	c.Step(time.Second)
	must.False(t, placed(p, c, table))
}

// suspendAgent gives the engine of a placer an agent on a suspended VM: the kernel accepts
// connections, but nothing reads from them.
func suspendAgent(t *testing.T, p *relayer.Placer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	p.AgentPort = netip.MustParseAddrPort(l.Addr().String()).Port()
	p.Agents.Timeout = relayer.ReserveTimeout
}

// Guards against counting an engine as alive for too long when its VM is suspended right after an
// event: requests sent there stay unread.
func TestSuspendedVMGetsNothingWithoutAGrantAfterItsLastEvent(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	suspendAgent(t, p)
	p.Chooser.RecordProgress("engine")
	var sent []time.Duration
	for d := time.Duration(0); d <= 500*time.Millisecond; d += 50 * time.Millisecond {
		if placed(p, c, table) {
			sent = append(sent, d)
		}
		c.Step(50 * time.Millisecond)
	}
	t.Logf("sent without a grant after %v", sent)
	for _, d := range sent {
		must.Less(t, 300*time.Millisecond, d)
	}
}

// Guards against sending without a grant to an engine that is two versions behind: its VM was
// suspended before it loaded the second version and resumes just as a third is announced. By the
// age of the third announcement alone, its weights would still be allowed.
func TestEngineTwoVersionsBehindGetsNothingWithoutAGrant(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	announce(p.Registrar, 2)
	must.True(t, placed(p, c, table), must.Sprint("version 1 is allowed for a while"))
	c.Step(9 * time.Second)
	must.False(t, placed(p, c, table))
	announce(p.Registrar, 3)
	must.False(t, placed(p, c, table))
}

// Guards against missing the first of two announcements: the entry is suspended during both and
// receives only the second. The weights of an engine with an unresponsive agent were replaced by
// the first and have expired, but the entry took the second for their replacement.
func TestAnnouncementMissedByASuspendedEntryCounts(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	announce(p.Registrar, 1)
	must.True(t, placed(p, c, table))
	at, _, _ := p.Registrar.Revision()
	seen, _ := newPlacer(c, 0, 1)
	seen.Registrar.Apply(p.Registrar.ChangesSince(0))
	announce(seen.Registrar, 2)
	c.Step(9 * time.Second)
	announce(seen.Registrar, 3)
	p.Registrar.Apply(seen.Registrar.ChangesSince(at))
	must.False(t, placed(p, c, table))
}

// Guards against using a grant on expired weights. An agent that was suspended during an
// announcement grants slots until it gets the update, some milliseconds later, or a second if its
// peers are lost, although the entry has it already. In the operators' report two requests, sent
// within 0.1 s of each other, started on weights replaced 11.6 s before.
func TestGrantOnOldWeightsIsNotUsed(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	a := serveDecision(t, p, messenger.Decision{Granted: true, Version: 1, Slots: 12})
	must.True(t, placed(p, c, table))
	announce(p.Registrar, 2)
	c.Step(7200 * time.Millisecond)
	must.True(t, placed(p, c, table), must.Sprint("version 1 is allowed until 0.7 s before the bound"))
	c.Step(200 * time.Millisecond)
	must.False(t, placed(p, c, table))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.ended.Load() == 1 }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	asked := a.asked.Load()
	must.False(t, placed(p, c, table))
	must.Eq(t, asked, a.asked.Load(), must.Sprint("the engine counts as closed and is not asked for a while"))
}

// Guards against a restarted entry that takes a new version for an old one, as the store doesn't
// state its age, and refuses all callers until the engines have switched. The agents grant slots on
// the old weights for as long as they are allowed; the entry used none of 180 grants in four
// seconds.
func TestStartedEntryAcceptsGrantsOnOldWeights(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	seen, table := newPlacer(c, 0, 1)
	announce(seen.Registrar, 2)
	p, _ := newPlacer(c, 0, 1)
	p.Registrar = restartedRegistrar(seen.Registrar)
	serveDecision(t, p, messenger.Decision{Granted: true, Version: 1, Slots: 12, StartWithinMS: 7000})
	must.True(t, placed(p, c, table))
}

// grantingAgent is an agent that gives all requesters the same decision.
type grantingAgent struct{ asked, ended atomic.Int32 }

// serveDecision gives the engine of a placer a grantingAgent.
func serveDecision(t *testing.T, p *relayer.Placer, v messenger.Decision) *grantingAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	a := &grantingAgent{}
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

// newLateAgent makes a placer that waits for agents no longer than entries do, with the ledger and
// the listener of an agent.
func newLateAgent(t *testing.T, c *clocktest.FakeClock) (*relayer.Placer, *matcher.Table, *scheduler.Ledger, net.Listener) {
	p, table := newPlacer(c, time.Hour, 1)
	p.Agents.Timeout = relayer.ReserveTimeout
	ledger := &scheduler.Ledger{Clock: c}
	ledger.Open(table.Services["engines"].Engine)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return p, table, ledger, l
}

// Guards against a slot that stays reserved when the grant arrives after the entry has given up, as
// over a congested link, and the request was sent elsewhere. It would stay empty for six seconds,
// the caller's time limit, while others are refused.
func TestSlotGrantedTooLateIsReleased(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table, ledger, l := newLateAgent(t, c)
	asked, late := make(chan bool, 100), make(chan struct{})
	s := &messenger.Server{Listener: l, OnLost: func(link *messenger.Link) { ledger.ConnectionLost(link) },
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
		// On a busy machine the entry may give up before its reservation is sent. It asks again
		// once the agent doesn't count as unresponsive any more.
		c.Step(time.Second)
		must.False(t, placed(p, c, table))
	}
	close(late)
	must.True(t, <-asked)
	// The ledger's clock doesn't advance, so the slot isn't freed by its timeout.
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		v := ledger.Reserve(scheduler.Job{ID: "next", Prompt: 1}, nil)
		ledger.Ended("next")
		return v.Granted && v.Active == 1
	}), wait.Timeout(stepTimeout), wait.Gap(time.Millisecond)), must.Sprint("the slot is still reserved"))
}

// announce makes a version the one to load.
func announce(r *registrar.Registrar, version byte) {
	at, _, _ := r.Revision()
	r.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{
		{Key: "weights", Value: []byte{version}, Revision: at + 1}}})
}

// confirm confirms that the store has no newer records than those received.
func confirm(r *registrar.Registrar) {
	at, _, _ := r.Revision()
	r.Apply(registrar.Batch{After: at, At: at})
}

// placed reports whether a request gets a slot.
func placed(p *relayer.Placer, c *clocktest.FakeClock, table *matcher.Table) bool {
	j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now().Add(-400 * time.Millisecond), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = "id", "m", 800
	place, err := p.Place(context.Background(), j)
	return err == nil && place != nil
}
