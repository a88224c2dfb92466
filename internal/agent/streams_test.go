package agent_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// Guards against a stream whose slot at the gate is given away when its entry dies:
// the engine stays busy with it, and the caller resumes it through another entry.
func TestStreamIsHeldForItsCaller(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	o := newOrder("one")
	o.MaxTokens = 3
	s, vanish := env.mustOpenStream(o)
	first := env.nextEvent(s)
	vanish()
	o.Attempt.Number, o.From = 2, 1
	s, _ = env.mustOpenStream(o)
	must.Eq(t, 1, env.runningCount())
	second := env.nextEvent(s)
	must.Eq(t, 1, second.Index)
	must.NotEq(t, first.Token, second.Token)
	must.Eq(t, 2, env.nextToken(s).Index)
	must.True(t, env.nextEvent(s).Done)
	env.waitUntil(func() bool { return env.runningCount() == 0 })
	must.Eq(t, 0, env.upstreamCount("cancelled"))
}

// longHoldClock makes a stream that is held for its caller outlast the test.
type longHoldClock struct{ clock.RealClock }

func (c longHoldClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	if d > 0 {
		d += 2 * waitTimeout
	}
	return c.RealClock.AfterFunc(d, f)
}

// Guards against a stream that keeps its slot after its caller left, whether or not
// the entry's connection is cut as well.
func TestStreamEndsWhenCallerLeaves(t *testing.T) {
	env := startEngine(t, &imitator.Engine{}, func(env *testEnv) { env.Clock = longHoldClock{} })
	for n, vanishes := range []bool{false, true} {
		id := strconv.Itoa(n)
		s, vanish := env.mustOpenStream(newOrder(id))
		env.nextEvent(s)
		if vanishes {
			vanish()
		}
		must.Eq(t, 1, env.runningCount())
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		must.NoError(t, env.client.Cancel(ctx, addressOf(env.Listener), id))
		env.waitUntil(func() bool { return env.runningCount() == 0 })
		must.Eq(t, n+1, env.upstreamCount("cancelled"))
	}
}
