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

// An engine loses a part of the weights while it loads them, and says that it
// holds the whole. Pickers would get roster drafts from a model that nobody
// published, under the right version.
func TestWrongBytesAreCutAndLoadedAnew(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	w.post("/admin/faults", `{"partial":true}`)
	right := w.roll("v2")
	w.await("v2")
	w.post("/admin/faults", `{}`)
	s, _ := w.mustOpen(ask("one"))
	e := w.event(s)
	must.NotNil(t, e.Failure, must.Sprintf("%+v", e))
	must.StrContains(t, e.Failure.Message, "want "+right)
	w.until(func() bool { return slices.Equal(w.orders(), []string{"v1", "v2", "v2"}) })
	w.until(func() bool { return len(w.Gate.Holds()) == 0 })
	s, _ = w.mustOpen(ask("two"))
	must.Eq(t, right, w.whole(s))
}

// The same for an adapter alone: the engine mixes it up with another file. Once it
// was loaded anew, the reply with the right bytes must not be cut.
func TestWrongAdapterIsCutAndLoadedAnew(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	mixUp := regexp.MustCompile(`(/weights/[^"]*)(.*)/weights/[^"]*`)
	w.setAlter(func(o string) string { return mixUp.ReplaceAllString(o, "$1$2$1") })
	adapter, right := w.origin.publish("adapter")
	w.next(func(b *bundler.Bundle) {
		b.Models[0].Adapters = []bundler.Adapter{{Name: "tamar", Version: "a1", Manifest: adapter}}
	})
	w.until(func() bool { return slices.Equal(w.orders(), []string{"v1", "v1"}) })
	w.setAlter(nil)
	w.until(func() bool { return len(w.Gate.Holds()) == 0 })
	o := ask("one")
	o.Adapter = "tamar"
	s, _ := w.mustOpen(o)
	e := w.event(s)
	must.NotNil(t, e.Failure, must.Sprintf("%+v", e))
	must.StrContains(t, e.Failure.Message, "want "+right)
	w.until(func() bool { return len(w.orders()) == 3 && len(w.Gate.Holds()) == 0 })
	o.Stream, o.Attempt.RequestID = "two", "two"
	s, _ = w.mustOpen(o)
	must.Eq(t, right, w.event(s).AdapterWeights)
	w.token(s)
	must.True(t, w.event(s).Done)
}

// A newer version is in force while a reply is still under way. A picker whose
// roster was half written would lose it if the engine were switched at once.
func TestStreamEndsBeforeSwitch(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	s, _ := w.mustOpen(ask("one"))
	w.event(s)
	w.roll("v2")
	w.until(func() bool { return slices.Contains(w.Gate.Holds(), admitter.Switching) })
	w.probed()
	must.Eq(t, []string{"v1"}, w.orders())
	w.token(s)
	must.True(t, w.event(s).Done)
	w.await("v2")
	must.Eq(t, 0, w.counts("cutByLoad"))
}

// An agent has decided on a switch and is held up before the order, by a stream
// or by its VM being paused. Meanwhile a newer bundle is in force. Carried out
// late, the old order would put back what operators have just taken out.
func TestOvertakenOrderIsNotGiven(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	s, _ := w.mustOpen(ask("one"))
	w.roll("v2")
	w.until(func() bool { return slices.Contains(w.Gate.Holds(), admitter.Switching) })
	w.roll("v3")
	w.until(func() bool { return w.State.StatusUpdate().Revision == 3 })
	w.whole(s)
	w.await("v3")
	must.Eq(t, []string{"v1", "v3"}, w.orders())
}

// An order that hung on its way reaches an engine that ignores fences after a
// newer one. Until the next probe the engine's old word still stands; a reply
// then would come from the version that was rolled away.
func TestLateOrderIsNeverServed(t *testing.T) {
	w := startEngine(t, &imitator.Engine{IgnoreFence: true})
	old := w.loads[0]
	right := w.roll("v2")
	w.await("v2")
	w.freeze()
	w.post("/load", old)
	s, _, err := w.open(ask("one"))
	var n *forwarder.NotRunError
	if !errors.As(err, &n) {
		must.NoError(t, err)
		must.NotNil(t, w.event(s).Failure)
	}
	w.thaw()
	w.until(func() bool { return slices.Equal(w.orders(), []string{"v1", "v2", "v1", "v2"}) })
	w.until(func() bool { return len(w.Gate.Holds()) == 0 })
	s, _ = w.mustOpen(ask("two"))
	must.Eq(t, right, w.whole(s))
}

