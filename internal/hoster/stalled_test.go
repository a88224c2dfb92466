package hoster_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/detector"
	"github.com/oriolecroft/oriolecroft/internal/hoster"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

const (
	stalledGrace = 8 * time.Second
	// leastTime is what an entry that wasn't stalled leaves to all requests.
	leastTime = 3550 * time.Millisecond
	// timerStep and maxSteps bound how long the timers of a suspended VM may run on until its entry ends.
	timerStep = 25 * time.Millisecond
	maxSteps  = 40
	// starvedRun is how long a starved entry runs between stalls.
	starvedRun = 25 * time.Millisecond
	// answerTime is how long requests of these tests take to answer once they are cut.
	answerTime = 100 * time.Millisecond
	// starvedAnswerTime is the same for a starved entry.
	starvedAnswerTime = 400 * time.Millisecond
)

func newStalls(c clock.WithTicker) *detector.Detector { return detector.New(c, metrics.NewRegistry()) }

// stalledEntry is an entry with a request that ends only when it is cut.
type stalledEntry struct {
	*hoster.Hoster
	stalls *detector.Detector
	stop   context.CancelFunc
	ended  chan error
	answer chan string
}

// newStalledEntry starts an entry and sends it a request.
func newStalledEntry(t *testing.T, c clock.WithTicker, answerTime time.Duration) *stalledEntry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	started := make(chan struct{})
	e := &stalledEntry{stalls: newStalls(c), ended: make(chan error, 1), answer: make(chan string, 1)}
	e.Hoster = &hoster.Hoster{Callers: l, Grace: stalledGrace, Clock: c, Stalls: e.stalls, Registrar: &registrar.Registrar{Clock: c},
		Registration: &syncer.Registration{Store: noLeases{}, Clock: c},
		Requests: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			time.Sleep(answerTime)
			_, _ = io.WriteString(w, "cut")
		})}
	ctx, stop := context.WithCancel(t.Context())
	e.stop = stop
	go func() { e.ended <- e.Run(ctx) }()
	go func() {
		res, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			e.answer <- err.Error()
			return
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		e.answer <- string(body)
	}()
	<-started
	return e
}

func (e *stalledEntry) stopAndWait(t *testing.T) {
	e.stop()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(e.Draining), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
}

// Guards against an entry that counts its grace from when it resumes, and still serves when it is killed.
func TestGraceOfStalledEntryCountsFromItsStall(t *testing.T) {
	for name, e := range map[string]struct {
		stall, cutIn, leastTime time.Duration
	}{
		"not stalled":        {0, 7850 * time.Millisecond, 0},
		"stalled":            {2800 * time.Millisecond, 5050 * time.Millisecond, leastTime},
		"nearly whole grace": {7500 * time.Millisecond, 350 * time.Millisecond, leastTime},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			w := newStalledEntry(t, c, answerTime)
			must.Zero(t, w.LeastTime())
			c.Step(e.stall)
			w.stopAndWait(t)
			cutIn, draining := w.CutIn()
			must.True(t, draining)
			must.Eq(t, e.cutIn, cutIn)
			must.Eq(t, e.leastTime, w.LeastTime())
			c.Step(e.cutIn)
			must.NoError(t, <-w.ended)
		})
	}
}

// starve stalls an entry for each of some times, between which it runs.
func (e *stalledEntry) starve(c *clocktest.FakeClock, stalls ...time.Duration) {
	for _, stall := range stalls {
		c.Step(stall)
		e.stalls.Recurring()
		c.Step(starvedRun)
		e.stalls.Recurring()
	}
}

// Guards against a starved entry that is killed while it waits for its processor time to cut and answer its requests.
func TestStarvedEntryCutsEarlier(t *testing.T) {
	const ms = time.Millisecond
	for name, e := range map[string]struct {
		before, after []time.Duration
		// cutAt is the time after the signal, or after the probable one.
		cutAt, leastTime time.Duration
	}{
		"stalled once":                {nil, []time.Duration{600 * ms}, 7850 * ms, leastTime},
		"throttled":                   {nil, []time.Duration{90 * ms, 90 * ms}, 7580 * ms, leastTime + 90*ms},
		"starved":                     {nil, []time.Duration{300 * ms, 250 * ms, 300 * ms}, 6950 * ms, leastTime + 300*ms},
		"starved, in the last sixth":  {nil, []time.Duration{600 * ms, 600 * ms}, stalledGrace - stalledGrace/6, leastTime + 600*ms},
		"starved as the signal came":  {[]time.Duration{300 * ms, 300 * ms}, nil, 6950*ms - 650*ms, leastTime + 300*ms},
		"starved long before and now": {[]time.Duration{600 * ms, 600 * ms, 600 * ms, 600 * ms}, nil, 7850*ms - 2500*ms, leastTime + 600*ms},
		"starved long ago":            {nil, append([]time.Duration{600 * ms, 600 * ms}, make([]time.Duration, 201)...), 7850 * ms, leastTime},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			w := newStalledEntry(t, c, answerTime)
			w.starve(c, e.before...)
			w.stopAndWait(t)
			signalledAt := c.Now()
			w.starve(c, e.after...)
			cutIn, _ := w.CutIn()
			must.Eq(t, e.cutAt, c.Since(signalledAt)+cutIn)
			must.Eq(t, e.leastTime, w.LeastTime())
			c.Step(cutIn)
			stepUntil(c, func() bool { return len(w.ended) > 0 })
			must.NoError(t, <-w.ended)
		})
	}
}

