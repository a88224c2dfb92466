package relayer_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// stallsBetweenEvents streams two events with a longer pause between them than allowed.
func stallsBetweenEvents(_ int, id string, conn net.Conn) bool {
	writeString(conn, streamHead(id)+chunked(event(1)))
	time.Sleep(relayer.EventGap + 300*time.Millisecond)
	writeString(conn, chunked(event(2))+"0\r\n\r\n")
	return true
}

// Guards against streams that are cut for a pause of their upstream, as on a full link, although no other
// upstream can resume them.
func TestStalledStreamIsNotCut(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "u1", stallsBetweenEvents))
	a := w.request(t, "/stream/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
}

// Guards against the same while no retry is left in the budget.
func TestStalledStreamIsNotCutWithoutARetryBudget(t *testing.T) {
	u1, u2 := newUpstream(t, "u1", stallsBetweenEvents), newUpstream(t, "u2", stallsBetweenEvents)
	w := newTestEntry(t, u1, u2)
	w.relayer.Budgets = &retrier.Budgets{New: func() *retrier.Budget {
		return &retrier.Budget{Clock: clock.RealClock{}, Share: 1e-9, Floor: 1e-9, Burst: 1e-9}
	}}
	a := w.request(t, "/stream/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
	must.Eq(t, 1, len(u1.received())+len(u2.received()))
}

// Guards against waiting for a stalled upstream while another one can resume the stream.
func TestStalledStreamIsResumedAtAnotherUpstream(t *testing.T) {
	var first firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if first.claim(name) {
				writeString(conn, streamHead(id)+chunked(event(1)))
				time.Sleep(stepTimeout)
				return true
			}
			writeString(conn, streamHead(id)+chunked(event(2))+"0\r\n\r\n")
			return true
		}
	}
	w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	start := time.Now()
	a := w.request(t, "/stream/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
	must.Less(t, stepTimeout/2, time.Since(start))
}

// Guards against an entry that was suspended itself, or took long to find a place, and takes its upstream, whose
// data arrived meanwhile, for a silent one.
func TestArrivedBytesAreNotSilence(t *testing.T) {
	for name, checks := range map[string]int{"at the deadline": 0, "after a check": 1} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			must.NoError(t, err)
			defer near.Close()
			far, err := l.Accept()
			must.NoError(t, err)
			defer far.Close()
			send := func() {
				_, err := far.Write([]byte("event"))
				must.NoError(t, err)
			}
			stalled := 0
			c := relayer.StallingConnection(near, func() bool {
				stalled++
				must.NoError(t, near.SetReadDeadline(time.Now().Add(relayer.StallRetry)))
				if stalled == checks {
					send()
					time.Sleep(2 * relayer.StallRetry)
				}
				return true
			})
			if checks == 0 {
				send()
			}
			must.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
			time.Sleep(200 * time.Millisecond)
			n, err := c.Read(make([]byte, 16))
			must.NoError(t, err)
			must.Eq(t, 5, n)
			must.Eq(t, checks, stalled)
		})
	}
}