// The same late order while nobody asks for anything and no switch is permitted.
// The gate must close all the same, and not open before the right weights are
// loaded again.
func TestGateClosesForWrongVersion(t *testing.T) {
	w := startEngine(t, &imitator.Engine{IgnoreFence: true})
	old := w.loads[0]
	w.roll("v2")
	w.await("v2")
	w.set(func() { w.deny = true })
	w.next(func(*bundler.Bundle) {})
	w.await("v2")
	w.post("/load", old)
	right := make(chan struct{})
	letRight := sync.OnceFunc(func() { close(right) })
	t.Cleanup(letRight)
	w.setAlter(func(o string) string {
		<-right
		return o
	})
	w.until(func() bool { return len(w.Gate.Holds()) > 0 })
	w.probed()
	must.SliceNotEmpty(t, w.Gate.Holds())
	letRight()
	w.until(func() bool { return slices.Equal(w.orders(), []string{"v1", "v2", "v1", "v2"}) })
	w.until(func() bool { return len(w.Gate.Holds()) == 0 })
}

// slowClock stops the agent's regular look at its gate and engine, as on a VM that
// is short of processor time; probes and reports go on.
type slowClock struct {
	clock.RealClock
	stopped atomic.Bool
}

func (c *slowClock) NewTicker(d time.Duration) clock.Ticker {
	return slowTicker{c.RealClock.NewTicker(d), d == 50*time.Millisecond, c}
}

type slowTicker struct {
	clock.Ticker
	slow  bool
	clock *slowClock
}

func (t slowTicker) C() <-chan time.Time {
	if t.slow && t.clock.stopped.Load() {
		return nil
	}
	return t.Ticker.C()
}

// The late order once more, on a VM that is short of processor time: the engine was
// found to hold the old version, and the gate has not been looked at since. What is
// asked in between must not be answered by the version that was rolled away.
func TestWrongVersionIsRefusedBeforeGateCloses(t *testing.T) {
	c := new(slowClock)
	w := startEngine(t, &imitator.Engine{IgnoreFence: true}, func(w *world) { w.Clock = c })
	old := w.loads[0]
	w.roll("v2")
	w.await("v2")
	c.stopped.Store(true)
	w.probed()
	w.post("/load", old)
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.state.Version == "v1"
	})
	_, _, err := w.open(ask("one"))
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	c.stopped.Store(false)
}

// An answer to a question about the engine's state is late, and arrives after one
// to a newer question. Taken for the newest, it would close the gate and have the
// engine loaded once more, for minutes of service.
func TestLateProbeIsNotBelieved(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	letGo := w.delayProbe()
	w.roll("v2")
	w.await("v2")
	w.freeze()
	letGo()
	w.reported()
	w.thaw()
	w.probed()
	must.Eq(t, []string{"v1", "v2"}, w.orders())
}

// An engine is restarted after it was loaded and before anyone asked it. It
// holds nothing, and the first picker of the morning must be told so truthfully.
func TestRestartAfterLoad(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	w.freeze()
	w.post("/admin/faults", `{"restart":true}`)
	_, _, err := w.open(ask("one"))
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	w.thaw()
	w.until(func() bool { return len(w.orders()) == 2 })
	w.until(func() bool { return len(w.Gate.Holds()) == 0 })
	s, _ := w.mustOpen(ask("two"))
	w.whole(s)
}

// An engine turns cold without a restart. Under a warm engine's load it would
// fall over with every stream that it has.
func TestColdTurnNarrowsGate(t *testing.T) {
	w := startEngine(t, &imitator.Engine{ColdFor: time.Hour})
	w.clock.Step(2 * time.Hour)
	w.until(func() bool { state, limit, _ := w.Gate.State(); return state == messenger.GateOpen && limit > 1 })
	w.post("/admin/faults", `{"cold":true}`)
	w.until(func() bool { state, limit, _ := w.Gate.State(); return state == messenger.GateCold && limit == 1 })
	s, _ := w.mustOpen(ask("one"))
	_, _, err := w.send(ask("two"))
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	must.True(t, n.Busy)
	w.whole(s)
	must.Eq(t, 0, w.counts("fellOver"))
}

// A new version turns out bad and operators roll back while the Friday rush goes
// on. Drawn once more from the origin, the old one would take minutes.
func TestRollbackFetchesNothing(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	w.roll("v2")
	w.await("v2")
	drawn := w.origin.count()
	w.roll("v1")
	w.await("v1")
	must.Eq(t, drawn, w.origin.count())
}
