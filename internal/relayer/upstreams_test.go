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

// An upstream says at its health path that it is well, and fails every request. Requests
// must end up at the others, and after a few it must get next to nothing, whatever it says
// of itself.
func TestUpstreamThatOnlyCallsItselfWellIsLeft(t *testing.T) {
	const asked = 200
	for name, fail := range map[string]func(int, string, net.Conn) bool{
		"errors": func(_ int, id string, conn net.Conn) bool {
			say(conn, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSeal: x\r\nContent-Length: 0\r\n\r\n", id))
			return true
		},
		"unsealed": func(_ int, _ string, conn net.Conn) bool {
			say(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"resets": resets,
	} {
		t.Run(name, func(t *testing.T) {
			liar := newUpstream(t, "a", fail)
			w := newWorld(t, liar, newUpstream(t, "b", serves), newUpstream(t, "c", serves))
			for i := range asked {
				must.Eq(t, http.StatusOK, w.ask(t, "/safe/1", fmt.Sprint("r", i)).status)
			}
			must.LessEq(t, asked/20, len(liar.came()))
		})
	}
}

// An upstream says at its health path that it is ill, and serves. Nobody asks it there: a
// question would cost a place, and its answer be believed against what requests show.
func TestUpstreamThatCallsItselfIllIsUsed(t *testing.T) {
	a, b := newUpstream(t, "a", serves), newUpstream(t, "b", serves)
	w := newWorld(t, a, b)
	for i := range 40 {
		must.Eq(t, http.StatusOK, w.ask(t, "/safe/1", fmt.Sprint("r", i)).status)
	}
	must.Eq(t, 40, len(a.came())+len(b.came()))
	for _, id := range append(a.came(), b.came()...) {
		must.True(t, strings.HasPrefix(id, "r"), must.Sprint("only what callers sent arrives"))
	}
	must.Positive(t, len(a.came()))
	must.Positive(t, len(b.came()))
}

// An upstream goes down and up by turns. While it is down nobody notices but by a retry, and
// once it has been up for as long as it may be passed over at the most, it serves again when
// the other has more to do than it can: a pool whose members flap would otherwise shrink to
// nothing.
func TestUpstreamThatFlapsIsUsedAgain(t *testing.T) {
	const (
		// passedOver is the longest time for which a dead upstream is passed over.
		passedOver = 4 * time.Second
		together   = 12
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
	w := newWorld(t, a, b)
	c := clocktest.NewFakeClock(time.Now())
	w.relayer.Chooser.Clock = c
	free := make(chan struct{})
	close(free)
	busy <- free
	for turn := range 4 {
		down.Store(true)
		for i := range 10 {
			must.Eq(t, http.StatusOK, w.ask(t, "/safe/1", fmt.Sprintf("down %d %d", turn, i)).status)
			c.Step(100 * time.Millisecond)
		}
		down.Store(false)
		c.Step(passedOver)
		before, held := len(a.came()), make(chan struct{})
		<-busy
		busy <- held
		var done sync.WaitGroup
		for i := range together {
			done.Go(func() { w.ask(t, "/safe/1", fmt.Sprintf("up %d %d", turn, i)) })
		}
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(a.came()) > before }),
			wait.Timeout(patience/2), wait.Gap(time.Millisecond)))
		close(held)
		done.Wait()
		<-busy
		busy <- free
	}
}

// One upstream of three turns so slow that it ends nothing. It may hold what it took, but no
// more than it has slots for, and the others must carry the callers that go on.
func TestSlowUpstreamHoldsNoMoreThanItsSlots(t *testing.T) {
	const slots, callers, asked = 6, 12, 120
	release := make(chan struct{})
	slow := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		<-release
		return serves(n, id, conn)
	})
	b, c := newUpstream(t, "b", serves), newUpstream(t, "c", serves)
	w := newWorld(t, slow, b, c)
	var next, ok atomic.Int64
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for n := next.Add(1); n <= asked; n = next.Add(1) {
				if w.ask(t, "/once/1", fmt.Sprint("r", n)).status == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(b.came())+len(c.came()) >= asked-slots }),
		wait.Timeout(patience/2), wait.Gap(time.Millisecond)))
	must.LessEq(t, slots, len(slow.came()))
	close(release)
	done.Wait()
	must.Eq(t, asked, ok.Load())
}

// An upstream closes connections that rest, at once or only when the next request comes on
// them. A caller must not notice, and what may run only once must not be sent where it could
// meet such a connection.
func TestConnectionsThatRestAndAreGone(t *testing.T) {
	const asked = 40
	closes := func(_ int, id string, conn net.Conn) bool {
		say(conn, sealed(id, "done"))
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
				w := newWorld(t, a, b)
				for i := range asked {
					must.Eq(t, http.StatusOK, w.ask(t, path, fmt.Sprint("r", i)).status)
				}
				if path == "/once/1" {
					must.Eq(t, asked, len(a.came())+len(b.came()))
				}
			})
		}
	}
}
