package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	clocktest "k8s.io/utils/clock/testing"
)

// Guards against trusting a health path: an upstream reports there that it is healthy, and fails every request.
// Requests must end up at the others, and after a few it must get next to none.
func TestFailingUpstreamIsSkippedDespiteItsHealthPath(t *testing.T) {
	const requestCount = 200
	for name, fail := range map[string]func(int, string, net.Conn) bool{
		"errors": func(_ int, id string, conn net.Conn) bool {
			writeString(conn, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSeal: x\r\nContent-Length: 0\r\n\r\n", id))
			return true
		},
		"unsealed": func(_ int, _ string, conn net.Conn) bool {
			writeString(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"resets": resets,
	} {
		t.Run(name, func(t *testing.T) {
			failing := newUpstream(t, "a", fail)
			w := newTestEntry(t, failing, newUpstream(t, "b", serves), newUpstream(t, "c", serves))
			for i := range requestCount {
				must.Eq(t, http.StatusOK, w.request(t, "/safe/1", fmt.Sprint("r", i)).status)
			}
			must.LessEq(t, requestCount/20, len(failing.received()))
		})
	}
}

// Guards against not using an upstream that works but reports at its health path that it is unhealthy. The path
// isn't polled: that would take a slot, and override what requests show.
func TestWorkingUpstreamIsUsedDespiteItsHealthPath(t *testing.T) {
	a, b := newUpstream(t, "a", serves), newUpstream(t, "b", serves)
	w := newTestEntry(t, a, b)
	for i := range 40 {
		must.Eq(t, http.StatusOK, w.request(t, "/safe/1", fmt.Sprint("r", i)).status)
	}
	must.Eq(t, 40, len(a.received())+len(b.received()))
	for _, id := range append(a.received(), b.received()...) {
		must.True(t, strings.HasPrefix(id, "r"), must.Sprint("only requests of callers may arrive"))
	}
	must.Positive(t, len(a.received()))
	must.Positive(t, len(b.received()))
}

// Guards against a pool of flapping upstreams that shrinks to nothing. While an upstream is down, callers only
// cause retries; once it has been up for the longest time for which it may be skipped, it serves again when the
// other is overloaded.
func TestFlappingUpstreamIsUsedAgain(t *testing.T) {
	const (
		// maxSkipTime is the longest time for which a dead upstream is skipped.
		maxSkipTime = 4 * time.Second
		together    = 12
	)
	var down atomic.Bool
	busy := make(chan chan struct{}, 1)
	a := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool { return !down.Load() && serves(n, id, conn) })
	b := newUpstream(t, "b", func(n int, id string, conn net.Conn) bool {
		held := <-busy
		busy <- held
		<-held
		return serves(n, id, conn)
	})
	w := newTestEntry(t, a, b)
	c := clocktest.NewFakeClock(time.Now())
	w.relayer.Chooser.Clock = c
	free := make(chan struct{})
	close(free)
	busy <- free
	for turn := range 4 {
		down.Store(true)
		for i := range 10 {
			must.Eq(t, http.StatusOK, w.request(t, "/safe/1", fmt.Sprintf("down %d %d", turn, i)).status)
			c.Step(100 * time.Millisecond)
		}
		down.Store(false)
		c.Step(maxSkipTime)
		before, held := len(a.received()), make(chan struct{})
		<-busy
		busy <- held
		var done sync.WaitGroup
		for i := range together {
			done.Go(func() { w.request(t, "/safe/1", fmt.Sprintf("up %d %d", turn, i)) })
		}
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(a.received()) > before }),
			wait.Timeout(stepTimeout/2), wait.Gap(time.Millisecond)))
		close(held)
		done.Wait()
		<-busy
		busy <- free
	}
}

// Guards against losing callers to one upstream of three that gets so slow that it ends nothing. It may hold no
// more requests than it has slots for, and the others must serve the rest.
func TestSlowUpstreamHoldsNoMoreThanItsSlots(t *testing.T) {
	const slots, callers, requestCount = 6, 12, 120
	release := make(chan struct{})
	slow := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		<-release
		return serves(n, id, conn)
	})
	b, c := newUpstream(t, "b", serves), newUpstream(t, "c", serves)
	w := newTestEntry(t, slow, b, c)
	var next, ok atomic.Int64
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for n := next.Add(1); n <= requestCount; n = next.Add(1) {
				if w.request(t, "/once/1", fmt.Sprint("r", n)).status == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(b.received())+len(c.received()) >= requestCount-slots }),
		wait.Timeout(stepTimeout/2), wait.Gap(time.Millisecond)))
	must.LessEq(t, slots, len(slow.received()))
	close(release)
	done.Wait()
	must.Eq(t, requestCount, ok.Load())
}

// Guards against errors from upstreams that close idle connections, at once or only when the next request
// arrives on them. Callers must not notice, and what may run only once must not be sent on such a connection.
func TestClosedIdleConnectionsCauseNoErrors(t *testing.T) {
	const requestCount = 40
	closes := func(_ int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, "done"))
		_ = conn.Close()
		return true
	}
	var mu sync.Mutex
	used := map[net.Conn]bool{}
	resetsNext := func(n int, id string, conn net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		if used[conn] {
			return false
		}
		used[conn] = true
		return serves(n, id, conn)
	}
	for name, answer := range map[string]func(int, string, net.Conn) bool{"closed": closes, "reset": resetsNext} {
		for _, path := range []string{"/safe/1", "/once/1"} {
			t.Run(name+path, func(t *testing.T) {
				a, b := newUpstream(t, "a", answer), newUpstream(t, "b", answer)
				w := newTestEntry(t, a, b)
				for i := range requestCount {
					must.Eq(t, http.StatusOK, w.request(t, path, fmt.Sprint("r", i)).status)
				}
				if path == "/once/1" {
					must.Eq(t, requestCount, len(a.received())+len(b.received()))
				}
			})
		}
	}
}
