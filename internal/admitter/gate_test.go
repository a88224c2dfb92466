package admitter_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// bench is a gate before an upstream that started with the epoch.
type bench struct {
	*admitter.Gate
	clock *testingclock.FakePassiveClock
}

func newBench() bench {
	c := testingclock.NewFakePassiveClock(epoch)
	g := &admitter.Gate{Clock: c, ColdLimit: 2, Limit: 6}
	g.Open(admitter.Booting)
	return bench{g, c}
}

// answer is what the upstream of the given start says a second later.
func (b bench) answer(start string, cold bool) admitter.Probe {
	b.clock.SetTime(b.clock.Now().Add(time.Second))
	return admitter.Probe{Mark: b.Mark(), StartID: start, Uptime: b.clock.Now().Sub(epoch), Cold: cold}
}

// warm widens the gate to its limit.
func (b bench) warm(t *testing.T) {
	t.Helper()
	for range 10 {
		b.Probe(b.answer("one", false))
	}
	must.Eq(t, 6, b.limit())
}

func (b bench) limit() int {
	_, limit, _ := b.State()
	return limit
}

func (b bench) admit(t *testing.T) *admitter.Ticket {
	t.Helper()
	k, err := b.Admit(admitter.Work{})
	must.NoError(t, err)
	return k
}

func reason(t *testing.T, err error) admitter.Reason {
	t.Helper()
	var r *admitter.RefusedError
	must.True(t, errors.As(err, &r))
	return r.Reason
}

func TestGateStartsHeldAndCold(t *testing.T) {
	g := &admitter.Gate{Clock: testingclock.NewFakePassiveClock(epoch), ColdLimit: 2, Limit: 6}
	_, err := g.Admit(admitter.Work{})
	test.Eq(t, admitter.Booting, reason(t, err))
	g.Open(admitter.Booting)
	state, limit, running := g.State()
	test.Eq(t, messenger.GateCold, state)
	test.Eq(t, 2, limit)
	test.Eq(t, 0, running)
}

// An upstream is restarted by its supervisor, hangs, refuses a connection or
// breaks a reply off. Whatever the cause, it may be cold now; under the old
// limit it would fall over, and callers would see streams cut one after another.
func TestGateNarrowsAtEachBadSign(t *testing.T) {
	signs := map[string]func(bench, *admitter.Ticket){
		"start id":    func(b bench, _ *admitter.Ticket) { b.Probe(b.answer("two", false)) },
		"said cold":   func(b bench, _ *admitter.Ticket) { b.Probe(b.answer("one", true)) },
		"failed":      func(b bench, _ *admitter.Ticket) { b.Probe(admitter.Probe{Err: errors.New("refused")}) },
		"cut":         func(_ bench, k *admitter.Ticket) { k.Done(admitter.Result{Outcome: admitter.Cut}) },
		"refused":     func(_ bench, k *admitter.Ticket) { k.Done(admitter.Result{Outcome: admitter.Refused}) },
		"slow":        func(b bench, _ *admitter.Ticket) { b.later(func(p *admitter.Probe) { p.Latency = time.Second }) },
		"uptime back": func(b bench, _ *admitter.Ticket) { b.later(func(p *admitter.Probe) { p.Uptime = time.Second }) },
		"uptime lags": func(b bench, _ *admitter.Ticket) {
			b.clock.SetTime(b.clock.Now().Add(time.Hour))
			b.later(func(p *admitter.Probe) { p.Uptime -= 30 * time.Minute })
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			b.warm(t)
			sign(b, b.admit(t))
			state, limit, _ := b.State()
			test.Eq(t, messenger.GateCold, state)
			test.Eq(t, 2, limit)
		})
	}
}

// later probes with an answer that is changed on the way.
func (b bench) later(change func(*admitter.Probe)) {
	p := b.answer("one", false)
	change(&p)
	b.Probe(p)
}

// A probe's good answer is under way while the upstream is restarted, and a
// reply is cut before that answer is read. Taken at its word it would open the
// gate again to an upstream that has just turned cold.
func TestGateIgnoresGoodWordFromBeforeACut(t *testing.T) {
	b := newBench()
	b.warm(t)
	old := b.answer("one", false)
	b.admit(t).Done(admitter.Result{Outcome: admitter.Cut})
	b.Probe(old)
	state, limit, _ := b.State()
	test.Eq(t, messenger.GateCold, state)
	test.Eq(t, 2, limit)
}

