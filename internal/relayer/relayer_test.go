package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

func serves(_ int, id string, conn net.Conn) bool {
	say(conn, sealed(id, "done"))
	return true
}

// resets takes the request and resets the connection.
func resets(int, string, net.Conn) bool { return false }

// refuses says that it did not run the request.
func refuses(_ int, id string, conn net.Conn) bool {
	say(conn, "HTTP/1.1 503 Service Unavailable\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// A booking reaches its upstream, which makes it, and the answer is lost on the way.
// Sent once more, the same shed would get two pickers. The caller learns that nobody
// knows.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	a, b := newUpstream(t, "a", resets), newUpstream(t, "b", resets)
	w := newWorld(t, a, b)
	got := w.ask(t, "/once/1", "r1")
	must.Eq(t, http.StatusBadGateway, got.status)
	must.Eq(t, "", got.header.Get("Retry-After"), must.Sprint("no promise that it did not run"))
	must.Len(t, 1, append(a.came(), b.came()...))
}

// The same failure with a question that may be asked twice: the caller need not notice.
func TestLostAnswerOfIdempotentRequestIsAskedAgain(t *testing.T) {
	var first once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			if first.is(name) {
				return false
			}
			return serves(n, id, conn)
		}
	}
	w := newWorld(t, newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b")))
	got := w.ask(t, "/safe/1", "r1")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "done", got.body)
}

// Upstreams that are full say that they did not run a booking. It may then go to
// another, and if all refuse the caller is told that it did not run and when to come
// back.
func TestRefusedBookingGoesElsewhere(t *testing.T) {
	a, b := newUpstream(t, "a", refuses), newUpstream(t, "b", refuses)
	w := newWorld(t, a, b)
	got := w.ask(t, "/once/1", "r1")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Positive(t, wait)
	must.Len(t, 1, a.came())
	must.Len(t, 1, b.came())
}

// An upstream sends a second answer to one request on a kept connection. Taken for the
// answer to the next request, it would show one caller what another one asked.
func TestExtraAnswerReachesNobody(t *testing.T) {
	u := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		say(conn, sealed(id, "for "+id))
		if n == 0 {
			time.AfterFunc(20*time.Millisecond, func() { say(conn, sealed(id, "for "+id)) })
		}
		return true
	})
	w := newWorld(t, u)
	must.Eq(t, "for r1", w.ask(t, "/safe/1", "r1").body)
	time.Sleep(60 * time.Millisecond)
	must.Eq(t, "for r2", w.ask(t, "/safe/1", "r2").body)
}

// The extra answer comes only after the next request was sent.
func TestLateAnswerIsReadPast(t *testing.T) {
	u := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		if n == 1 {
			say(conn, sealed("r1", "for r1"))
		}
		say(conn, sealed(id, "for "+id))
		return true
	})
	w := newWorld(t, u)
	must.Eq(t, "for r1", w.ask(t, "/safe/1", "r1").body)
	must.Eq(t, "for r2", w.ask(t, "/safe/1", "r2").body)
}

// An answer is cut in the middle of its body. Handed on with its first half, it would
// look like the whole order to a caller that doesn't count bytes.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		say(conn, strings.TrimSuffix(sealed(id, "a long order"), "order"))
		return false
	})
	w := newWorld(t, u)
	must.Eq(t, http.StatusBadGateway, w.ask(t, "/once/1", "r1").status)
}

// An answer without a length ends with its connection; a reset is no end.
func TestUnframedAnswer(t *testing.T) {
	var whole atomic.Bool
	whole.Store(true)
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		say(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: x\r\n\r\norder")
		if whole.Load() {
			conn.Close()
		}
		return whole.Load()
	})
	w := newWorld(t, u)
	must.Eq(t, "order", w.ask(t, "/once/1", "r1").body)
	whole.Store(false)
	must.Eq(t, http.StatusBadGateway, w.ask(t, "/once/1", "r2").status)
}

// A success without the upstream's proof may come from anybody.
func TestUnprovenAnswerIsNoSuccess(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		say(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	must.Eq(t, http.StatusBadGateway, newWorld(t, u).ask(t, "/once/1", "r1").status)
}

// An upstream's own 503 that does not say "not run" may have run the request. The
// status would promise the caller that it did not.
func TestForeignPromiseIsNotHandedOn(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		say(conn, "HTTP/1.1 503 Service Unavailable\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	must.Eq(t, http.StatusBadGateway, newWorld(t, u).ask(t, "/once/1", "r1").status)
}

// An upstream dies in the middle of an event. The half must not reach the caller, and
// another upstream goes on behind the last whole one: no event missing, none twice.
func TestStreamGoesOnElsewhere(t *testing.T) {
	var died once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if died.is(name) {
				say(conn, streamHead(id)+chunked(event(0))+chunked(event(1))+chunked("id: 2\nda"))
				return false
			}
			say(conn, streamHead(id)+chunked(event(2))+chunked(event(3))+"0\r\n\r\n")
			return true
		}
	}
	a, b := newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b"))
	w := newWorld(t, a, b)
	got := w.ask(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(0)+event(1)+event(2)+event(3), got.body)
	second := b
	if died.is("b") {
		second = a
	}
	must.Eq(t, "1", second.header(0).Get("Last"))
}

