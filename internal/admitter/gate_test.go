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

// fixture is a gate in front of an upstream that started at the epoch.
type fixture struct {
	*admitter.Gate
	clock *testingclock.FakePassiveClock
}

func newFixture() fixture {
	c := testingclock.NewFakePassiveClock(epoch)
	g := &admitter.Gate{Clock: c, ColdLimit: 2, Limit: 6}
	g.Open(admitter.Booting)
	return fixture{g, c}
}

// answer is the probe answer, a second later, of an upstream with the given
// start id.
func (b fixture) answer(start string, cold bool) admitter.Probe {
	b.clock.SetTime(b.clock.Now().Add(time.Second))
	return admitter.Probe{Mark: b.Mark(), StartID: start, Uptime: b.clock.Now().Sub(epoch), Cold: cold}
}

// warmUp raises the gate's limit to its maximum.
func (b fixture) warmUp(t *testing.T) {
	t.Helper()
	for range 10 {
		b.Probe(b.answer("one", false))
	}
	must.Eq(t, 6, b.limit())
}

func (b fixture) limit() int {
	_, limit, _ := b.State()
	return limit
}

func (b fixture) admit(t *testing.T) *admitter.Ticket {
	t.Helper()
	k, err := b.Admit(admitter.Request{})
	must.NoError(t, err)
	return k
}

func reason(t *testing.T, err error) admitter.Reason {
	t.Helper()
	var r *admitter.RefusedError
	must.True(t, errors.As(err, &r))
	return r.Reason
}

func TestGateStartsClosedAndCold(t *testing.T) {
	g := &admitter.Gate{Clock: testingclock.NewFakePassiveClock(epoch), ColdLimit: 2, Limit: 6}
	_, err := g.Admit(admitter.Request{})
	test.Eq(t, admitter.Booting, reason(t, err))
	g.Open(admitter.Booting)
	state, limit, running := g.State()
	test.Eq(t, messenger.GateCold, state)
	test.Eq(t, 2, limit)
	test.Eq(t, 0, running)
}

// Guards against keeping the full limit for an upstream that may be cold after a
// restart, a hang, a refused connection or a broken reply. It would crash under
// that load and cut streams.
func TestGateResetsLimitOnEachFailure(t *testing.T) {
	failures := map[string]func(fixture, *admitter.Ticket){
		"start id":    func(b fixture, _ *admitter.Ticket) { b.Probe(b.answer("two", false)) },
		"said cold":   func(b fixture, _ *admitter.Ticket) { b.Probe(b.answer("one", true)) },
		"failed":      func(b fixture, _ *admitter.Ticket) { b.Probe(admitter.Probe{Err: errors.New("refused")}) },
		"cut":         func(_ fixture, k *admitter.Ticket) { k.Done(admitter.Result{Outcome: admitter.Cut}) },
		"refused":     func(_ fixture, k *admitter.Ticket) { k.Done(admitter.Result{Outcome: admitter.Refused}) },
		"slow":        func(b fixture, _ *admitter.Ticket) { b.probeWith(func(p *admitter.Probe) { p.Latency = time.Second }) },
		"uptime back": func(b fixture, _ *admitter.Ticket) { b.probeWith(func(p *admitter.Probe) { p.Uptime = time.Second }) },
		"uptime lags": func(b fixture, _ *admitter.Ticket) {
			b.clock.SetTime(b.clock.Now().Add(time.Hour))
			b.probeWith(func(p *admitter.Probe) { p.Uptime -= 30 * time.Minute })
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.warmUp(t)
			fail(b, b.admit(t))
			state, limit, _ := b.State()
			test.Eq(t, messenger.GateCold, state)
			test.Eq(t, 2, limit)
		})
	}
}

// probeWith probes with an answer modified by change.
func (b fixture) probeWith(change func(*admitter.Probe)) {
	p := b.answer("one", false)
	change(&p)
	b.Probe(p)
}

// Guards against a healthy answer to a probe that was sent before the upstream
// restarted but is read after a reply was cut: it would reopen the gate to a
// cold upstream.
func TestGateIgnoresProbeSentBeforeACut(t *testing.T) {
	b := newFixture()
	b.warmUp(t)
	old := b.answer("one", false)
	b.admit(t).Done(admitter.Result{Outcome: admitter.Cut})
	b.Probe(old)
	state, limit, _ := b.State()
	test.Eq(t, messenger.GateCold, state)
	test.Eq(t, 2, limit)
}

