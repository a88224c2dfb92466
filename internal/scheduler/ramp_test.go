package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against a limit that grows too slowly and leaves a recovered server idle, and one that late answers
// raise or bad ones leave, which floods a slow server.
func TestRampFollowsAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := scheduler.Ramp{Least: 1}
	r.Start(now, now, 12, "test")
	must.Eq(t, 4, r.Limit(now))
	for range 3 {
		r.RecordGood(now)
	}
	must.Eq(t, 7, r.Limit(now))
	r.RecordLate(now)
	must.Eq(t, 7, r.Limit(now.Add(400*time.Millisecond)))
	for range 6 {
		r.RecordBad(now)
	}
	must.Eq(t, 1, r.Limit(now))
	must.False(t, r.Healthy())
	must.False(t, r.Allows(now, 0), must.Sprint("the next trial waits"))
	must.True(t, r.Allows(now.Add(200*time.Millisecond), 0))
	must.False(t, r.Allows(now.Add(200*time.Millisecond), 1))
}

// Guards against holding back a server without traffic for lack of answers, and against equally fast growth for
// one that fails under it repeatedly.
func TestRampGrowsWithTimeAndSlowerAfterSetbacks(t *testing.T) {
	now := time.Unix(1000, 0)
	r := scheduler.Ramp{Least: 1}
	took := func() time.Duration {
		r.Start(now, now, 12, "test")
		began := now
		for {
			if report, ended := r.TryEnd(now, 12); ended {
				must.Eq(t, "time", report.GrownBy())
				return now.Sub(began)
			}
			now = now.Add(10 * time.Millisecond)
		}
	}
	must.Between(t, 700*time.Millisecond, took(), 900*time.Millisecond)
	must.Between(t, 2500*time.Millisecond, took(), 2700*time.Millisecond)
	now = now.Add(time.Minute)
	must.Between(t, 700*time.Millisecond, took(), 900*time.Millisecond)
}

// rampTrial is an engine behind a ledger that gets a request every few milliseconds. Answer returns the time to
// the first event, and whether the request fails instead.
type rampTrial struct {
	*scheduler.Ledger
	clock   *clocktest.FakeClock
	answer  func(since time.Duration) (first time.Duration, fails bool)
	granted []time.Duration
}

const engineBusy = 600 * time.Millisecond

// run sends requests for a time, each running for engineBusy after its first event.
func (rt *rampTrial) run(t *testing.T, lasts time.Duration, beyond scheduler.RampBypass) {
	t.Helper()
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	for since, n := time.Duration(0), 0; since < lasts; since, n = since+10*time.Millisecond, n+1 {
		var left []event
		for _, v := range events {
			if v.at > since {
				left = append(left, v)
				continue
			}
			v.do()
		}
		events = left
		j := job(n, 200*time.Millisecond)
		j.Prompt, j.Beyond = 100, beyond
		if rt.Reserve(j, nil).Granted {
			rt.granted = append(rt.granted, since)
			first, fails := rt.answer(since)
			if fails {
				events = append(events, event{since + first, func() { rt.RecordFailure(j.ID, false); rt.Ended(j.ID) }})
			} else {
				events = append(events, event{since + first, func() { rt.Started(j.ID) }},
					event{since + first + engineBusy, func() { rt.Ended(j.ID) }})
			}
		}
		rt.clock.Step(10 * time.Millisecond)
	}
}

