package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// failedRound has the calls of some processes fail, and then has all receive the others' updates.
func failedRound(c *clocktest.FakeClock, rs, calling []*registrar.Registrar) {
	c.Step(500 * time.Millisecond)
	for _, r := range rs {
		r.Tick()
	}
	for _, r := range calling {
		r.StoreCallStarted()
		r.StoreCallFailed()
	}
	for _, r := range rs {
		for _, other := range rs {
			if other != r {
				r.Apply(other.ChangesSince(1))
			}
		}
	}
}

// Guards against an engine that stops at once in an outage of the store, as its agent didn't call the store for a few
// seconds: what it observed until then still holds.
func TestGapBetweenCallsEndsNoObservedOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	rs := newRegionRegistrars(c)
	for range 40 {
		failedRound(c, rs, rs)
	}
	before, _ := rs[0].SupersededSince("m", 1)
	for range 6 {
		failedRound(c, rs, rs[1:])
	}
	for range 10 {
		failedRound(c, rs, rs)
		at, _ := rs[0].SupersededSince("m", 1)
		must.False(t, at.Before(before), must.Sprintf("%v earlier than before", before.Sub(at)))
	}
}

// Guards against an outage that covers a gap in the calls of all processes, in which the store may have answered.
func TestGapBetweenCallsOfAllIsNotCovered(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	rs := newRegionRegistrars(c)
	for range 8 {
		failedRound(c, rs, rs)
	}
	gapStart := c.Now()
	for range 8 {
		failedRound(c, rs, nil)
	}
	for range 20 {
		failedRound(c, rs, rs)
		for _, r := range rs {
			at, _ := r.SupersededSince("m", 1)
			must.False(t, at.After(gapStart), must.Sprintf("%v after the gap's start", at.Sub(gapStart)))
		}
	}
}
