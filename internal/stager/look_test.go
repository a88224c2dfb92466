package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
)

// Guards against grants for an engine that has restarted since its agent last looked: whoever knows of
// the restart has the agent look at once.
func TestAgentLooksAtItsEngineAtOnce(t *testing.T) {
	e := &engine{born: 1}
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	w := newWorldOn(t, c, e, time.Hour)
	sees := func(born int64) func() bool {
		return func() bool { b, _ := w.stager.Started(); return b.Equal(time.UnixMilli(born)) }
	}
	eventually(t, sees(1))
	e.startAnew()
	w.stager.Look()
	eventually(t, sees(2))
	c.Step(20 * time.Millisecond)
	_, ago := w.stager.Started()
	must.Eq(t, 20*time.Millisecond, ago)
}