func (rt *rampTrial) grantedWithin(from, to time.Duration) int {
	n := 0
	for _, at := range rt.granted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func newRampTrial(answer func(time.Duration) (time.Duration, bool), without ...ablator.Mechanism) *rampTrial {
	l, c := openLedger()
	l.Without = without
	l.Close("no weights")
	l.StartRamp(scheduler.EngineStarted)
	l.Open(figures())
	return &rampTrial{Ledger: l, clock: c, answer: answer}
}

// Guards against flooding a server that is slow for 3 s after its start, and against leaving it idle after it
// has recovered.
func TestRampAtSlowlyStartingEngine(t *testing.T) {
	slow := func(since time.Duration) (time.Duration, bool) {
		if since < 3*time.Second {
			return 1200 * time.Millisecond, false
		}
		return 60 * time.Millisecond, false
	}
	with, without := newRampTrial(slow), newRampTrial(slow, ablator.SlowStart)
	for _, rt := range []*rampTrial{with, without} {
		rt.run(t, 8*time.Second, scheduler.OthersFull)
	}
	grantedWhileSlow := with.grantedWithin(0, 3*time.Second)
	t.Logf("granted while it is slow %d, without the ramp %d; afterwards %d and %d", grantedWhileSlow, without.grantedWithin(0, 3*time.Second),
		with.grantedWithin(3*time.Second, 8*time.Second), without.grantedWithin(3*time.Second, 8*time.Second))
	must.Less(t, without.grantedWithin(0, 3*time.Second)*2/3, grantedWhileSlow)
	must.Greater(t, without.grantedWithin(5*time.Second, 8*time.Second)*9/10, with.grantedWithin(5*time.Second, 8*time.Second))
}

// Guards against a server that passes its health check but fails its requests at once: it is always free, so
// without a limit it attracts all requests.
func TestRampAtHealthyButFailingEngine(t *testing.T) {
	fails := func(time.Duration) (time.Duration, bool) { return 10 * time.Millisecond, true }
	rt := newRampTrial(fails)
	rt.run(t, 5*time.Second, scheduler.OthersFull)
	t.Logf("granted %d of 500", len(rt.granted))
	must.Less(t, 15, len(rt.granted))

	// It has not just started, but fails from some point on.
	l, c := openLedger()
	rt = &rampTrial{Ledger: l, clock: c, answer: fails}
	rt.run(t, 5*time.Second, scheduler.OthersFull)
	must.Less(t, 15, len(rt.granted))
	must.True(t, l.Ramping())
}

// Guards against a ramp that refuses requests which no other engine can take while the server answers well, and
// one that holds back where the whole service has just started.
func TestRampBypass(t *testing.T) {
	well := func(time.Duration) (time.Duration, bool) { return 60 * time.Millisecond, false }
	for _, beyond := range []scheduler.RampBypass{scheduler.OthersFull, scheduler.AllRamping} {
		with, without := newRampTrial(well), newRampTrial(well, ablator.SlowStart)
		for _, rt := range []*rampTrial{with, without} {
			rt.run(t, 2*time.Second, beyond)
		}
		must.Eq(t, len(without.granted), len(with.granted), must.Sprint(beyond))
	}
	rt := newRampTrial(well)
	rt.run(t, 2*time.Second, scheduler.WithinRamp)
	must.Eq(t, 16, rt.grantedWithin(0, 400*time.Millisecond), must.Sprint("all slots within a few hundred milliseconds"))
}

// Guards against a ramp that admits more to a cold engine than its limit.
func TestRampStaysWithinColdLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		rt := newRampTrial(func(time.Duration) (time.Duration, bool) {
			return time.Duration(random.IntN(800)) * time.Millisecond, random.IntN(3) == 0
		})
		rt.ColdFactor, rt.ColdSlack = 1.5, 5
		rt.SetColdLimit(14, rt.clock.Now().Add(time.Hour))
		rt.run(t, 5*time.Second, []scheduler.RampBypass{scheduler.WithinRamp, scheduler.OthersFull, scheduler.AllRamping}[random.IntN(3)])
		for _, at := range rt.granted {
			must.LessEq(t, 14, rt.grantedWithin(at, at+time.Second))
		}
	}
}

// plainCandidates are the candidates of a plain service.
func plainCandidates(cold ...string) []scheduler.Candidate {
	var ks []scheduler.Candidate
	for i := range 6 {
		k := scheduler.Candidate{ID: fmt.Sprint(i), Slots: 6, StartedAt: time.Unix(900, 0)}
		for _, id := range cold {
			k.Cold = k.Cold || id == k.ID
		}
		ks = append(ks, k)
	}
	return ks
}

// firstChoices is how often a candidate is the first choice in n requests.
func firstChoices(c *scheduler.Chooser, ks []scheduler.Candidate, id string, n int) int {
	chosen := 0
	for range n {
		if c.Order(ks)[0].ID == id {
			chosen++
		}
	}
	return chosen
}

// Guards against a full share right after an upstream's start, and against a share that never grows for lack of
// answers. An entry's part of the plain upstream is one request at a time, one every four seconds.
func TestRampAtStartedPlainUpstream(t *testing.T) {
	c, now := newChooser()
	c.Sharers = func() int { return 44 }
	ks := plainCandidates("0")
	early := firstChoices(c, ks, "0", 600)
	now.Step(800 * time.Millisecond)
	later := firstChoices(c, ks, "0", 600)
	now.Step(time.Second)
	afterRamp := firstChoices(c, ks, "0", 600)
	t.Logf("first of 600: %d at the start, %d after 0.8 s, %d after 1.8 s", early, later, afterRamp)
	must.Between(t, 1, early, 30)
	must.Between(t, 15, later, 70)
	must.Between(t, 70, afterRamp, 140)
	must.False(t, c.Ramping("0"))
}

// Guards against upstreams that all hold back for each other, and against refusing a request for the ramp.
func TestRampIsIgnoredWhenAllRampOrOthersAreFull(t *testing.T) {
	c, _ := newChooser()
	must.Between(t, 60, firstChoices(c, plainCandidates("0", "1", "2", "3"), "0", 600), 140)
	c, _ = newChooser()
	ks := plainCandidates("0")
	for _, k := range ks[1:] {
		c.RecordLoad(k.ID, 0, 1)
	}
	must.Eq(t, 600, firstChoices(c, ks, "0", 600))
}

// Guards against sending all of an entry's requests at once to an upstream that failed repeatedly when its
// avoidance ends.
func TestTrialAfterRepeatedFailures(t *testing.T) {
	c, now := newChooser()
	ks := plainCandidates()
	for _, k := range ks[1:] {
		c.RecordLoad(k.ID, 0, 0.9)
	}
	for range 2 {
		c.RecordFailure("0", true)
		now.Step(time.Second)
	}
	must.Eq(t, 60, firstChoices(c, ks, "0", 60))
	c.Begin("0")
	must.Zero(t, firstChoices(c, ks, "0", 60), must.Sprint("one trial at a time"))
	c.RecordLatency("0", 50*time.Millisecond, 300*time.Millisecond)
	must.Eq(t, 60, firstChoices(c, ks, "0", 60))

	// A single failure needs no trial.
	c, now = newChooser()
	for _, k := range ks[1:] {
		c.RecordLoad(k.ID, 0, 0.9)
	}
	c.RecordFailure("0", true)
	now.Step(time.Second)
	c.Begin("0")
	must.Eq(t, 60, firstChoices(c, ks, "0", 60))
}
