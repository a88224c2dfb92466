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

// weightsBound is how long after the announcement of a version a reply may start on older ones.
const weightsBound = 2 * time.Second

// entryWithStaleEngine makes an entry that has received a version newer than the one at its engine.
func entryWithStaleEngine(t *testing.T, answer func(int, string, net.Conn) bool) *testEntry {
	t.Helper()
	w := entryWithOldEngines(t, clock.RealClock{}, 1, answer, directAddress).resumable(false)
	announce(w.registrar, 2)
	return w
}

// Guards against requests that wait at an engine for longer than predicted and start on stale
// weights.
func TestRequestNotStartedInTimeIsGivenUp(t *testing.T) {
	closed := make(chan time.Duration, 1)
	announced := time.Now()
	w := entryWithStaleEngine(t, func(_ int, _ string, conn net.Conn) bool {
		_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
		// Read returns when the entry closes the connection.
		_, _ = conn.Read(make([]byte, 1))
		closed <- time.Since(announced)
		return false
	})
	w.request(t, "/draft/", "r1")
	must.Less(t, weightsBound+2*time.Second, <-closed, must.Sprint("the route's timeout of 6 s ended it"))
}

// Guards against replies that are cut because they continue after their weights have expired.
func TestStartedReplyContinuesPastTheBound(t *testing.T) {
	w := entryWithStaleEngine(t, func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(1)))
		time.Sleep(weightsBound)
		writeString(conn, chunked(event(2))+"0\r\n\r\n")
		return true
	})
	a := w.request(t, "/draft/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
}

// Guards against requests that are given up only after their weights have expired, or without need.
func TestTimeToStartEndsBeforeTheBound(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, _ := newPlacer(c, time.Hour, 1)
	p.WeightsBound = weightsBound
	timeToStart := func() (time.Duration, bool) {
		return p.TimeToStart(&relayer.Placement{Held: 1}, &relayer.Job{Request: relayer.Request{Model: "m"}})
	}
	_, bounded := timeToStart()
	must.False(t, bounded, must.Sprint("no newer version is announced"))
	announce(p.Registrar, 2)
	c.Step(time.Second)
	left, bounded := timeToStart()
	must.True(t, bounded)
	must.Less(t, weightsBound-time.Second, left)
	must.Greater(t, weightsBound-time.Second-scheduler.OldWeightsMargin, left)
}
