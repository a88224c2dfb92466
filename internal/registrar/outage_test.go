package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// outOfReach has a process ask the store in vain for a time, each half a second.
func outOfReach(r *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) {
	for end := c.Now().Add(d); c.Now().Before(end); {
		c.Step(100 * time.Millisecond)
		if c.Now().Sub(end)%(500*time.Millisecond) == 0 {
			r.StoreLost()
		}
	}
}

// outOfReachOfAll is outOfReach for a process and for another one, which then reports it.
func outOfReachOfAll(r, other *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) {
	for end := c.Now().Add(d); c.Now().Before(end); {
		outOfReach(r, c, 500*time.Millisecond)
		other.StoreLost()
	}
	r.Apply(other.Since(1))
}

func watched(r *registrar.Registrar) {
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
}

// The store is out of reach for all, and a version is named meanwhile. Nobody can have
// heard of it, and nobody can have fetched it. Counted from the last word of the store, the
// time of the old weights would be over as soon as the store is back, and all callers would
// be refused until the new ones are there, seconds later.
func TestNamingInAnOutageCountsFromItsEnd(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	outOfReach(r, c, 500*time.Millisecond)
	// The other process had a slightly later answer of the store.
	other.Apply(registrar.Batch{After: 1, At: 1})
	outOfReachOfAll(r, other, c, 7*time.Second)
	outOfReach(r, c, time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last time that the store was asked in vain"))
}

// A process stands still over a naming, and the store fails it once as it wakes. The store
// answered all others meanwhile: were the naming taken for new, old weights would begin
// replies that much beyond their time.
func TestNamingWhileStandingStillCountsFromBefore(t *testing.T) {
	// Each gives the latest moment from which the naming may count.
	for name, asleep := range map[string]func(*registrar.Registrar, *clocktest.FakeClock) time.Time{
		"all the while": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			before := c.Now()
			c.Step(8 * time.Second)
			r.StoreLost()
			return before
		},
		"after a while": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			before := c.Now()
			outOfReach(r, c, 2*time.Second)
			c.Step(6 * time.Second)
			outOfReach(r, c, 500*time.Millisecond)
			return before
		},
		"long after an outage": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			outOfReach(r, c, 2*time.Second)
			c.Step(time.Second)
			r.StoreFound()
			r.Apply(registrar.Batch{After: 1, At: 1})
			before := c.Now()
			c.Step(6 * time.Second)
			return before
		},
		"at the end": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			other := newRegistrarAt(c)
			other.Apply(registrar.Batch{Whole: true, At: 1})
			outOfReachOfAll(r, other, c, 2*time.Second)
			before := c.Now()
			c.Step(6 * time.Second)
			return before
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			want := asleep(r, c)
			watched(r)
			got, ok := superseded(r, 1)
			must.True(t, ok)
			must.Eq(t, want, got)
		})
	}
}

// A process waits for silent peers, turns to the store at last, and fails once. The store
// answered others all the while, so that the naming is as old as the last word.
func TestNamingMissedBehindSilentPeersCountsFromBefore(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	before := c.Now()
	for range 40 {
		c.Step(100 * time.Millisecond)
	}
	outOfReach(r, c, 500*time.Millisecond)
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got)
}

// An entry is restarted while the store is out of reach, and learns from another what that
// last heard of the store, seconds ago. A version is named meanwhile. If it takes itself for
// one that stood still since then, it counts the naming from before the outage and tells all
// others so: the engines close when the store is back, and callers are refused until the new
// weights are there.
func TestWhoStartsInAnOutageCountsFromItsEnd(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	witness, between, started := newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)
	witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	outOfReach(witness, c, 7*time.Second)
	between.StoreLost()
	between.Apply(witness.Since(0))
	outOfReach(between, c, time.Second)
	// The first one is stopped meanwhile: what it saw goes on from hand to hand.
	started.StoreLost()
	started.Apply(between.Since(0))
	outOfReach(started, c, time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	started.StoreFound()
	watched(started)
	got, ok := superseded(started, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last time that the store was asked in vain"))
}

// A process starts, or wakes, and learns of another's outage. That proves nothing for the time
// of the other's suspension, nor after its last failed call, nor for a store that answers this
// process. Were an announcement of such a time taken for new, stale versions would begin replies
// that much beyond their time.
func TestAnothersOutageCoversOnlyWhatItSaw(t *testing.T) {
	for name, missed := range map[string]func(witness, r *registrar.Registrar, c *clocktest.FakeClock){
		"the other stood still": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			c.Step(8 * time.Second)
			witness.StoreLost()
			r.StoreLost()
			r.Apply(witness.Since(0))
			outOfReach(r, c, 500*time.Millisecond)
		},
		"the other's answer lay unread": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			outOfReach(witness, c, 2*time.Second)
			b := witness.Since(0)
			c.Step(6 * time.Second)
			r.StoreLost()
			r.Apply(b.Older(6 * time.Second))
			outOfReach(r, c, 500*time.Millisecond)
		},
		"the store answers this one": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			outOfReach(witness, c, 8*time.Second)
			r.Apply(witness.Since(0))
			r.StoreAsked()
		},
		"this one stood still again": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			outOfReach(witness, c, 2*time.Second)
			r.StoreLost()
			r.Apply(witness.Since(0))
			outOfReach(r, c, 500*time.Millisecond)
			c.Step(6 * time.Second)
			outOfReach(r, c, 500*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			witness, r := newRegistrarAt(c), newRegistrarAt(c)
			before := c.Now()
			witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			missed(witness, r, c)
			watched(r)
			got, ok := superseded(r, 1)
			must.True(t, ok)
			must.Eq(t, before, got)
		})
	}
}