// The upstream that should go on begins with the wrong event. The caller must see a
// broken stream rather than one with a gap.
func TestStreamWithGapIsBroken(t *testing.T) {
	var first once
	answer := func(_ int, id string, conn net.Conn) bool {
		if first.is(conn.LocalAddr().String()) {
			say(conn, streamHead(id)+chunked(event(0)))
			return false
		}
		say(conn, streamHead(id)+chunked(event(5))+"0\r\n\r\n")
		return true
	}
	w := newWorld(t, newUpstream(t, "a", answer), newUpstream(t, "b", answer))
	got := w.ask(t, "/stream/1", "r1")
	must.True(t, got.broken)
	must.Eq(t, event(0), got.body)
}

// Nobody can go on with a stream. Ended as usual, its first half would look whole.
func TestCutStreamLooksCut(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		say(conn, streamHead(id)+chunked(event(0)))
		return false
	})
	must.True(t, newWorld(t, u).ask(t, "/stream/1", "r1").broken)
}

// An upstream takes a request and says nothing. The caller must hear at the route's
// timeout, and not that the request never ran.
func TestSilentUpstreamTimesOut(t *testing.T) {
	u := newUpstream(t, "a", func(int, string, net.Conn) bool {
		time.Sleep(time.Minute)
		return false
	})
	w := newWorld(t, u)
	must.Eq(t, http.StatusGatewayTimeout, w.ask(t, "/brief/1", "r1").status)
}

// Callers close the connection when they give up. An upstream that works on for
// nobody takes a place from others.
func TestUpstreamIsLeftWithItsCaller(t *testing.T) {
	reached, left := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, "a", func(_ int, _ string, conn net.Conn) bool {
		close(reached)
		var b [1]byte
		if _, err := conn.Read(b[:]); err != nil {
			close(left)
		}
		return false
	})
	w := newWorld(t, u)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.URL+"/once/1", strings.NewReader("order"))
	must.NoError(t, err)
	r.Header.Set("Key", "k")
	go func() {
		<-reached
		leave()
	}()
	res, err := http.DefaultClient.Do(r)
	if err == nil {
		res.Body.Close()
	}
	must.Error(t, err)
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream still works for a caller that left")
	}
}

// Keys and routes that no table has are denied; but an entry that has not heard of the
// store for long may lack what was added since, and must not deny it.
func TestUnknownIsDeniedOnlyWithFreshNews(t *testing.T) {
	w := newWorld(t, newUpstream(t, "a", serves))
	must.Eq(t, http.StatusNotFound, w.ask(t, "/other/1", "r1").status)
	at, _, _ := w.registrar.Revision()
	old := &registrar.Registrar{Clock: w.relayer.Clock, Decode: w.registrar.Decode}
	old.Apply(registrar.Batch{Whole: true, At: at, Age: time.Minute, Records: w.registrar.ChangesSince(0).Records})
	w.relayer.Registrar, w.relayer.Placer.Registrar = old, old
	got := w.ask(t, "/other/1", "r2")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// A new entry that knows no route table must not say that a route does not exist.
func TestEntryWithoutTableAsksToComeBack(t *testing.T) {
	w := newWorld(t)
	w.relayer.Registrar = &registrar.Registrar{Clock: w.relayer.Clock}
	must.Eq(t, http.StatusServiceUnavailable, w.ask(t, "/safe/1", "r1").status)
}

// The key stays here: an upstream gets the name of its workspace.
func TestKeyIsNotPassedOn(t *testing.T) {
	u := newUpstream(t, "a", serves)
	newWorld(t, u).ask(t, "/safe/1", "r1")
	must.Eq(t, "", u.header(0).Get("Key"))
	must.Eq(t, "farm", u.header(0).Get("Workspace"))
}

// An upstream on a frozen VM takes a request and says nothing, and its connection stays
// open. The caller of a stream would wait until it gives up, though others are idle.
func TestSilentUpstreamIsReplaced(t *testing.T) {
	var first once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if first.is(name) {
				time.Sleep(time.Minute)
				return false
			}
			say(conn, streamHead(id)+chunked(event(0))+"0\r\n\r\n")
			return true
		}
	}
	w := newWorld(t, newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b")))
	got := w.ask(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(0), got.body)
}

// An upstream breaks off in the middle of a long reply, and so does the entry towards its
// caller. The place that the request held must come free all the same: else each such reply
// makes the upstream look fuller for good, and in the end nothing goes there.
func TestPlaceOfABrokenReplyComesFree(t *testing.T) {
	begun := make(chan struct{})
	u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
		say(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: 1000000\r\n\r\n%s", id, strings.Repeat("a", 400_000)))
		<-begun
		return false
	})
	w := newWorld(t, u)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.URL+"/once/1", strings.NewReader("order"))
	must.NoError(t, err)
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	res, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer res.Body.Close()
	close(begun)
	_, err = io.ReadAll(res.Body)
	must.Error(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u") == 0 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}
