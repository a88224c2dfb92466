package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an outage that a process accepts after a single failed call, because another process is partitioned
// from the store, which answers the rest.
func TestPartitionedProcessShowsNoOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	reader, partitioned := newPair(c)
	for range 8 {
		failCalls(partitioned, c, 500*time.Millisecond)
		reader.StoreCallStarted()
		reader.StoreCallSucceeded()
		reader.Apply(registrar.Batch{After: 1, At: 1})
		partitioned.Apply(reader.ChangesSince(1))
	}
	announced := c.Now()
	reader.StoreCallStarted()
	failCalls(partitioned, c, 1900*time.Millisecond)
	reader.StoreCallFailed()
	partitioned.StoreCallFailed()
	reader.Apply(partitioned.ChangesSince(1))
	got := supersededAfterPause(t, reader, c, 200*time.Millisecond)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// Guards against an outage that no process accepts after a brief recovery of the store, in which it answered one
// process between two failed calls of the other.
func TestOutageAfterBriefRecoveryIsDetected(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	failCallsOfBoth(r, other, c, 4*time.Second)
	c.Step(100 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	r.Apply(registrar.Batch{After: 1, At: 1})
	other.Apply(r.ChangesSince(1))
	failCallsOfBoth(r, other, c, 4*time.Second)
	back := c.Now()
	must.Eq(t, back, supersededAfterPause(t, r, c, 300*time.Millisecond))
}

// Guards against a process that was partitioned and counts as such for good: it may be the only one of its region
// that can report an outage.
func TestFormerlyPartitionedProcessShowsLaterOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 8 {
		failCalls(other, c, 500*time.Millisecond)
		r.StoreCallStarted()
		r.StoreCallSucceeded()
		r.Apply(registrar.Batch{After: 1, At: 1})
		other.Apply(r.ChangesSince(1))
	}
	for _, p := range []*registrar.Registrar{r, other} {
		p.StoreCallStarted()
		p.StoreCallSucceeded()
		p.Apply(registrar.Batch{After: 1, At: 1})
	}
	failCallsOfBoth(r, other, c, 4*time.Second)
	back := c.Now()
	must.Eq(t, back, supersededAfterPause(t, r, c, 300*time.Millisecond))
}

// Guards against a process that calls the store in outages only, as it follows its peers, and counts as partitioned
// because these got the first answer after each.
func TestProcessThatCallsStoreOnlyInOutagesShowsThem(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 3 {
		failCallsOfBoth(r, other, c, 4*time.Second)
		c.Step(300 * time.Millisecond)
		for range 10 {
			r.StoreCallStarted()
			r.StoreCallSucceeded()
			r.Apply(registrar.Batch{After: 1, At: 1})
			other.Apply(r.ChangesSince(1))
			c.Step(400 * time.Millisecond)
		}
		r.StoreCallStarted()
		r.StoreCallSucceeded()
		r.Apply(registrar.Batch{After: 1, At: 1})
		other.Apply(r.ChangesSince(1))
	}
	failCallsOfBoth(r, other, c, 4*time.Second)
	back := c.Now()
	must.Eq(t, back, supersededAfterPause(t, r, c, 300*time.Millisecond))
}

