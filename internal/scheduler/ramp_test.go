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

// Guards against a limit that follows its answers wrongly: too slow growth leaves a recovered server idle, a
// limit that late answers raise or bad ones leave floods a slow one.
func TestRampFollowsAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := scheduler.Ramp{Least: 1}
	r.Start(now, now, 12, "test")
	must.Eq(t, 4, r.Limit(now))
	for range 3 {
		r.Good(now)
	}
	must.Eq(t, 7, r.Limit(now))
	r.Late(now)
	must.Eq(t, 7, r.Limit(now.Add(400*time.Millisecond)))
	for range 6 {
		r.Bad(now)
	}
	must.Eq(t, 1, r.Limit(now))
	must.False(t, r.Well())
	must.False(t, r.Allows(now, 0), must.Sprint("the next trial waits"))
	must.True(t, r.Allows(now.Add(200*time.Millisecond), 0))
	must.False(t, r.Allows(now.Add(200*time.Millisecond), 1))
}

// Guards against a server without traffic that is held back for lack of answers, and one that fails under
// its growth again and again and is let up as fast each time.
func TestRampGrowsWithTimeAndSlowerAfterSetbacks(t *testing.T) {
	now := time.Unix(1000, 0)
	r := scheduler.Ramp{Least: 1}
	took := func() time.Duration {
		r.Start(now, now, 12, "test")
		began := now
		for {
			if report, ended := r.End(now, 12); ended {
				must.Eq(t, "time", report.Decided())
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

// trial is an engine behind a ledger that gets a request every few milliseconds. Answer says after how long
// it gives the first event, and whether it fails instead.
type trial struct {
	*scheduler.Ledger
	clock   *clocktest.FakeClock
	answer  func(since time.Duration) (first time.Duration, fails bool)
	granted []time.Duration
}

const engineBusy = 600 * time.Millisecond

// play has requests come for a time, each busy for engineBusy after its first event.
func (e *trial) play(t *testing.T, lasts time.Duration, beyond scheduler.Beyond) {
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
		if e.Reserve(j, nil).Granted {
			e.granted = append(e.granted, since)
			first, fails := e.answer(since)
			if fails {
				events = append(events, event{since + first, func() { e.Failed(j.ID, false); e.Ended(j.ID) }})
			} else {
				events = append(events, event{since + first, func() { e.Started(j.ID) }},
					event{since + first + engineBusy, func() { e.Ended(j.ID) }})
			}
		}
		e.clock.Step(10 * time.Millisecond)
	}
}

func (e *trial) grantedWithin(from, to time.Duration) int {
	n := 0
	for _, at := range e.granted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func newTrial(answer func(time.Duration) (time.Duration, bool), without ...ablator.Mechanism) *trial {
	l, c := openLedger()
	l.Without = without
	l.Close("no weights")
	l.BeginRamp(scheduler.EngineStarted)
	l.Open(figures())
	return &trial{Ledger: l, clock: c, answer: answer}
}

// A server is slow for 3 s after its start and then healthy. Guards against a flood while it is slow, and
// against a server that is left idle after it has recovered.
func TestSlowAfterItsStart(t *testing.T) {
	slow := func(since time.Duration) (time.Duration, bool) {
		if since < 3*time.Second {
			return 1200 * time.Millisecond, false
		}
		return 60 * time.Millisecond, false
	}
	with, without := newTrial(slow), newTrial(slow, ablator.SlowStart)
	for _, e := range []*trial{with, without} {
		e.play(t, 8*time.Second, scheduler.OthersFull)
	}
	began := with.grantedWithin(0, 3*time.Second)
	t.Logf("granted while it is slow %d, without the ramp %d; afterwards %d and %d", began, without.grantedWithin(0, 3*time.Second),
		with.grantedWithin(3*time.Second, 8*time.Second), without.grantedWithin(3*time.Second, 8*time.Second))
	must.Less(t, without.grantedWithin(0, 3*time.Second)*2/3, began)
	must.Greater(t, without.grantedWithin(5*time.Second, 8*time.Second)*9/10, with.grantedWithin(5*time.Second, 8*time.Second))
}

// A server answers its health check well and fails its requests at once. It is always free, so without a
// limit it draws all requests.
func TestHealthyAndFailing(t *testing.T) {
	fails := func(time.Duration) (time.Duration, bool) { return 10 * time.Millisecond, true }
	e := newTrial(fails)
	e.play(t, 5*time.Second, scheduler.OthersFull)
	t.Logf("granted %d of 500", len(e.granted))
	must.Less(t, 15, len(e.granted))

	// It has not just started, but fails from some moment on.
	l, c := openLedger()
	e = &trial{Ledger: l, clock: c, answer: fails}
	e.play(t, 5*time.Second, scheduler.OthersFull)
	must.Less(t, 15, len(e.granted))
	must.True(t, l.Ramping())
}

// Guards against a ramp that refuses requests which nobody else can take while the server answers well, and
// one that holds back where the whole service has just started.
func TestBeyondTheRamp(t *testing.T) {
	well := func(time.Duration) (time.Duration, bool) { return 60 * time.Millisecond, false }
	for _, beyond := range []scheduler.Beyond{scheduler.OthersFull, scheduler.AllRamping} {
		with, without := newTrial(well), newTrial(well, ablator.SlowStart)
		for _, e := range []*trial{with, without} {
			e.play(t, 2*time.Second, beyond)
		}
		must.Eq(t, len(without.granted), len(with.granted), must.Sprint(beyond))
	}
	e := newTrial(well)
	e.play(t, 2*time.Second, scheduler.WithinRamp)
	must.Eq(t, 16, e.grantedWithin(0, 400*time.Millisecond), must.Sprint("all slots within a few hundred milliseconds"))
}

// Guards against a ramp that lets more into a cold engine than its bound.
func TestRampIsNeverLooserThanTheColdBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		e := newTrial(func(time.Duration) (time.Duration, bool) {
			return time.Duration(random.IntN(800)) * time.Millisecond, random.IntN(3) == 0
		})
		e.ColdFactor, e.ColdSlack = 1.5, 5
		e.Cold(14, e.clock.Now().Add(time.Hour))
		e.play(t, 5*time.Second, []scheduler.Beyond{scheduler.WithinRamp, scheduler.OthersFull, scheduler.AllRamping}[random.IntN(3)])
		for _, at := range e.granted {
			must.LessEq(t, 14, e.grantedWithin(at, at+time.Second))
		}
	}
}

// plain are the candidates of a plain service.
func plain(cold ...string) []scheduler.Candidate {
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

// firstChoices is how many of so many requests a candidate is the first choice for.
func firstChoices(c *scheduler.Chooser, ks []scheduler.Candidate, id string, n int) int {
	chosen := 0
	for range n {
		if c.Order(ks)[0].ID == id {
			chosen++
		}
	}
	return chosen
}

// An entry's part of a plain upstream is one request at a time, and it sends it one in four seconds. Guards
// against a full share right after the start, and against one that waits for answers that don't come.
func TestPlainUpstreamThatHasJustStarted(t *testing.T) {
	c, now := newChooser()
	c.Sharers = func() int { return 44 }
	ks := plain("0")
	early := firstChoices(c, ks, "0", 600)
	now.Step(800 * time.Millisecond)
	later := firstChoices(c, ks, "0", 600)
	now.Step(time.Second)
	whole := firstChoices(c, ks, "0", 600)
	t.Logf("first of 600: %d at the start, %d after 0.8 s, %d after 1.8 s", early, later, whole)
	must.Between(t, 1, early, 30)
	must.Between(t, 15, later, 70)
	must.Between(t, 70, whole, 140)
	must.False(t, c.Ramping("0"))
}

// Guards against upstreams that wait for each other, and a request that is refused for the ramp.
func TestNothingIsHeldBackWhereAllStartOrTheOthersAreFull(t *testing.T) {
	c, _ := newChooser()
	must.Between(t, 60, firstChoices(c, plain("0", "1", "2", "3"), "0", 600), 140)
	c, _ = newChooser()
	ks := plain("0")
	for _, k := range ks[1:] {
		c.Heard(k.ID, 0, 1)
	}
	must.Eq(t, 600, firstChoices(c, ks, "0", 600))
}

// An upstream fails, is passed over, and fails again. Guards against all of an entry's requests going there
// at once when it may be asked again.
func TestTrialAfterRepeatedFailures(t *testing.T) {
	c, now := newChooser()
	ks := plain()
	for _, k := range ks[1:] {
		c.Heard(k.ID, 0, 0.9)
	}
	for range 2 {
		c.Failed("0", true)
		now.Step(time.Second)
	}
	must.Eq(t, 60, firstChoices(c, ks, "0", 60))
	c.Begin("0")
	must.Zero(t, firstChoices(c, ks, "0", 60), must.Sprint("one trial at a time"))
	c.Judge("0", 50*time.Millisecond, 300*time.Millisecond)
	must.Eq(t, 60, firstChoices(c, ks, "0", 60))

	// A single failure needs no trial.
	c, now = newChooser()
	for _, k := range ks[1:] {
		c.Heard(k.ID, 0, 0.9)
	}
	c.Failed("0", true)
	now.Step(time.Second)
	c.Begin("0")
	must.Eq(t, 60, firstChoices(c, ks, "0", 60))
}
