package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// failCalls fails the store calls of a process for a time, one each half second.
func failCalls(r *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) {
	for end := c.Now().Add(d); c.Now().Before(end); {
		c.Step(100 * time.Millisecond)
		if c.Now().Sub(end)%(500*time.Millisecond) == 0 {
			r.StoreCallFailed()
		}
	}
}

// failCallsOfBoth is failCalls for a process and for another one, which then reports its failed calls.
func failCallsOfBoth(r, other *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) {
	for end := c.Now().Add(d); c.Now().Before(end); {
		failCalls(r, c, 500*time.Millisecond)
		other.StoreCallFailed()
	}
	r.Apply(other.ChangesSince(1))
}

func applyVersion2(r *registrar.Registrar) {
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
}

// Guards against an announcement in an outage that counts from the last confirmation. No process
// can have received it or fetched the version. The time limit of the old weights would be over as
// soon as the store recovers, and all callers would be refused until the new ones are loaded,
// seconds later.
func TestAnnouncementInOutageCountsFromItsEnd(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	failCalls(r, c, 500*time.Millisecond)
	// The other process got a slightly later answer from the store.
	other.Apply(registrar.Batch{After: 1, At: 1})
	failCallsOfBoth(r, other, c, 7*time.Second)
	failCalls(r, c, time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last failed call to the store"))
}

// Guards against a process that was suspended over an announcement, and whose first call fails as
// it resumes. The store answered all others meanwhile: if the announcement counted as new, old
// weights would start replies that much beyond their time limit.
func TestAnnouncementWhileSuspendedCountsFromBefore(t *testing.T) {
	// Each returns the latest time from which the announcement may count.
	for name, suspend := range map[string]func(*registrar.Registrar, *clocktest.FakeClock) time.Time{
		"all the while": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			before := c.Now()
			c.Step(8 * time.Second)
			r.StoreCallFailed()
			return before
		},
		"after a while": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			before := c.Now()
			failCalls(r, c, 2*time.Second)
			c.Step(6 * time.Second)
			failCalls(r, c, 500*time.Millisecond)
			return before
		},
		"long after an outage": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			failCalls(r, c, 2*time.Second)
			c.Step(time.Second)
			r.StoreCallSucceeded()
			r.Apply(registrar.Batch{After: 1, At: 1})
			before := c.Now()
			c.Step(6 * time.Second)
			return before
		},
		"at the end": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			other := newRegistrarAt(c)
			other.Apply(registrar.Batch{Whole: true, At: 1})
			failCallsOfBoth(r, other, c, 4*time.Second)
			before := c.Now()
			c.Step(6 * time.Second)
			return before
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			want := suspend(r, c)
			applyVersion2(r)
			got, ok := supersededAt(r, 1)
			must.True(t, ok)
			must.Eq(t, want, got)
		})
	}
}

// A process waits for unresponsive peers, calls the store at last, and the call fails. The store
// answered others all the while, so the announcement may be as old as the last confirmation.
func TestAnnouncementMissedBehindUnresponsivePeersCountsFromBefore(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	before := c.Now()
	for range 40 {
		c.Step(100 * time.Millisecond)
	}
	failCalls(r, c, 500*time.Millisecond)
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got)
}

// Guards against an entry that restarts in an outage and learns from another what that last
// received from the store, seconds ago. If it counted as suspended since then, it would count a
// version announced meanwhile from before the outage and report that to all others: the engines
// would close when the store recovers, and callers would be refused until the new weights are
// loaded.
func TestProcessStartedInOutageCountsFromItsEnd(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	witness, between, started := newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)
	witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	failCalls(witness, c, 7*time.Second)
	between.StoreCallFailed()
	between.Apply(witness.ChangesSince(0))
	failCalls(between, c, time.Second)
	// The first one is stopped meanwhile; others pass on its observations.
	started.StoreCallFailed()
	started.Apply(between.ChangesSince(0))
	failCalls(started, c, time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	started.StoreCallSucceeded()
	applyVersion2(started)
	got, ok := supersededAt(started, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last failed call to the store"))
}

// A process starts, or resumes, and receives another's report of an outage. That proves nothing for
// the time of the other's suspension, nor after its last failed call, nor for a store that answers
// this process. If an announcement of such a time counted as new, stale versions would start
// replies that much beyond their time limit.
func TestReportedOutageCoversOnlyObservedTime(t *testing.T) {
	for name, missed := range map[string]func(witness, r *registrar.Registrar, c *clocktest.FakeClock){
		"other process suspended": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			c.Step(8 * time.Second)
			witness.StoreCallFailed()
			r.StoreCallFailed()
			r.Apply(witness.ChangesSince(0))
			failCalls(r, c, 500*time.Millisecond)
		},
		"other process's answer unread": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			failCalls(witness, c, 4*time.Second)
			b := witness.ChangesSince(0)
			c.Step(6 * time.Second)
			r.StoreCallFailed()
			r.Apply(b.Older(6 * time.Second))
			failCalls(r, c, 500*time.Millisecond)
		},
		"store answers this process": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			failCalls(witness, c, 8*time.Second)
			r.Apply(witness.ChangesSince(0))
			r.StoreCallStarted()
		},
		"this process suspended again": func(witness, r *registrar.Registrar, c *clocktest.FakeClock) {
			failCalls(witness, c, 4*time.Second)
			r.StoreCallFailed()
			r.Apply(witness.ChangesSince(0))
			failCalls(r, c, 500*time.Millisecond)
			c.Step(6 * time.Second)
			failCalls(r, c, 500*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			witness, r := newRegistrarAt(c), newRegistrarAt(c)
			before := c.Now()
			witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			missed(witness, r, c)
			applyVersion2(r)
			got, ok := supersededAt(r, 1)
			must.True(t, ok)
			must.Eq(t, before, got)
		})
	}
}