// An entry starts just when the store is back, and finds a version that was named in the
// outage. It can't know since when, as it knows nothing of the time before. Another process,
// busy with the store all the while, hears of the version from it. If it believes that the
// naming may be any time ago, its engine closes at once and callers are refused, although
// nothing was named until the store was last out of reach.
func TestWhatANewcomerFoundCountsFromOnesOwnLastWord(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other, newcomer := newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1})
	other.Apply(registrar.Batch{Whole: true, At: 1})
	outOfReachOfAll(r, other, c, 7*time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	found := registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}
	newcomer.Apply(withoutAges(found))
	_, ok := superseded(newcomer, 1)
	must.True(t, ok)
	r.Apply(newcomer.Since(1))
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last time that the store was asked in vain"))
}

// twoThatKnow are two processes that know version 1 of model m.
func twoThatKnow(c *clocktest.FakeClock) (a, b *registrar.Registrar) {
	a, b = newRegistrarAt(c), newRegistrarAt(c)
	whole := registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}}
	a.Apply(whole)
	b.Apply(whole)
	return a, b
}

// In an outage each process calls the store about once a second, but with some dozen processes
// there is a failed call every few hundredths of a second. Who counts an announcement from its
// own last one only takes it for up to a second older than it can be, and its engine stops that
// much sooner, mostly before the new version is loaded.
func TestLatestVainCallOfAnyProcessCounts(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	for range 14 {
		outOfReach(r, c, 500*time.Millisecond)
		other.StoreLost()
	}
	c.Step(800 * time.Millisecond)
	other.StoreLost()
	latest := c.Now()
	r.Apply(other.Since(1))
	c.Step(200 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, latest, got, must.Sprint("the other's last vain call"))
}

// A process stands still while the store comes back and a version is named. Another is cut off
// alone, calls in vain all the while, and tells of that when the first wakes. The outage that
// the first saw itself is over; believing the other, it would let replies begin on old weights
// for as much longer as it stood still.
func TestAnothersOutageCoversNoStandstillAfterIt(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, cutOff := twoThatKnow(c)
	for range 4 {
		outOfReach(r, c, 500*time.Millisecond)
		cutOff.StoreLost()
	}
	asleep := c.Now()
	outOfReach(cutOff, c, 6*time.Second)
	r.Apply(cutOff.Since(1))
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, asleep, got, must.Sprint("its own last vain call"))
}

// The same process hears of the version from one that has just started and can't know since
// when, before it calls the store again. The other's outage covers its standstill as little.
func TestAnothersOutageCoversNoStandstillBeforeTheNextCall(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, cutOff, newcomer := newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1})
	cutOff.Apply(registrar.Batch{Whole: true, At: 1})
	for range 4 {
		outOfReach(r, c, 500*time.Millisecond)
		cutOff.StoreLost()
	}
	asleep := c.Now()
	outOfReach(cutOff, c, 6*time.Second)
	r.Apply(cutOff.Since(1))
	found := registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}
	newcomer.Apply(withoutAges(found))
	r.Apply(newcomer.Since(1))
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, asleep, got, must.Sprint("its own last vain call"))
}

// A process stands still, and the call to the store that it had begun fails when it wakes. A
// version was named meanwhile. Another process is cut off alone, calls in vain all the while,
// and tells of that. Nothing of this process's own shows an outage before it woke; believing
// the other, it would let replies begin on old weights for as much longer as it stood still.
func TestAnothersOutageCoversNoStandstillThatEndsInAVainCall(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, cutOff := twoThatKnow(c)
	r.StoreAsked()
	asleep := c.Now()
	outOfReach(cutOff, c, 6*time.Second)
	r.StoreLost()
	r.Apply(cutOff.Since(1))
	c.Step(300 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, asleep, got, must.Sprint("the store's last word"))
}

