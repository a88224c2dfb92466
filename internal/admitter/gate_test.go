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
func (f fixture) answer(start string, cold bool) admitter.Probe {
	f.clock.SetTime(f.clock.Now().Add(time.Second))
	return admitter.Probe{Mark: f.Mark(), StartID: start, Uptime: f.clock.Now().Sub(epoch), Cold: cold}
}

// warmUp raises the gate's limit to its maximum.
func (f fixture) warmUp(t *testing.T) {
	t.Helper()
	for range 10 {
		f.Probe(f.answer("one", false))
	}
	must.Eq(t, 6, f.limit())
}

func (f fixture) limit() int {
	_, limit, _ := f.State()
	return limit
}

func (f fixture) admit(t *testing.T) *admitter.Ticket {
	t.Helper()
	k, err := f.Admit(admitter.Request{})
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
		"start id":         func(f fixture, _ *admitter.Ticket) { f.Probe(f.answer("two", false)) },
		"reported cold":    func(f fixture, _ *admitter.Ticket) { f.Probe(f.answer("one", true)) },
		"failed":           func(f fixture, _ *admitter.Ticket) { f.Probe(admitter.Probe{Err: errors.New("refused")}) },
		"cut":              func(_ fixture, k *admitter.Ticket) { k.Done(admitter.Result{Outcome: admitter.Cut}) },
		"refused":          func(_ fixture, k *admitter.Ticket) { k.Done(admitter.Result{Outcome: admitter.Refused}) },
		"slow":             func(f fixture, _ *admitter.Ticket) { f.probeWith(func(p *admitter.Probe) { p.Latency = time.Second }) },
		"uptime decreased": func(f fixture, _ *admitter.Ticket) { f.probeWith(func(p *admitter.Probe) { p.Uptime = time.Second }) },
		"uptime lags": func(f fixture, _ *admitter.Ticket) {
			f.clock.SetTime(f.clock.Now().Add(time.Hour))
			f.probeWith(func(p *admitter.Probe) { p.Uptime -= 30 * time.Minute })
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.warmUp(t)
			fail(f, f.admit(t))
			state, limit, _ := f.State()
			test.Eq(t, messenger.GateCold, state)
			test.Eq(t, 2, limit)
		})
	}
}

// probeWith probes with an answer modified by change.
func (f fixture) probeWith(change func(*admitter.Probe)) {
	p := f.answer("one", false)
	change(&p)
	f.Probe(p)
}

// Guards against a healthy answer to a probe that was sent before the upstream
// restarted but is read after a reply was cut: it would reopen the gate to a
// cold upstream.
func TestGateIgnoresProbeSentBeforeACut(t *testing.T) {
	f := newFixture()
	f.warmUp(t)
	old := f.answer("one", false)
	f.admit(t).Done(admitter.Result{Outcome: admitter.Cut})
	f.Probe(old)
	state, limit, _ := f.State()
	test.Eq(t, messenger.GateCold, state)
	test.Eq(t, 2, limit)
}

// Guards against raising the limit for a reply that started before the gate
// reset it: that reply shows nothing about the upstream's present state.
func TestGateDoesNotRaiseLimitForOldReplies(t *testing.T) {
	f := newFixture()
	f.warmUp(t)
	k := f.admit(t)
	f.Probe(admitter.Probe{Err: errors.New("timeout")})
	f.Probe(f.answer("one", false))
	before := f.limit()
	f.clock.SetTime(f.clock.Now().Add(time.Second))
	k.Done(admitter.Result{Outcome: admitter.Served})
	test.Eq(t, before, f.limit())
}

// Guards against admitting one request for each that ends while more are
// running than the reduced limit allows, which would keep a cold upstream
// overloaded.
func TestGateAdmitsNothingAboveAReducedLimit(t *testing.T) {
	f := newFixture()
	f.warmUp(t)
	var tickets []*admitter.Ticket
	for range 5 {
		tickets = append(tickets, f.admit(t))
	}
	f.Probe(f.answer("one", true))
	for _, k := range tickets[:3] {
		_, err := f.Admit(admitter.Request{})
		test.Eq(t, admitter.Full, reason(t, err))
		k.Done(admitter.Result{Outcome: admitter.Served})
	}
	_, err := f.Admit(admitter.Request{})
	test.Eq(t, admitter.Full, reason(t, err))
	tickets[3].Done(admitter.Result{Outcome: admitter.Served})
	f.admit(t)
}

// Guards against a single hold for all reasons: operators drain a domain while
// its engine switches weights, and the end of the switch would open the gate in
// the drained domain.
func TestGateOpensOnlyWithoutAnyHold(t *testing.T) {
	f := newFixture()
	f.Close(admitter.Drained)
	f.Close(admitter.Switching)
	f.Close(admitter.Drained)
	f.Open(admitter.Switching)
	_, err := f.Admit(admitter.Request{})
	test.Eq(t, admitter.Drained, reason(t, err))
	f.Open(admitter.Drained)
	f.admit(t)
}

func TestGateRefusesUnservableRequests(t *testing.T) {
	f := newFixture()
	p := f.answer("one", false)
	p.Model, p.Version, p.Manifest = "rota", "v1", "sha256:1"
	f.Probe(p)
	refusals := map[admitter.Reason]admitter.Request{
		admitter.WrongWeights: {Model: "rota", Version: "v2"},
		admitter.WrongStart:   {Model: "rota", EngineStart: "zero"},
		admitter.Expired:      {Model: "rota", Deadline: f.clock.Now()},
	}
	for want, w := range refusals {
		_, err := f.Admit(w)
		test.Eq(t, want, reason(t, err))
	}
	_, err := f.Admit(admitter.Request{Model: "rota", Version: "v1", Manifest: "sha256:1", EngineStart: "one"})
	test.NoError(t, err)
}

func TestGateDrains(t *testing.T) {
	f := newFixture()
	k := f.admit(t)
	f.Close(admitter.Leaving)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	test.ErrorIs(t, f.WaitIdle(ended), context.Canceled)
	k.Done(admitter.Result{Outcome: admitter.Served})
	k.Done(admitter.Result{Outcome: admitter.Served})
	test.NoError(t, f.WaitIdle(t.Context()))
	_, _, running := f.State()
	test.Eq(t, 0, running)
}

// Guards against overloading an idle engine that restarted between two probes
// without breaking a connection. When callers return all at once, those beyond
// the cold limit wait for a probe.
func TestGateWaitsForAProbeBeyondTheColdLimit(t *testing.T) {
	f := newFixture()
	f.Confirm = true
	f.warmUp(t)
	f.admit(t).Connected()
	f.admit(t).Connected()
	<-f.ProbeWanted()
	_, err := f.Admit(admitter.Request{})
	test.Eq(t, admitter.Unconfirmed, reason(t, err))
	entered := make(chan error)
	go func() {
		_, err := f.AdmitWait(t.Context(), admitter.Request{})
		entered <- err
	}()
	f.Probe(f.answer("one", false))
	test.NoError(t, <-entered)
}

func TestGateCountsExactlyUnderConcurrency(t *testing.T) {
	f := newFixture()
	f.warmUp(t)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if k, err := f.Admit(admitter.Request{}); err == nil {
					k.Done(admitter.Result{Outcome: admitter.Served})
				}
			}
		})
	}
	group.Wait()
	_, limit, running := f.State()
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
