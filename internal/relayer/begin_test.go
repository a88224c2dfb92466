package relayer_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// weightsBound is how long after the announcement of a version older ones may begin a reply.
const weightsBound = 2 * time.Second

// staleEngine makes an entry that knows of a version newer than the one that its engine holds.
func staleEngine(t *testing.T, answer func(int, string, net.Conn) bool) *testEntry {
	t.Helper()
	w := oldEngines(t, clock.RealClock{}, 1, answer, direct).resumable(false)
	name(w.registrar, 2)
	return w
}

// Guards against requests that wait at an engine for longer than predicted and begin on stale
// weights.
func TestRequestThatHasNotBegunIsGivenUp(t *testing.T) {
	closed := make(chan time.Duration, 1)
	named := time.Now()
	w := staleEngine(t, func(_ int, _ string, conn net.Conn) bool {
		_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
		// It ends when the entry closes the connection.
		_, _ = conn.Read(make([]byte, 1))
		closed <- time.Since(named)
		return false
	})
	w.request(t, "/draft/", "r1")
	must.Less(t, weightsBound+2*time.Second, <-closed, must.Sprint("the route's timeout of 6 s ended it"))
}

// Guards against replies that are cut because they go on beyond the time of their weights.
func TestReplyThatHasBegunGoesOn(t *testing.T) {
	w := staleEngine(t, func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(1)))
		time.Sleep(weightsBound)
		writeString(conn, chunked(event(2))+"0\r\n\r\n")
		return true
	})
	a := w.request(t, "/draft/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
}

// Guards against a request that is given up only after its weights' time, or without need.
func TestTimeToBeginEndsBeforeTheBound(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, _ := newPlacer(c, time.Hour, 1)
	p.WeightsBound = weightsBound
	within := func() (time.Duration, bool) {
		return p.BeginWithin(&relayer.Place{Held: 1}, &relayer.Job{Request: relayer.Request{Model: "m"}})
	}
	_, bounded := within()
	must.False(t, bounded, must.Sprint("while no newer version is known"))
	name(p.Registrar, 2)
	c.Step(time.Second)
	left, bounded := within()
	must.True(t, bounded)
	must.Less(t, weightsBound-time.Second, left)
	must.Greater(t, weightsBound-time.Second-scheduler.OldWeightsMargin, left)
}