// Guards against an engine that closes at once because its process receives a version of unknown
// age. An entry that starts just when the store recovers finds a version announced in the outage,
// and another process, which called the store all the while, receives it from there. Callers would
// be refused, although nothing was announced before the last failed call.
func TestListedVersionCountsFromReceiversLastConfirmation(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other, newcomer := newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1})
	other.Apply(registrar.Batch{Whole: true, At: 1})
	failCallsOfBoth(r, other, c, 7*time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	found := registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}
	newcomer.Apply(withoutAges(found))
	_, ok := supersededAt(newcomer, 1)
	must.True(t, ok)
	r.Apply(newcomer.ChangesSince(1))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last failed call to the store"))
}

// newPair returns two processes that have version 1 of model m.
func newPair(c *clocktest.FakeClock) (a, b *registrar.Registrar) {
	a, b = newRegistrarAt(c), newRegistrarAt(c)
	whole := registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}}
	a.Apply(whole)
	b.Apply(whole)
	return a, b
}

// In an outage each process calls the store about once a second, but with some dozen processes
// there is a failed call every few hundredths of a second. A process that counts an announcement
// from its own last one only overestimates its age by up to a second, and its engine stops that
// much sooner, mostly before the new version is loaded.
func TestLatestFailedCallOfAnyProcessCounts(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 14 {
		failCalls(r, c, 500*time.Millisecond)
		other.StoreCallFailed()
	}
	c.Step(800 * time.Millisecond)
	other.StoreCallFailed()
	latest := c.Now()
	r.Apply(other.ChangesSince(1))
	c.Step(200 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, latest, got, must.Sprint("the other's last failed call"))
}

// A process is suspended while the store recovers and a version is announced. Another is
// partitioned, its calls fail all the while, and it reports them when the first resumes. The outage
// that the first observed itself is over; if it accepted the report, replies would start on old
// weights for as much longer as it was suspended.
func TestReportedOutageCoversNoLaterSuspension(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, partitioned := newPair(c)
	for range 8 {
		failCalls(r, c, 500*time.Millisecond)
		partitioned.StoreCallFailed()
	}
	suspended := c.Now()
	failCalls(partitioned, c, 6*time.Second)
	r.Apply(partitioned.ChangesSince(1))
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, suspended, got, must.Sprint("its own last failed call"))
}

// The same process receives the version from one that has just started and has no age for it,
// before its next call to the store. The other's outage doesn't cover its suspension either.
func TestReportedOutageCoversNoSuspensionBeforeNextCall(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, partitioned, newcomer := newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1})
	partitioned.Apply(registrar.Batch{Whole: true, At: 1})
	for range 8 {
		failCalls(r, c, 500*time.Millisecond)
		partitioned.StoreCallFailed()
	}
	suspended := c.Now()
	failCalls(partitioned, c, 6*time.Second)
	r.Apply(partitioned.ChangesSince(1))
	found := registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}
	newcomer.Apply(withoutAges(found))
	r.Apply(newcomer.ChangesSince(1))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, suspended, got, must.Sprint("its own last failed call"))
}

// A process is suspended, and its outstanding call to the store fails when it resumes. A version
// was announced meanwhile. Another process is partitioned and reports failed calls for all that
// time. Nothing of this process's own shows an outage; if it accepted the report, replies would
// start on old weights for as much longer as it was suspended.
func TestReportedOutageCoversNoSuspensionThatEndsInFailedCall(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, partitioned := newPair(c)
	r.StoreCallStarted()
	suspended := c.Now()
	failCalls(partitioned, c, 6*time.Second)
	r.StoreCallFailed()
	r.Apply(partitioned.ChangesSince(1))
	c.Step(300 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, suspended, got, must.Sprint("the store's last confirmation"))
}

