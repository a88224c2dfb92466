package stager_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
)

// Guards against grants for an engine that has restarted since its agent last asked it: an entry that
// knows of the restart has the agent ask at once.
func TestAgentPollsItsEngineAtOnce(t *testing.T) {
	e := &engine{born: 1}
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	w := newWorldOn(t, c, e, time.Hour)
	sees := func(born int64) func() bool {
		return func() bool { b, _ := w.stager.EngineStart(); return b.Equal(time.UnixMilli(born)) }
	}
	eventually(t, sees(1))
	e.startAnew()
	w.stager.Poll()
	eventually(t, sees(2))
	c.Step(20 * time.Millisecond)
	_, ago := w.stager.EngineStart()
	must.Eq(t, 20*time.Millisecond, ago)
}

// Guards against an engine that has loaded its weights and takes no requests until its agent asks
// it the next time, 0.15 s after the last one.
func TestAgentPollsOftenWhenItsEngineShouldHaveLoaded(t *testing.T) {
	var looks atomic.Int64
	e := &engine{born: 1, loads: 300 * time.Millisecond}
	e.looking = func() { looks.Add(1) }
	newWorld(t, e, 8*time.Second)
	eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.orders == 1 })
	before := looks.Load()
	eventually(t, func() bool { return e.holds() == 1 })
	must.GreaterEq(t, 5, looks.Load()-before)
}
