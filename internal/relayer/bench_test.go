package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// ledgerAgent is an agent reached without a network.
type ledgerAgent struct{ ledger *scheduler.Ledger }

func (a ledgerAgent) Reserve(_ context.Context, r messenger.Reservation) (messenger.Decision, error) {
	v := a.ledger.Reserve(scheduler.Job{ID: r.Request, Prompt: r.Prompt, Answer: r.Answer, Spare: r.Spare, Patience: r.WaitLimit(), Left: r.TimeLeft()}, nil)
	return messenger.Decision{Granted: v.Granted, ClosedReason: v.Closed, Version: 1, WaitMS: v.Wait.Milliseconds(),
		FreeInMS: v.Free.Milliseconds(), Active: v.Active, Slots: v.Slots}, nil
}

func (a ledgerAgent) SendProgress(p messenger.Progress) {
	for _, id := range p.Ended {
		a.ledger.Ended(id)
	}
}

// decider is an entry with many upstreams and peers, and agents in the same process.
type decider struct {
	*relayer.Relayer
	clock *clocktest.FakeClock
	job   relayer.Job
}

// newDecider makes one. Held is how many requests have slots at each engine.
func newDecider(entries, upstreams, held int) *decider {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	table := engineTable()
	agents := map[netip.AddrPort]relayer.Agent{}
	facts := map[string]registrar.Fact{"table": registrar.Table{Table: table}}
	batch := registrar.Batch{Whole: true, At: uint64(entries + upstreams + 2), Records: []registrar.Record{{Key: "table", Revision: 1}}}
	add := func(key string, f registrar.Fact) {
		facts[key] = f
		batch.Records = append(batch.Records, registrar.Record{Key: key, Revision: uint64(len(batch.Records) + 1)})
	}
	for i := range upstreams {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
		l := &scheduler.Ledger{Clock: c}
		l.Open(table.Services["engines"].Engine)
		for j := range held {
			l.Reserve(scheduler.Job{ID: fmt.Sprint(j), Prompt: 1, Answer: 80, Patience: time.Hour, Left: time.Hour}, nil)
		}
		agents[a] = ledgerAgent{l}
		id := fmt.Sprintf("engine%d", i)
		add(id, registrar.Upstream{ID: id, Service: "engines", Address: a, FailureDomain: "abc"[i%3 : i%3+1], Slots: 12, Models: []registrar.HeldModel{{Name: "m", Version: 1}}})
	}
	for i := range entries {
		id := fmt.Sprintf("entry%d", i)
		add(id, registrar.Member{ID: id, FailureDomain: "abc"[i%3 : i%3+1]})
	}
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) { return facts[key], nil }}
	reg.Apply(batch)
	chooser := &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 2))}
	d := &decider{clock: c, Relayer: &relayer.Relayer{
		Registrar: reg, Chooser: chooser, Clock: c, Random: rand.New(rand.NewPCG(3, 4)),
		Placer: &relayer.Placer{Registrar: reg, Chooser: chooser, Observer: &observer.Observer{Clock: c}, Clock: c, FailureDomain: "a", Region: "a",
			Regions: map[string]string{"a": "a", "b": "b", "c": "c"}, AgentPort: 1, WeightsBound: 8 * time.Second,
			Reach: func(a netip.AddrPort) relayer.Agent { return agents[a] }},
	}}
	d.job = relayer.Job{Route: table.Routes[0], Request: relayer.Request{ID: "id", Model: "m", Prompt: 800, MaxAnswer: 80, Patience: 6 * time.Second}}
	return d
}

// decide admits a request, places it, and releases the slot.
func (d *decider) decide() bool {
	d.clock.Step(time.Millisecond)
	j := d.job
	j.Arrived = d.clock.Now()
	d.Admit(&j)
	place, err := d.Placer.Place(context.Background(), &j)
	if err != nil {
		return false
	}
	place.Release()
	return true
}

func benchmarkDecision(b *testing.B, entries, upstreams, held int) {
	d := newDecider(entries, upstreams, held)
	b.ReportAllocs()
	for b.Loop() {
		if !d.decide() {
			b.Fatal("refused")
		}
	}
}

// BenchmarkDecision measures admission and placement in a small deployment.
func BenchmarkDecision(b *testing.B) { benchmarkDecision(b, 12, 50, 0) }

// BenchmarkDecisionBusy has all slots of each engine but one in use.
func BenchmarkDecisionBusy(b *testing.B) { benchmarkDecision(b, 12, 50, 11) }

// BenchmarkDecisionLarge measures them at the largest size designed for.
func BenchmarkDecisionLarge(b *testing.B) { benchmarkDecision(b, 400, 12_000, 0) }

// Guards against decisions that allocate for each waiting or placed request. They would become
// slower with load, and latency would grow with the queue although the engines serve as much.
func TestDecisionAllocatesTheSameUnderLoad(t *testing.T) {
	allocations := func(held int) float64 {
		d := newDecider(12, 50, held)
		return testing.AllocsPerRun(2000, func() { must.True(t, d.decide()) })
	}
	idle, busy := allocations(0), allocations(11)
	t.Logf("%v allocations at idle engines, %v at full ones", idle, busy)
	must.LessEq(t, idle, busy)
}
