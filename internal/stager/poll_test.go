package stager_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
)

// Guards against grants for an engine that has restarted since its agent last polled it: an entry
// that detects the restart makes the agent poll at once.
func TestAgentPollsItsEngineAtOnce(t *testing.T) {
	e := &engine{startedAt: 1}
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	f := newFixtureWithClock(t, c, e, time.Hour)
	observed := func(born int64) func() bool {
		return func() bool { b, _ := f.stager.EngineStart(); return b.Equal(time.UnixMilli(born)) }
	}
	eventually(t, observed(1))
	e.restart()
	f.stager.Poll()
	eventually(t, observed(2))
	c.Step(20 * time.Millisecond)
	_, ago := f.stager.EngineStart()
	must.Eq(t, 20*time.Millisecond, ago)
}

// Guards against an engine that has loaded its weights and takes no requests until its agent polls
// it again, 0.15 s after the last time.
func TestAgentPollsOftenWhenItsEngineShouldHaveLoaded(t *testing.T) {
	var reports atomic.Int64
	e := &engine{startedAt: 1, loadTime: 300 * time.Millisecond}
	e.onReport = func() { reports.Add(1) }
	newFixture(t, e, 8*time.Second)
	eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.orders == 1 })
	before := reports.Load()
	eventually(t, func() bool { return e.holds() == 1 })
	must.GreaterEq(t, 5, reports.Load()-before)
}