// Guards against a call that is outstanding while a VM is suspended for two seconds and a version
// is announced. It fails on resume as its deadline has passed, though the store answered all the
// while. If it counted as an outage, old weights would start replies for as much longer as the VM
// was suspended.
func TestCallThatFailsAfterSuspensionShowsNoOutage(t *testing.T) {
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
	r.StoreCallStarted()
	tick(200 * time.Millisecond)
	announced := c.Now()
	c.Step(2 * time.Second)
	r.StoreCallFailed()
	tick(400 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	r.Apply(withoutAges(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.False(t, got.After(announced), must.Sprintf("counts from %v after the announcement", got.Sub(announced)))
}

// The same in a continuing outage: the next failed call shows it again.
func TestOutageContinuesAfterSuspension(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	fail := func(times int) {
		for range times {
			r.StoreCallStarted()
			for range 4 {
				c.Step(200 * time.Millisecond)
				r.Tick()
			}
			r.StoreCallFailed()
			other.StoreCallFailed()
			r.Apply(other.ChangesSince(1))
		}
	}
	fail(5)
	r.StoreCallStarted()
	c.Step(2 * time.Second)
	r.StoreCallFailed()
	fail(1)
	back := c.Now()
	c.Step(200 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last failed call to the store"))
}

// Guards against a process that takes failed calls of its own for an outage, as behind a saturated link, and counts
// an announcement of that time from the last of them.
func TestFailedCallsOfOneProcessAreNoOutage(t *testing.T) {
	for name, learns := range map[string]func(r *registrar.Registrar, c *clocktest.FakeClock, announced registrar.Batch){
		"from the store": func(r *registrar.Registrar, _ *clocktest.FakeClock, announced registrar.Batch) {
			r.StoreCallSucceeded()
			r.Apply(announced)
		},
		"from a process that found it": func(r *registrar.Registrar, c *clocktest.FakeClock, announced registrar.Batch) {
			found := newRegistrarAt(c)
			announced.Whole = true
			found.Apply(withoutAges(announced))
			r.Apply(found.ChangesSince(1))
		},
		"from one that lost the store after it found it": func(r *registrar.Registrar, c *clocktest.FakeClock, announced registrar.Batch) {
			found := newRegistrarAt(c)
			announced.Whole, announced.Age = true, 700*time.Millisecond
			found.Apply(withoutAges(announced))
			found.StoreCallFailed()
			r.Apply(found.ChangesSince(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			before := c.Now()
			r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			failCalls(r, c, 5*time.Second)
			learns(r, c, registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
			got, ok := supersededAt(r, 1)
			must.True(t, ok)
			must.Eq(t, before, got)
		})
	}
}

// Guards against an outage that a process accepts although the store answered another one during it.
func TestAnswerToAnotherProcessRefutesAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	before := c.Now()
	failCallsOfBoth(r, other, c, 5*time.Second)
	found := newRegistrarAt(c)
	found.Apply(withoutAges(registrar.Batch{Whole: true, At: 2, Age: time.Second, Records: []registrar.Record{record("weights/m", "2", 2)}}))
	r.Apply(found.ChangesSince(1))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got)
}

// Guards against failed calls of a partitioned process that cover the time in which this one didn't call the store
// and received updates from a peer that was behind.
func TestReportedOutageCoversNoTimeWithoutCalls(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, partitioned := newPair(c)
	behind := newRegistrarAt(c)
	behind.Apply(r.ChangesSince(0))
	r.StoreCallStarted()
	before := c.Now()
	for range 6 {
		failCalls(partitioned, c, 500*time.Millisecond)
		r.Apply(behind.ChangesSince(1))
	}
	r.StoreCallStarted()
	r.StoreCallFailed()
	partitioned.StoreCallFailed()
	r.Apply(partitioned.ChangesSince(1))
	c.Step(100 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got, must.Sprintf("%v after the store's last confirmation", got.Sub(before)))
}

// Guards against counting an announcement from before an outage at a process that follows its peers and calls the
// store late: its engine would stop before the new weights are loaded.
func TestProcessThatCallsStoreLateCountsFromOutageEnd(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 24 {
		failCalls(other, c, 100*time.Millisecond)
		r.Tick()
	}
	r.StoreCallStarted()
	failCallsOfBoth(r, other, c, 5*time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got)
}

// Guards against a date that relies on an inferred outage and passes for the store's word: the store may have answered one
// process for a second before the others' calls last failed.
func TestDateByAnOutageIsNoCertainty(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	failCallsOfBoth(r, other, c, 7*time.Second)
	applyVersion2(r)
	at, known := supersededAt(r, 1)
	must.True(t, known)
	must.Eq(t, c.Now(), at)
	must.Eq(t, at.Add(-time.Second), r.CertainlyCurrentUntil("m", 1))
	c.Step(time.Second)
	confirmed := c.Now()
	r.Apply(registrar.Batch{After: 2, At: 2})
	c.Step(time.Second)
	r.Apply(registrar.Batch{After: 2, At: 3, Records: []registrar.Record{record("weights/m", "3", 3)}})
	must.Eq(t, confirmed, r.CertainlyCurrentUntil("m", 2))
}