// Guards against requests that an entry may cut although that loses them: late ones, and all of an entry that may cut before
// the last sixth of its grace.
func TestRequestsThatMayNotBeCut(t *testing.T) {
	const ms = time.Millisecond
	for name, e := range map[string]struct {
		// stall is the time for which the entry is stalled as the signal comes, after the time since then.
		stall, after, age time.Duration
		mayCut            bool
		// in is the time until the earliest cut.
		in time.Duration
	}{
		"in progress":                   {0, 0, time.Second, true, stalledGrace * 5 / 6},
		"arrives with an old answer":    {0, 2900 * ms, 0, true, stalledGrace*5/6 - 2900*ms},
		"arrives later":                 {0, 2901 * ms, 0, false, stalledGrace*5/6 - 2901*ms},
		"arrived in time, placed later": {0, 3200 * ms, 300 * ms, true, stalledGrace*5/6 - 3200*ms},
		"stalled for a moment":          {200 * ms, 0, time.Second, false, stalledGrace*5/6 - 200*ms},
		"stalled for long":              {2800 * ms, 0, time.Second, false, stalledGrace*5/6 - 2800*ms},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			w := newStalledEntry(t, c, answerTime)
			_, mustEnd := w.MustEndIn(0)
			must.False(t, mustEnd, must.Sprint("the entry keeps running"))
			c.Step(e.stall)
			w.stopAndWait(t)
			for left := e.after; left > 0; left -= starvedRun {
				c.Step(min(left, starvedRun))
				w.stalls.Recurring()
			}
			in, mustEnd := w.MustEndIn(e.age)
			must.Eq(t, e.mayCut, !mustEnd)
			must.Between(t, e.in-time.Microsecond, in, e.in+time.Microsecond)
			stepUntil(c, func() bool { return len(w.ended) > 0 })
			must.NoError(t, <-w.ended)
		})
	}
}

// Guards against a cut that moves forward, as the entry stalls, past the end of a request that was accepted for it.
func TestCutIsNeverBeforeTheEarliest(t *testing.T) {
	stalls := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
	}), 0, 8)
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		d := newStalls(c)
		stall := func(name string) {
			for _, length := range stalls.Draw(t, name) {
				c.Step(length)
				d.Recurring()
				c.Step(starvedRun)
				d.Recurring()
			}
		}
		stall("before")
		k := &hoster.Kill{Signal: d.Event(), Grace: stalledGrace, Clock: c, Stalls: d}
		signalledAt, earliest := c.Now(), k.EarliestCut()
		stall("after")
		must.Eq(t, earliest, k.EarliestCut())
		must.False(t, k.CutAt().Before(earliest))
		if k.MayCut(signalledAt) {
			must.False(t, k.CutAt().Before(signalledAt.Add(stalledGrace-stalledGrace/6)))
		}
	})
}

// Guards against connections of a starved entry that are closed before it had the processor time to answer on them.
func TestStarvedEntryAnswersCutRequests(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	w := newStalledEntry(t, c, starvedAnswerTime)
	w.stopAndWait(t)
	w.starve(c, 5*time.Second, 600*time.Millisecond, 600*time.Millisecond)
	cutIn, _ := w.CutIn()
	c.Step(cutIn)
	stepUntil(c, func() bool { return len(w.answer) > 0 })
	must.Eq(t, "cut", <-w.answer)
	stepUntil(c, func() bool { return len(w.ended) > 0 })
	must.NoError(t, <-w.ended)
}

// Guards against connections that are closed without an answer after a stall as long as the grace.
func TestRequestsAreAnsweredAfterStallOverWholeGrace(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	w := newStalledEntry(t, c, answerTime)
	c.Step(stalledGrace)
	w.stopAndWait(t)
	must.Eq(t, "cut", <-w.answer)
	must.NoError(t, <-w.ended)
}

// Guards against an entry whose timers don't count a suspension, and that still serves when it is killed.
func TestDrainingEntryNoticesSuspension(t *testing.T) {
	steady := clocktest.NewFakeClock(time.Unix(1000, 0))
	vm := &suspender.VM{Steady: steady}
	w := newStalledEntry(t, vm.Clock(), answerTime)
	w.stopAndWait(t)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(steady.HasWaiters), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	vm.Suspend(stalledGrace - 100*time.Millisecond)
	must.Eq(t, leastTime, w.LeastTime())
	for range maxSteps {
		select {
		case err := <-w.ended:
			must.NoError(t, err)
			return
		case <-time.After(5 * time.Millisecond):
			steady.Step(timerStep)
		}
	}
	t.Fatal("not ended")
}