// Guards against raising the limit for a reply that started before the gate
// reset it: that reply shows nothing about the upstream's present state.
func TestGateDoesNotRaiseLimitForOldReplies(t *testing.T) {
	b := newFixture()
	b.warmUp(t)
	k := b.admit(t)
	b.Probe(admitter.Probe{Err: errors.New("timeout")})
	b.Probe(b.answer("one", false))
	before := b.limit()
	b.clock.SetTime(b.clock.Now().Add(time.Second))
	k.Done(admitter.Result{Outcome: admitter.Served})
	test.Eq(t, before, b.limit())
}

// Guards against admitting one request for each that ends while more are
// running than the reduced limit allows, which would keep a cold upstream
// overloaded.
func TestGateAdmitsNothingAboveAReducedLimit(t *testing.T) {
	b := newFixture()
	b.warmUp(t)
	var tickets []*admitter.Ticket
	for range 5 {
		tickets = append(tickets, b.admit(t))
	}
	b.Probe(b.answer("one", true))
	for _, k := range tickets[:3] {
		_, err := b.Admit(admitter.Request{})
		test.Eq(t, admitter.Full, reason(t, err))
		k.Done(admitter.Result{Outcome: admitter.Served})
	}
	_, err := b.Admit(admitter.Request{})
	test.Eq(t, admitter.Full, reason(t, err))
	tickets[3].Done(admitter.Result{Outcome: admitter.Served})
	b.admit(t)
}

// Guards against a single hold for all reasons: operators drain a domain while
// its engine switches weights, and the end of the switch would open the gate in
// the drained domain.
func TestGateOpensOnlyWithoutAnyHold(t *testing.T) {
	b := newFixture()
	b.Close(admitter.Drained)
	b.Close(admitter.Switching)
	b.Close(admitter.Drained)
	b.Open(admitter.Switching)
	_, err := b.Admit(admitter.Request{})
	test.Eq(t, admitter.Drained, reason(t, err))
	b.Open(admitter.Drained)
	b.admit(t)
}

func TestGateRefusesUnservableRequests(t *testing.T) {
	b := newFixture()
	p := b.answer("one", false)
	p.Model, p.Version, p.Manifest = "rota", "v1", "sha256:1"
	b.Probe(p)
	refusals := map[admitter.Reason]admitter.Request{
		admitter.WrongWeights: {Model: "rota", Version: "v2"},
		admitter.WrongStart:   {Model: "rota", EngineStart: "zero"},
		admitter.Expired:      {Model: "rota", Deadline: b.clock.Now()},
	}
	for want, w := range refusals {
		_, err := b.Admit(w)
		test.Eq(t, want, reason(t, err))
	}
	_, err := b.Admit(admitter.Request{Model: "rota", Version: "v1", Manifest: "sha256:1", EngineStart: "one"})
	test.NoError(t, err)
}

func TestGateDrains(t *testing.T) {
	b := newFixture()
	k := b.admit(t)
	b.Close(admitter.Leaving)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	test.ErrorIs(t, b.WaitIdle(ended), context.Canceled)
	k.Done(admitter.Result{Outcome: admitter.Served})
	k.Done(admitter.Result{Outcome: admitter.Served})
	test.NoError(t, b.WaitIdle(t.Context()))
	_, _, running := b.State()
	test.Eq(t, 0, running)
}

// Guards against overloading an idle engine that restarted between two probes
// without breaking a connection. When callers return all at once, those beyond
// the cold limit wait for a probe.
func TestGateWaitsForAProbeBeyondTheColdLimit(t *testing.T) {
	b := newFixture()
	b.Confirm = true
	b.warmUp(t)
	b.admit(t).Connected()
	b.admit(t).Connected()
	<-b.ProbeWanted()
	_, err := b.Admit(admitter.Request{})
	test.Eq(t, admitter.Unconfirmed, reason(t, err))
	entered := make(chan error)
	go func() {
		_, err := b.AdmitWait(t.Context(), admitter.Request{})
		entered <- err
	}()
	b.Probe(b.answer("one", false))
	test.NoError(t, <-entered)
}

func TestGateCountsExactlyUnderConcurrency(t *testing.T) {
	b := newFixture()
	b.warmUp(t)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if k, err := b.Admit(admitter.Request{}); err == nil {
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
	s := newFixture()
	for b.Loop() {
		k, err := s.Admit(admitter.Request{})
		if err != nil {
			b.Fatal(err)
		}
		k.Done(admitter.Result{Outcome: admitter.Served})
	}
}