// A reply that began before a restart elsewhere in its path ends well after the
// gate has narrowed. It proves nothing of the upstream as it is now.
func TestGateDoesNotWidenByOldReplies(t *testing.T) {
	b := newBench()
	b.warm(t)
	k := b.admit(t)
	b.Probe(admitter.Probe{Err: errors.New("timeout")})
	b.Probe(b.answer("one", false))
	before := b.limit()
	b.clock.SetTime(b.clock.Now().Add(time.Second))
	k.Done(admitter.Result{Outcome: admitter.Served})
	test.Eq(t, before, b.limit())
}

// The gate narrows while it has more running than it may now have. Letting in
// one for each that ends would keep a cold upstream overloaded for as long as
// there are callers.
func TestGateLetsNothingInAboveANarrowedLimit(t *testing.T) {
	b := newBench()
	b.warm(t)
	var ks []*admitter.Ticket
	for range 5 {
		ks = append(ks, b.admit(t))
	}
	b.Probe(b.answer("one", true))
	for _, k := range ks[:3] {
		_, err := b.Admit(admitter.Work{})
		test.Eq(t, admitter.Full, reason(t, err))
		k.Done(admitter.Result{Outcome: admitter.Served})
	}
	_, err := b.Admit(admitter.Work{})
	test.Eq(t, admitter.Full, reason(t, err))
	ks[3].Done(admitter.Result{Outcome: admitter.Served})
	b.admit(t)
}

// Operators drain a domain while its engine switches weights. Were there one
// hold for all, the end of the switch would open the gate in a drained domain.
func TestGateOpensOnlyWithoutAnyHold(t *testing.T) {
	b := newBench()
	b.Close(admitter.Drained)
	b.Close(admitter.Switching)
	b.Close(admitter.Drained)
	b.Open(admitter.Switching)
	_, err := b.Admit(admitter.Work{})
	test.Eq(t, admitter.Drained, reason(t, err))
	b.Open(admitter.Drained)
	b.admit(t)
}

func TestGateRefusesWhatCannotBeServed(t *testing.T) {
	b := newBench()
	p := b.answer("one", false)
	p.Model, p.Version, p.Manifest = "rota", "v1", "sha256:1"
	b.Probe(p)
	refusals := map[admitter.Reason]admitter.Work{
		admitter.WrongWeights: {Model: "rota", Version: "v2"},
		admitter.WrongStart:   {Model: "rota", EngineStart: "zero"},
		admitter.Expired:      {Model: "rota", Deadline: b.clock.Now()},
	}
	for want, w := range refusals {
		_, err := b.Admit(w)
		test.Eq(t, want, reason(t, err))
	}
	_, err := b.Admit(admitter.Work{Model: "rota", Version: "v1", Manifest: "sha256:1", EngineStart: "one"})
	test.NoError(t, err)
}

func TestGateDrains(t *testing.T) {
	b := newBench()
	k := b.admit(t)
	b.Close(admitter.Leaving)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	test.ErrorIs(t, b.Drained(ended), context.Canceled)
	k.Done(admitter.Result{Outcome: admitter.Served})
	k.Done(admitter.Result{Outcome: admitter.Served})
	test.NoError(t, b.Drained(t.Context()))
	_, _, running := b.State()
	test.Eq(t, 0, running)
}

// An idle engine is restarted between two probes, so that no broken connection
// tells of it. Callers then return all at once: beyond what a cold upstream
// bears, they wait for the probe that is sent for them.
func TestGateWaitsForAProbeBeyondTheColdLimit(t *testing.T) {
	b := newBench()
	b.Confirm = true
	b.warm(t)
	b.admit(t).Connected()
	b.admit(t).Connected()
	<-b.Wanted()
	_, err := b.Admit(admitter.Work{})
	test.Eq(t, admitter.Unconfirmed, reason(t, err))
	entered := make(chan error)
	go func() {
		_, err := b.Enter(t.Context(), admitter.Work{})
		entered <- err
	}()
	b.Probe(b.answer("one", false))
	test.NoError(t, <-entered)
}

func TestGateCountsExactlyUnderConcurrency(t *testing.T) {
	b := newBench()
	b.warm(t)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if k, err := b.Admit(admitter.Work{}); err == nil {
					k.Done(admitter.Result{Outcome: admitter.Served})
				}
			}
		})
	}
	group.Wait()
	_, limit, running := b.State()
	test.Eq(t, 0, running)
	test.Eq(t, 6, limit)
}

func BenchmarkAdmit(b *testing.B) {
	s := newBench()
	for b.Loop() {
		k, err := s.Admit(admitter.Work{})
		if err != nil {
			b.Fatal(err)
		}
		k.Done(admitter.Result{Outcome: admitter.Served})
	}
}
