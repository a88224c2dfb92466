package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// middle is the rank of requests between the most and the least urgent ones.
const middle = 0.5

// offer has less urgent requests come at 100 a second beside urgent ones; a part of them is refused by the
// upstreams.
func offer(a *scheduler.Admission, c *clocktest.FakeClock, d time.Duration, rank float64, refuse bool) (admitted int) {
	for range d / (10 * time.Millisecond) {
		c.Step(10 * time.Millisecond)
		a.Admit("s", 0, c.Now())
		if !a.Admit("s", rank, c.Now()) {
			continue
		}
		admitted++
		if refuse && admitted%4 == 0 {
			a.Refused("s", c.Now())
		}
	}
	return admitted
}

// Guards against less urgent requests that fill the upstreams of a plain service during a shortage, and against a
// rate that outlives it.
func TestLessUrgentRequestsAreAdmittedAtALearnedRate(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	a := &scheduler.Admission{}
	must.Eq(t, 200, offer(a, c, 2*time.Second, middle, false), must.Sprint("all while nothing is short"))
	short := offer(a, c, 4*time.Second, middle, true)
	must.Between(t, 20, short, 300)
	must.True(t, a.Short("s", c.Now()))
	must.False(t, a.Short("another", c.Now()))
	c.Step(time.Second)
	must.False(t, a.Short("s", c.Now()))
	must.Eq(t, 100, offer(a, c, time.Second, 1, false))
}

// Guards against the least urgent requests that take the tokens of those between them and the most urgent.
func TestLeastUrgentRequestsLeaveTokensToOthers(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	a := &scheduler.Admission{}
	offer(a, c, 2*time.Second, 1, false)
	a.Refused("s", c.Now())
	least, between := 0, 0
	for range 90 {
		c.Step(10 * time.Millisecond)
		a.Admit("s", 0, c.Now())
		if a.Admit("s", middle, c.Now()) {
			between++
		}
		if a.Admit("s", 1, c.Now()) {
			least++
		}
	}
	must.Greater(t, 5*max(1, least), between)
}

// Guards against a single upstream that queues, or old loads, which are taken for a shortage of the service.
func TestQueuesAtMostUpstreamsAreAShortage(t *testing.T) {
	a, now := &scheduler.Admission{}, time.Unix(1000, 0)
	for i := range 60 {
		a.Replied("s", 6, i%6/5, 6, now)
	}
	must.False(t, a.Short("s", now))
	for range 20 {
		a.Replied("s", 6, 2, 6, now)
	}
	must.True(t, a.Short("s", now))
}
