package relayer_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
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
	timeToStart := func(beginBy time.Time) (time.Duration, bool) {
		return p.TimeToStart(&relayer.Placement{Held: 1, BeginBy: beginBy}, &relayer.Job{Request: relayer.Request{Model: "m"}})
	}
	mustCountFrom := func(start time.Time) {
		t.Helper()
		left, bounded := timeToStart(time.Time{})
		must.True(t, bounded)
		age := c.Since(start)
		must.Less(t, weightsBound-age, left)
		must.Greater(t, weightsBound-age-scheduler.OldWeightsMargin, left)
	}
	confirmed := c.Now()
	c.Step(time.Second)
	mustCountFrom(confirmed)
	p.Registrar.Apply(registrar.Batch{After: 10, At: 10})
	mustCountFrom(c.Now())
	left, bounded := timeToStart(c.Now().Add(2 * weightsBound))
	must.True(t, bounded)
	must.Greater(t, weightsBound, left, must.Sprint("no newer version is announced, and the agent states a later end"))
	announce(p.Registrar, 2)
	announced := c.Now()
	c.Step(time.Second)
	mustCountFrom(announced)
}

// Guards against requests that start on stale weights because their entry infers an outage of the store, although the
// agent, which the store answers, states less time.
func TestInferredOutageExtendsNoTimeStatedByTheAgent(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, _ := newPlacer(c, time.Hour, 1)
	other := &registrar.Registrar{Clock: c, Decode: p.Registrar.Decode}
	other.Apply(p.Registrar.ChangesSince(0))
	timeToStart := func(stated time.Duration) time.Duration {
		place := &relayer.Placement{Held: 1, BeginBy: c.Now().Add(stated)}
		left, bounded := p.TimeToStart(place, &relayer.Job{Request: relayer.Request{Model: "m"}})
		must.True(t, bounded)
		return left
	}
	const stated = 300 * time.Millisecond
	c.Step(time.Second)
	must.Greater(t, stated, timeToStart(stated), must.Sprint("the store's confirmation allows more"))
	for range 14 {
		c.Step(500 * time.Millisecond)
		p.Registrar.StoreCallFailed()
		other.StoreCallFailed()
		p.Registrar.Apply(other.ChangesSince(10))
	}
	must.Less(t, p.WeightsBound/2, p.Registrar.ConfirmedAge(), must.Sprint("no outage is inferred"))
	must.LessEq(t, stated, timeToStart(stated))
}