// A VM freezes for two seconds while a call to the store is under way, and a version is named
// meanwhile. On waking, the call's time is over and it fails, though the store answered all the
// while. Were that taken for an outage up to now, old weights would begin replies for as much
// longer as the VM was frozen.
func TestCallThatFailsByAStandstillShowsNoOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	tick := func(d time.Duration) {
		for range d / (200 * time.Millisecond) {
			c.Step(200 * time.Millisecond)
			r.Tick()
		}
	}
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	tick(time.Second)
	r.Apply(registrar.Batch{After: 1, At: 1})
	r.StoreAsked()
	tick(200 * time.Millisecond)
	named := c.Now()
	c.Step(2 * time.Second)
	r.StoreLost()
	tick(400 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	r.Apply(withoutAges(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}))
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.False(t, got.After(named), must.Sprintf("counts from %v after the naming", got.Sub(named)))
}

// The same in an outage that goes on: the next call that fails shows it again.
func TestOutageGoesOnAfterAStandstill(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	vain := func(times int) {
		for range times {
			r.StoreAsked()
			for range 4 {
				c.Step(200 * time.Millisecond)
				r.Tick()
			}
			r.StoreLost()
			other.StoreLost()
			r.Apply(other.Since(1))
		}
	}
	vain(5)
	r.StoreAsked()
	c.Step(2 * time.Second)
	r.StoreLost()
	vain(1)
	back := c.Now()
	c.Step(200 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last time that the store was asked in vain"))
}

// Guards against a process that takes failed calls of its own for an outage, as behind a saturated link, and
// counts an announcement of that time from the last of them.
func TestFailedCallsOfOneProcessAreNoOutage(t *testing.T) {
	for name, learns := range map[string]func(r *registrar.Registrar, c *clocktest.FakeClock, announced registrar.Batch){
		"from the store": func(r *registrar.Registrar, _ *clocktest.FakeClock, announced registrar.Batch) {
			r.StoreFound()
			r.Apply(announced)
		},
		"from a process that found it": func(r *registrar.Registrar, c *clocktest.FakeClock, announced registrar.Batch) {
			found := newRegistrarAt(c)
			announced.Whole = true
			found.Apply(withoutAges(announced))
			r.Apply(found.Since(1))
		},
		"from one that lost the store after it found it": func(r *registrar.Registrar, c *clocktest.FakeClock, announced registrar.Batch) {
			found := newRegistrarAt(c)
			announced.Whole, announced.Age = true, 700*time.Millisecond
			found.Apply(withoutAges(announced))
			found.StoreLost()
			r.Apply(found.Since(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			before := c.Now()
			r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			outOfReach(r, c, 2*time.Second)
			learns(r, c, registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
			got, ok := superseded(r, 1)
			must.True(t, ok)
			must.Eq(t, before, got)
		})
	}
}

// Guards against an outage that one process believes in although another one had an answer of the store in it.
func TestAnswerToAnotherProcessRefutesAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	before := c.Now()
	outOfReachOfAll(r, other, c, 2*time.Second)
	found := newRegistrarAt(c)
	found.Apply(withoutAges(registrar.Batch{Whole: true, At: 2, Age: time.Second, Records: []registrar.Record{record("weights/m", "2", 2)}}))
	r.Apply(found.Since(1))
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got)
}

// Guards against failed calls of a process that is cut off alone, which cover the time in which this one
// didn't call the store and had updates from a peer that was behind.
func TestAnothersOutageCoversNoTimeWithoutCalls(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, cutOff := twoThatKnow(c)
	behind := newRegistrarAt(c)
	behind.Apply(r.Since(0))
	r.StoreAsked()
	before := c.Now()
	for range 6 {
		outOfReach(cutOff, c, 500*time.Millisecond)
		r.Apply(behind.Since(1))
	}
	r.StoreAsked()
	r.StoreLost()
	cutOff.StoreLost()
	r.Apply(cutOff.Since(1))
	c.Step(100 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got, must.Sprintf("%v after the store's last confirmation", got.Sub(before)))
}

// Guards against counting an announcement from before an outage at a process that hears from others and turns
// to the store late: its engine would stop before the new weights are loaded.
func TestProcessThatTurnsToTheStoreLateCountsFromTheEndOfAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	for range 24 {
		outOfReach(other, c, 100*time.Millisecond)
		r.Tick()
	}
	r.StoreAsked()
	outOfReachOfAll(r, other, c, 5*time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got)
}
