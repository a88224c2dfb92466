package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// middleRank is the rank of requests between the most and the least urgent ones.
const middleRank = 0.5

// sendRequests sends 100 less urgent requests per second beside urgent ones; with refuse the upstreams refuse a
// part of them.
func sendRequests(a *scheduler.Admission, c *clocktest.FakeClock, d time.Duration, rank float64, refuse bool) (admitted int) {
	for range d / (10 * time.Millisecond) {
		c.Step(10 * time.Millisecond)
		a.Admit("s", 0, c.Now())
		if !a.Admit("s", rank, c.Now()) {
			continue
		}
		admitted++
		if refuse && admitted%4 == 0 {
			a.RecordRefusal("s", c.Now())
		}
	}
	return admitted
}

// Guards against less urgent requests that fill the upstreams of a plain service during a shortage, and against
// a limit that outlasts it.
func TestAdmissionLimitsLessUrgentRequestsDuringShortage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	a := &scheduler.Admission{}
	must.Eq(t, 200, sendRequests(a, c, 2*time.Second, middleRank, false), must.Sprint("all are admitted without a shortage"))
	short := sendRequests(a, c, 4*time.Second, middleRank, true)
	must.Between(t, 20, short, 300)
	must.True(t, a.InShortage("s", c.Now()))
	must.False(t, a.InShortage("another", c.Now()))
	c.Step(time.Second)
	must.False(t, a.InShortage("s", c.Now()))
	must.Eq(t, 100, sendRequests(a, c, time.Second, 1, false))
}

// Guards against the least urgent requests using up the tokens of those of middle rank.
func TestAdmissionPrefersMoreUrgentRequests(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	a := &scheduler.Admission{}
	sendRequests(a, c, 2*time.Second, 1, false)
	a.RecordRefusal("s", c.Now())
	least, between := 0, 0
	for range 90 {
		c.Step(10 * time.Millisecond)
		a.Admit("s", 0, c.Now())
		if a.Admit("s", middleRank, c.Now()) {
			between++
		}
		if a.Admit("s", 1, c.Now()) {
			least++
		}
	}
	must.Greater(t, 5*max(1, least), between)
}

// Guards against treating the queue of a single upstream, or outdated loads, as a shortage of the service.
func TestShortageNeedsQueuesAtMostUpstreams(t *testing.T) {
	a, now := &scheduler.Admission{}, time.Unix(1000, 0)
	for i := range 60 {
		a.RecordLoad("s", 6, i%6/5, 6, now)
	}
	must.False(t, a.InShortage("s", now))
	for range 20 {
		a.RecordLoad("s", 6, 2, 6, now)
	}
	must.True(t, a.InShortage("s", now))
}
