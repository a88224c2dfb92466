package agent_test

import (
	"errors"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// Guards against replies from a model that nobody published, under the right version:
// the engine loses a part of the weights while it loads them, and reports the whole.
func TestReplyFromWrongWeightsIsCutAndWeightsReloaded(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	env.postUpstream("/admin/faults", `{"partial":true}`)
	right := env.rollOut("v2")
	env.waitForVersion("v2")
	env.postUpstream("/admin/faults", `{}`)
	s, _ := env.mustOpenStream(newOrder("one"))
	e := env.nextEvent(s)
	must.NotNil(t, e.Failure, must.Sprintf("%+v", e))
	must.StrContains(t, e.Failure.Message, "want "+right)
	env.waitUntil(func() bool { return slices.Equal(env.loadedVersions(), []string{"v1", "v2", "v2"}) })
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
	s, _ = env.mustOpenStream(newOrder("two"))
	must.Eq(t, right, env.readAll(s))
}

// The same for an adapter alone, which the engine loads from another file. After the
// reload, a reply with the right bytes must not be cut.
func TestReplyFromWrongAdapterIsCutAndAdapterReloaded(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	swapURL := regexp.MustCompile(`(/weights/[^"]*)(.*)/weights/[^"]*`)
	env.setAlterLoad(func(o string) string { return swapURL.ReplaceAllString(o, "$1$2$1") })
	adapter, right := env.origin.publish("adapter")
	env.putBundle(func(b *bundler.Bundle) {
		b.Models[0].Adapters = []bundler.Adapter{{Name: "tamar", Version: "a1", Manifest: adapter}}
	})
	env.waitUntil(func() bool { return slices.Equal(env.loadedVersions(), []string{"v1", "v1"}) })
	env.setAlterLoad(nil)
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
	o := newOrder("one")
	o.Adapter = "tamar"
	s, _ := env.mustOpenStream(o)
	e := env.nextEvent(s)
	must.NotNil(t, e.Failure, must.Sprintf("%+v", e))
	must.StrContains(t, e.Failure.Message, "want "+right)
	env.waitUntil(func() bool { return len(env.loadedVersions()) == 3 && len(env.Gate.Holds()) == 0 })
	o.Stream, o.Attempt.RequestID = "two", "two"
	s, _ = env.mustOpenStream(o)
	must.Eq(t, right, env.nextEvent(s).AdapterWeights)
	env.nextToken(s)
	must.True(t, env.nextEvent(s).Done)
}

// Guards against a reply that is cut because the engine switches to a newer version
// while the reply is in flight.
func TestStreamEndsBeforeSwitch(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	s, _ := env.mustOpenStream(newOrder("one"))
	env.nextEvent(s)
	env.rollOut("v2")
	env.waitUntil(func() bool { return slices.Contains(env.Gate.Holds(), admitter.Switching) })
	env.waitForProbes()
	must.Eq(t, []string{"v1"}, env.loadedVersions())
	env.nextToken(s)
	must.True(t, env.nextEvent(s).Done)
	env.waitForVersion("v2")
	must.Eq(t, 0, env.upstreamCount("cutByLoad"))
}

// Guards against a late load order: an agent is held up before the order, by a stream
// or by its VM being paused, while a newer bundle comes into force. The order would
// restore the version that operators have just replaced.
func TestSupersededLoadOrderIsNotSent(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	s, _ := env.mustOpenStream(newOrder("one"))
	env.rollOut("v2")
	env.waitUntil(func() bool { return slices.Contains(env.Gate.Holds(), admitter.Switching) })
	env.rollOut("v3")
	env.waitUntil(func() bool { return env.State.StatusUpdate().Revision == 3 })
	env.readAll(s)
	env.waitForVersion("v3")
	must.Eq(t, []string{"v1", "v3"}, env.loadedVersions())
}

// Guards against replies from replaced weights: a delayed load order reaches an engine
// that ignores fences after a newer one, and until the next probe the engine counts
// as holding the newer version.
func TestWeightsOfLateLoadOrderAreNeverServed(t *testing.T) {
	env := startEngine(t, &imitator.Engine{IgnoreFence: true})
	oldOrder := env.loadBodies[0]
	right := env.rollOut("v2")
	env.waitForVersion("v2")
	env.suspendProbes()
	env.postUpstream("/load", oldOrder)
	s, _, err := env.openStream(newOrder("one"))
	var n *forwarder.NotRunError
	if !errors.As(err, &n) {
		must.NoError(t, err)
		must.NotNil(t, env.nextEvent(s).Failure)
	}
	env.resumeProbes()
	env.waitUntil(func() bool { return slices.Equal(env.loadedVersions(), []string{"v1", "v2", "v1", "v2"}) })
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
	s, _ = env.mustOpenStream(newOrder("two"))
	must.Eq(t, right, env.readAll(s))
}

// The same late order while nothing is requested and no switch is permitted. The gate
// must close all the same, and not open before the right weights are loaded again.
func TestGateClosesForWrongVersion(t *testing.T) {
	env := startEngine(t, &imitator.Engine{IgnoreFence: true})
	oldOrder := env.loadBodies[0]
	env.rollOut("v2")
	env.waitForVersion("v2")
	env.withLock(func() { env.denySwitch = true })
	env.putBundle(func(*bundler.Bundle) {})
	env.waitForVersion("v2")
	env.postUpstream("/load", oldOrder)
	proceed := make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(release)
	env.setAlterLoad(func(o string) string {
		<-proceed
		return o
	})
	env.waitUntil(func() bool { return len(env.Gate.Holds()) > 0 })
	env.waitForProbes()
	must.SliceNotEmpty(t, env.Gate.Holds())
	release()
	env.waitUntil(func() bool { return slices.Equal(env.loadedVersions(), []string{"v1", "v2", "v1", "v2"}) })
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
}

// pausableClock stops the agent's regular checks of its gate and engine, as on a VM
// that is short of processor time; probes and reports go on.
type pausableClock struct {
	clock.RealClock
	paused atomic.Bool
}

func (c *pausableClock) NewTicker(d time.Duration) clock.Ticker {
	return pausableTicker{c.RealClock.NewTicker(d), d == 50*time.Millisecond, c}
}

type pausableTicker struct {
	clock.Ticker
	pausable bool
	clock    *pausableClock
}

func (t pausableTicker) C() <-chan time.Time {
	if t.pausable && t.clock.paused.Load() {
		return nil
	}
	return t.Ticker.C()
}

// The same late order on a VM that is short of processor time: a probe has found the
// old version, and the gate has not been updated since. Requests in between must not
// be answered by the old version.
func TestWrongVersionIsRefusedBeforeGateCloses(t *testing.T) {
	c := new(pausableClock)
	env := startEngine(t, &imitator.Engine{IgnoreFence: true}, func(env *testEnv) { env.Clock = c })
	oldOrder := env.loadBodies[0]
	env.rollOut("v2")
	env.waitForVersion("v2")
	c.paused.Store(true)
	env.waitForProbes()
	env.postUpstream("/load", oldOrder)
	env.waitUntil(func() bool {
		env.mu.Lock()
		defer env.mu.Unlock()
		return env.state.Version == "v1"
	})
	_, _, err := env.openStream(newOrder("one"))
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	c.paused.Store(false)
}

// Guards against a late answer to a probe that counts as newer than the answer to a
// later probe. It would close the gate and reload the engine, for minutes of service.
func TestLateProbeCausesNoReload(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	release := env.delayProbe()
	env.rollOut("v2")
	env.waitForVersion("v2")
	env.suspendProbes()
	release()
	env.waitForReports()
	env.resumeProbes()
	env.waitForProbes()
	must.Eq(t, []string{"v1", "v2"}, env.loadedVersions())
}

// Guards against a false answer when an engine restarts after its load and before the
// next probe: it holds nothing, so the request must be refused as not run.
func TestRestartAfterLoadIsDetected(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	env.suspendProbes()
	env.postUpstream("/admin/faults", `{"restart":true}`)
	_, _, err := env.openStream(newOrder("one"))
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	env.resumeProbes()
	env.waitUntil(func() bool { return len(env.loadedVersions()) == 2 })
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
	s, _ := env.mustOpenStream(newOrder("two"))
	env.readAll(s)
}

// Guards against an engine that turns cold without a restart and falls over, with all
// its streams, under a warm engine's load.
func TestGateNarrowsWhenEngineTurnsCold(t *testing.T) {
	env := startEngine(t, &imitator.Engine{ColdFor: time.Hour})
	env.clock.Step(2 * time.Hour)
	env.waitUntil(func() bool { state, limit, _ := env.Gate.State(); return state == messenger.GateOpen && limit > 1 })
	env.postUpstream("/admin/faults", `{"cold":true}`)
	env.waitUntil(func() bool { state, limit, _ := env.Gate.State(); return state == messenger.GateCold && limit == 1 })
	s, _ := env.mustOpenStream(newOrder("one"))
	_, _, err := env.sendOrder(newOrder("two"))
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	must.True(t, n.Busy)
	env.readAll(s)
	must.Eq(t, 0, env.upstreamCount("fellOver"))
}

// Guards against a rollback under load that fetches the old version from the origin
// again, which would take minutes.
func TestRollbackFetchesNothing(t *testing.T) {
	env := startEngine(t, &imitator.Engine{})
	env.rollOut("v2")
	env.waitForVersion("v2")
	fetches := env.origin.fetchCount()
	env.rollOut("v1")
	env.waitForVersion("v1")
	must.Eq(t, fetches, env.origin.fetchCount())
}
