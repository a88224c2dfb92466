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

// An entry dies in the middle of a reply. Its caller comes back through another
// entry and wants the rest; the engine is busy with the stream all the while, so
// the place at the gate must not be given to somebody else.
func TestStreamIsHeldForItsCaller(t *testing.T) {
	w := startEngine(t, &imitator.Engine{})
	o := ask("one")
	o.MaxTokens = 3
	s, vanish := w.mustOpen(o)
	first := w.event(s)
	vanish()
	o.Attempt.Number, o.From = 2, 1
	s, _ = w.mustOpen(o)
	must.Eq(t, 1, w.running())
	second := w.event(s)
	must.Eq(t, 1, second.Index)
	must.NotEq(t, first.Token, second.Token)
	must.Eq(t, 2, w.token(s).Index)
	must.True(t, w.event(s).Done)
	w.until(func() bool { return w.running() == 0 })
	must.Eq(t, 0, w.counts("cancelled"))
}

// longHold makes a stream that is held for its caller outlast the test.
type longHold struct{ clock.RealClock }

func (c longHold) AfterFunc(d time.Duration, f func()) clock.Timer {
	if d > 0 {
		d += 2 * patience
	}
	return c.RealClock.AfterFunc(d, f)
}

// An entry says that the caller of a stream left, with its own connection cut or
// not. Held on, the stream would keep a place from the next caller.
func TestUnwantedStreamEndsAtOnce(t *testing.T) {
	w := startEngine(t, &imitator.Engine{}, func(w *world) { w.Clock = longHold{} })
	for n, vanishes := range []bool{false, true} {
		id := strconv.Itoa(n)
		s, vanish := w.mustOpen(ask(id))
		w.event(s)
		if vanishes {
			vanish()
		}
		must.Eq(t, 1, w.running())
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		must.NoError(t, w.client.Cancel(ctx, addressOf(w.Listener), id))
		w.until(func() bool { return w.running() == 0 })
		must.Eq(t, n+1, w.counts("cancelled"))
	}
}