// Guards against an announcement that counts from the end of an outage in which the store answered a process that
// reached no process of this region until later.
func TestLaterWordOfAnAnswerRefutesAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	witness := newRegistrarAt(c)
	witness.Apply(r.ChangesSince(0))
	announced := c.Now()
	c.Step(100 * time.Millisecond)
	applyVersion2(witness)
	failCallsOfBoth(r, other, c, 5*time.Second)
	c.Step(200 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	r.Apply(witness.ChangesSinceWithAges(2))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// Guards against engines that stop as an outage ends: another process had the announcement before the last failed call
// of this one was over, which doesn't refute the outage.
func TestAnnouncementKnownBeforeTheLastFailedCallCountsFromOutageEnd(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	witness := newRegistrarAt(c)
	witness.Apply(r.ChangesSince(0))
	failCallsOfBoth(r, other, c, 6*time.Second)
	back := c.Now()
	c.Step(100 * time.Millisecond)
	witness.Apply(other.ChangesSince(1))
	applyVersion2(witness)
	known := c.Now()
	failCallsOfBoth(r, other, c, 500*time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	must.True(t, r.NeedsAges())
	r.Apply(witness.ChangesSinceWithAges(2))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.False(t, got.After(known), must.Sprintf("%v after another process knew it", got.Sub(known)))
	must.False(t, got.Before(back), must.Sprintf("%v before the outage's end", back.Sub(got)))
}

// answerOne answers a call of one process, which reports it to the other.
func answerOne(r, other *registrar.Registrar) {
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	r.Apply(registrar.Batch{After: 1, At: 1})
	other.Apply(r.ChangesSince(1))
}

// outageShortfall fails the calls of both processes for d, and returns by how much an announcement at the end of the
// outage counts from before that.
func outageShortfall(t *testing.T, r, other *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) (early time.Duration) {
	t.Helper()
	failCallsOfBoth(r, other, c, d)
	back := c.Now()
	return back.Sub(supersededAfterPause(t, r, c, 300*time.Millisecond))
}

// Guards against a store that recovers briefly and answers one process only: the others would reject the outage that
// follows, and all engines would stop as early as it is long.
func TestOutageAfterBriefRecoveriesIsAccepted(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 3 {
		failCallsOfBoth(r, other, c, 4*time.Second)
		c.Step(100 * time.Millisecond)
		answerOne(r, other)
	}
	must.Zero(t, outageShortfall(t, r, other, c, 8*time.Second))
}

// Guards against the same where the call outstanding when the store recovers fails after that.
func TestOutageAfterOverlappingFailedCallIsAccepted(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	failCallsOfBoth(r, other, c, 4*time.Second)
	other.StoreCallStarted()
	c.Step(100 * time.Millisecond)
	answerOne(r, other)
	c.Step(800 * time.Millisecond)
	answerOne(r, other)
	c.Step(900 * time.Millisecond)
	other.StoreCallFailed()
	c.Step(200 * time.Millisecond)
	answerOne(r, other)
	must.Zero(t, outageShortfall(t, r, other, c, 8*time.Second))
}

// Guards against an outage that a process accepts for its own failed call, as a partitioned one reports that call
// back.
func TestProcessThatIsCutOffAloneReportsNoCallBack(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	reader, partitioned := newPair(c)
	for range 8 {
		failCalls(partitioned, c, 500*time.Millisecond)
		answerOne(reader, partitioned)
	}
	announced := c.Now()
	reader.StoreCallStarted()
	failCalls(partitioned, c, 1900*time.Millisecond)
	reader.StoreCallFailed()
	partitioned.StoreCallFailed()
	partitioned.Apply(reader.ChangesSince(1))
	reader.Apply(partitioned.ChangesSince(1))
	got := supersededAfterPause(t, reader, c, 200*time.Millisecond)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// Guards against an outage that is accepted for a single failed call, because another process is partitioned and
// calls the store too seldom to count as such.
func TestProcessThatCallsSeldomShowsNoOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	reader, partitioned := newPair(c)
	for range 4 {
		partitioned.StoreCallStarted()
		for range 4 {
			c.Step(450 * time.Millisecond)
			partitioned.Tick()
			answerOne(reader, partitioned)
		}
		partitioned.StoreCallFailed()
		for range 6 {
			c.Step(500 * time.Millisecond)
			partitioned.Tick()
			answerOne(reader, partitioned)
		}
	}
	partitioned.StoreCallStarted()
	answerOne(reader, partitioned)
	announced := c.Now()
	reader.StoreCallStarted()
	for range 19 {
		c.Step(100 * time.Millisecond)
		partitioned.Tick()
	}
	reader.StoreCallFailed()
	partitioned.StoreCallFailed()
	reader.Apply(partitioned.ChangesSince(1))
	got := supersededAfterPause(t, reader, c, 200*time.Millisecond)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// supersededAfterPause answers a call of a process with a new version after a pause, and returns the time since which
// the first one counts as superseded there.
func supersededAfterPause(t *testing.T, r *registrar.Registrar, c *clocktest.FakeClock, pause time.Duration) time.Time {
	t.Helper()
	c.Step(pause)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	at, ok := supersededAt(r, 1)
	must.True(t, ok)
	return at
}

// Guards against weights that count from the end of an outage, in which another process received an announcement that this
// one missed, as the store only had the next one when it answered.
func TestMissedAnnouncementRefutesAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	witness := newRegistrarAt(c)
	witness.Apply(r.ChangesSince(0))
	announced := c.Now()
	c.Step(100 * time.Millisecond)
	applyVersion2(witness)
	failCallsOfBoth(r, other, c, 5*time.Second)
	c.Step(200 * time.Millisecond)
	version3 := registrar.Batch{After: 1, At: 3, Records: []registrar.Record{record("weights/m", "3", 3)}}
	witness.Apply(version3)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	r.Apply(version3)
	must.True(t, r.NeedsAges())
	r.Apply(witness.ChangesSinceWithAges(3))
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}
