package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an outage that is believed in for a single failed call, because others are cut off from the
// store alone, which answers the rest.
func TestProcessThatIsCutOffAloneShowsNoOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	reader, cutOff := twoThatKnow(c)
	for range 8 {
		outOfReach(cutOff, c, 500*time.Millisecond)
		reader.StoreAsked()
		reader.StoreFound()
		reader.Apply(registrar.Batch{After: 1, At: 1})
		cutOff.Apply(reader.Since(1))
	}
	announced := c.Now()
	reader.StoreAsked()
	outOfReach(cutOff, c, 1900*time.Millisecond)
	reader.StoreLost()
	cutOff.StoreLost()
	reader.Apply(cutOff.Since(1))
	got := supersededAfter(t, reader, c, 200*time.Millisecond)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// Guards against an outage that nobody believes in after a brief return of the store, in which it answered one
// process between two failed calls of the other.
func TestOutageAfterABriefReturnOfTheStoreIsStillSeen(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	outOfReachOfAll(r, other, c, 4*time.Second)
	c.Step(100 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	r.Apply(registrar.Batch{After: 1, At: 1})
	other.Apply(r.Since(1))
	outOfReachOfAll(r, other, c, 4*time.Second)
	back := c.Now()
	must.Eq(t, back, supersededAfter(t, r, c, 300*time.Millisecond))
}

// Guards against a process that was cut off alone and counts as such for good: it may be the only one of its
// region that can report an outage.
func TestProcessThatWasCutOffAloneShowsALaterOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	for range 8 {
		outOfReach(other, c, 500*time.Millisecond)
		r.StoreAsked()
		r.StoreFound()
		r.Apply(registrar.Batch{After: 1, At: 1})
		other.Apply(r.Since(1))
	}
	for _, p := range []*registrar.Registrar{r, other} {
		p.StoreAsked()
		p.StoreFound()
		p.Apply(registrar.Batch{After: 1, At: 1})
	}
	outOfReachOfAll(r, other, c, 4*time.Second)
	back := c.Now()
	must.Eq(t, back, supersededAfter(t, r, c, 300*time.Millisecond))
}

// Guards against a process that calls the store in outages only, as it hears from others, and counts as cut off
// alone because these had the first answer after each.
func TestProcessThatCallsTheStoreInOutagesOnlyShowsThem(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	for range 3 {
		outOfReachOfAll(r, other, c, 4*time.Second)
		c.Step(300 * time.Millisecond)
		for range 10 {
			r.StoreAsked()
			r.StoreFound()
			r.Apply(registrar.Batch{After: 1, At: 1})
			other.Apply(r.Since(1))
			c.Step(400 * time.Millisecond)
		}
		r.StoreAsked()
		r.StoreFound()
		r.Apply(registrar.Batch{After: 1, At: 1})
		other.Apply(r.Since(1))
	}
	outOfReachOfAll(r, other, c, 4*time.Second)
	back := c.Now()
	must.Eq(t, back, supersededAfter(t, r, c, 300*time.Millisecond))
}

// Guards against an announcement that counts from the end of an outage in which the store answered a process that
// reached nobody of this region until later.
func TestLaterWordOfAnAnswerRefutesAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	witness := newRegistrarAt(c)
	witness.Apply(r.Since(0))
	announced := c.Now()
	c.Step(100 * time.Millisecond)
	watched(witness)
	outOfReachOfAll(r, other, c, 2*time.Second)
	c.Step(200 * time.Millisecond)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	r.Apply(witness.SinceWithAges(2))
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// answersOne has the store answer one process, of which another hears.
func answersOne(r, other *registrar.Registrar) {
	r.StoreAsked()
	r.StoreFound()
	r.Apply(registrar.Batch{After: 1, At: 1})
	other.Apply(r.Since(1))
}

// endsAnOutage has the store out of reach of both processes, and gives by how much an announcement at its end counts
// from before that.
func endsAnOutage(t *testing.T, r, other *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) (early time.Duration) {
	t.Helper()
	outOfReachOfAll(r, other, c, d)
	back := c.Now()
	return back.Sub(supersededAfter(t, r, c, 300*time.Millisecond))
}

// Guards against a store that returns briefly and answers one process only: the others would disbelieve the outage
// that follows, and all engines would stop as early as it is long.
func TestOutageBehindBriefReturnsIsBelieved(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	for range 3 {
		outOfReachOfAll(r, other, c, 4*time.Second)
		c.Step(100 * time.Millisecond)
		answersOne(r, other)
	}
	must.Zero(t, endsAnOutage(t, r, other, c, 8*time.Second))
}

// Guards against the same where the call that is under way at the return of a silent store fails after it.
func TestOutageBehindACallThatOutlivesTheOneBeforeIsBelieved(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := twoThatKnow(c)
	outOfReachOfAll(r, other, c, 4*time.Second)
	other.StoreAsked()
	c.Step(100 * time.Millisecond)
	answersOne(r, other)
	c.Step(800 * time.Millisecond)
	answersOne(r, other)
	c.Step(900 * time.Millisecond)
	other.StoreLost()
	c.Step(200 * time.Millisecond)
	answersOne(r, other)
	must.Zero(t, endsAnOutage(t, r, other, c, 8*time.Second))
}

// Guards against an outage that a process believes in for its own failed call, as one that is cut off alone reports
// that call back.
func TestProcessThatIsCutOffAloneReportsNoCallBack(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	reader, cutOff := twoThatKnow(c)
	for range 8 {
		outOfReach(cutOff, c, 500*time.Millisecond)
		answersOne(reader, cutOff)
	}
	announced := c.Now()
	reader.StoreAsked()
	outOfReach(cutOff, c, 1900*time.Millisecond)
	reader.StoreLost()
	cutOff.StoreLost()
	cutOff.Apply(reader.Since(1))
	reader.Apply(cutOff.Since(1))
	got := supersededAfter(t, reader, c, 200*time.Millisecond)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// Guards against an outage that is believed in for a single failed call, because another process is cut off alone and
// calls the store too seldom to count as that.
func TestProcessThatCallsSeldomShowsNoOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	reader, cutOff := twoThatKnow(c)
	for range 4 {
		cutOff.StoreAsked()
		for range 4 {
			c.Step(450 * time.Millisecond)
			cutOff.Tick()
			answersOne(reader, cutOff)
		}
		cutOff.StoreLost()
		for range 6 {
			c.Step(500 * time.Millisecond)
			cutOff.Tick()
			answersOne(reader, cutOff)
		}
	}
	cutOff.StoreAsked()
	answersOne(reader, cutOff)
	announced := c.Now()
	reader.StoreAsked()
	for range 19 {
		c.Step(100 * time.Millisecond)
		cutOff.Tick()
	}
	reader.StoreLost()
	cutOff.StoreLost()
	reader.Apply(cutOff.Since(1))
	got := supersededAfter(t, reader, c, 200*time.Millisecond)
	must.False(t, got.After(announced), must.Sprintf("%v after the announcement", got.Sub(announced)))
}

// supersededAfter has the store answer a process with a new version after a pause, and gives since when the first one
// counts as superseded there.
func supersededAfter(t *testing.T, r *registrar.Registrar, c *clocktest.FakeClock, pause time.Duration) time.Time {
	t.Helper()
	c.Step(pause)
	r.StoreAsked()
	r.StoreFound()
	watched(r)
	at, ok := superseded(r, 1)
	must.True(t, ok)
	return at
}
