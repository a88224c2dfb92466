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
	writeString(conn, sealedReply(id, "done"))
	return true
}

// resets accepts the request and resets the connection.
func resets(int, string, net.Conn) bool { return false }

// refuses states that it did not run the request.
func refuses(_ int, id string, conn net.Conn) bool {
	writeString(conn, "HTTP/1.1 503 Service Unavailable\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// Guards against a booking that is made twice: its upstream makes it, and the answer is lost. The caller must
// learn that the outcome is unknown.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	a, b := newUpstream(t, "a", resets), newUpstream(t, "b", resets)
	w := newTestEntry(t, a, b)
	got := w.request(t, "/once/1", "r1")
	must.Eq(t, http.StatusBadGateway, got.status)
	must.Eq(t, "", got.header.Get("Retry-After"), must.Sprint("promises that it did not run"))
	must.Len(t, 1, append(a.received(), b.received()...))
}

// Guards against the failure of an idempotent request that could be repeated after the same loss.
func TestLostAnswerOfAnIdempotentRequestIsRetried(t *testing.T) {
	var first firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			if first.claim(name) {
				return false
			}
			return serves(n, id, conn)
		}
	}
	w := newTestEntry(t, newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b")))
	got := w.request(t, "/safe/1", "r1")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "done", got.body)
}

// Guards against a booking that fails at a full upstream although another one could take it, and against a final
// refusal that doesn't state that it did not run and when to retry.
func TestRefusedBookingIsRetriedAtAnotherUpstream(t *testing.T) {
	a, b := newUpstream(t, "a", refuses), newUpstream(t, "b", refuses)
	w := newTestEntry(t, a, b)
	got := w.request(t, "/once/1", "r1")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Positive(t, wait)
	must.Len(t, 1, a.received())
	must.Len(t, 1, b.received())
}

// Guards against a second answer on a kept connection that is taken for the answer to the next request: a caller
// would get another one's answer.
func TestExtraReplyReachesNoCaller(t *testing.T) {
	u := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, "for "+id))
		if n == 0 {
			time.AfterFunc(20*time.Millisecond, func() { writeString(conn, sealedReply(id, "for "+id)) })
		}
		return true
	})
	w := newTestEntry(t, u)
	must.Eq(t, "for r1", w.request(t, "/safe/1", "r1").body)
	time.Sleep(60 * time.Millisecond)
	must.Eq(t, "for r2", w.request(t, "/safe/1", "r2").body)
}

// Guards against the same if it arrives after the next request.
func TestLateReplyToAnEarlierRequestIsSkipped(t *testing.T) {
	u := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		if n == 1 {
			writeString(conn, sealedReply("r1", "for r1"))
		}
		writeString(conn, sealedReply(id, "for "+id))
		return true
	})
	w := newTestEntry(t, u)
	must.Eq(t, "for r1", w.request(t, "/safe/1", "r1").body)
	must.Eq(t, "for r2", w.request(t, "/safe/1", "r2").body)
}

// Guards against an answer that is cut within its body and passed on: a caller that doesn't count bytes would
// take the part for the whole.
func TestCutAnswerIsAFailure(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, strings.TrimSuffix(sealedReply(id, "a long order"), "order"))
		return false
	})
	w := newTestEntry(t, u)
	must.Eq(t, http.StatusBadGateway, w.request(t, "/once/1", "r1").status)
}

// Guards against a reset that passes for the end of an unframed answer.
func TestUnframedAnswer(t *testing.T) {
	var whole atomic.Bool
	whole.Store(true)
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: x\r\n\r\norder")
		if whole.Load() {
			conn.Close()
		}
		return whole.Load()
	})
	w := newTestEntry(t, u)
	must.Eq(t, "order", w.request(t, "/once/1", "r1").body)
	whole.Store(false)
	must.Eq(t, http.StatusBadGateway, w.request(t, "/once/1", "r2").status)
}

// Guards against a success without the upstream's proof, which any sender may forge.
func TestUnprovenAnswerIsAFailure(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	must.Eq(t, http.StatusBadGateway, newTestEntry(t, u).request(t, "/once/1", "r1").status)
}

// Guards against an upstream's own 503 without "not run" that is passed on: the request may have run, but the
// status would promise the caller that it did not.
func TestStatusThatImpliesNotRunIsNotPassedOn(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, "HTTP/1.1 503 Service Unavailable\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	must.Eq(t, http.StatusBadGateway, newTestEntry(t, u).request(t, "/once/1", "r1").status)
}

// Guards against part of an event that reaches the caller from an upstream that dies, and against missing or
// repeated events where another one resumes after the last whole event.
func TestStreamIsResumedAtAnotherUpstream(t *testing.T) {
	var died firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if died.claim(name) {
				writeString(conn, streamHead(id)+chunked(event(0))+chunked(event(1))+chunked("id: 2\nda"))
				return false
			}
			writeString(conn, streamHead(id)+chunked(event(2))+chunked(event(3))+"0\r\n\r\n")
			return true
		}
	}
	a, b := newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b"))
	w := newTestEntry(t, a, b)
	got := w.request(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(0)+event(1)+event(2)+event(3), got.body)
	second := b
	if died.claim("b") {
		second = a
	}
	must.Eq(t, "1", second.header(0).Get("Last"))
}

// Guards against a stream that is resumed with the wrong event: the caller must see a broken stream rather than
// one with a gap.
func TestStreamWithGapIsBroken(t *testing.T) {
	var first firstUpstream
	answer := func(_ int, id string, conn net.Conn) bool {
		if first.claim(conn.LocalAddr().String()) {
			writeString(conn, streamHead(id)+chunked(event(0)))
			return false
		}
		writeString(conn, streamHead(id)+chunked(event(5))+"0\r\n\r\n")
		return true
	}
	w := newTestEntry(t, newUpstream(t, "a", answer), newUpstream(t, "b", answer))
	got := w.request(t, "/stream/1", "r1")
	must.True(t, got.broken)
	must.Eq(t, event(0), got.body)
}

// Guards against a stream that can't be resumed and ends as if it were whole.
func TestCutStreamIsAborted(t *testing.T) {
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(0)))
		return false
	})
	must.True(t, newTestEntry(t, u).request(t, "/stream/1", "r1").broken)
}

// Guards against a silent upstream whose caller gets no answer at the route's timeout, or a promise that the
// request never ran.
func TestSilentUpstreamTimesOut(t *testing.T) {
	u := newUpstream(t, "a", func(int, string, net.Conn) bool {
		time.Sleep(time.Minute)
		return false
	})
	w := newTestEntry(t, u)
	must.Eq(t, http.StatusGatewayTimeout, w.request(t, "/brief/1", "r1").status)
}

// Guards against an upstream that keeps working for a caller that closed its connection, and takes a slot from
// others.
func TestUpstreamConnectionClosesWithItsCaller(t *testing.T) {
	reached, left := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, "a", func(_ int, _ string, conn net.Conn) bool {
		close(reached)
		var b [1]byte
		if _, err := conn.Read(b[:]); err != nil {
			close(left)
		}
		return false
	})
	w := newTestEntry(t, u)
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
		t.Fatal("the upstream's connection is still open after its caller left")
	}
}

// Guards against an entry with a stale view of the store that denies keys or routes: it may lack those added
// since.
func TestUnknownRouteIsDeniedOnlyWithFreshState(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "a", serves))
	must.Eq(t, http.StatusNotFound, w.request(t, "/other/1", "r1").status)
	at, _, _ := w.registrar.Revision()
	old := &registrar.Registrar{Clock: w.relayer.Clock, Decode: w.registrar.Decode}
	old.Apply(registrar.Batch{Whole: true, At: at, Age: time.Minute, Records: w.registrar.ChangesSince(0).Records})
	w.relayer.Registrar, w.relayer.Placer.Registrar = old, old
	got := w.request(t, "/other/1", "r2")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// Guards against a new entry without a route table that denies a route.
func TestEntryWithoutTableRefusesRequests(t *testing.T) {
	w := newTestEntry(t)
	w.relayer.Registrar = &registrar.Registrar{Clock: w.relayer.Clock}
	must.Eq(t, http.StatusServiceUnavailable, w.request(t, "/safe/1", "r1").status)
}

// Guards against a key that is sent to an upstream, which gets the workspace's name.
func TestKeyIsNotPassedOn(t *testing.T) {
	u := newUpstream(t, "a", serves)
	newTestEntry(t, u).request(t, "/safe/1", "r1")
	must.Eq(t, "", u.header(0).Get("Key"))
	must.Eq(t, "farm", u.header(0).Get("Workspace"))
}

// Guards against a stream that waits for an upstream on a frozen VM, whose connection stays open, until its
// caller gives up, though others are idle.
func TestSilentUpstreamIsReplaced(t *testing.T) {
	var first firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if first.claim(name) {
				time.Sleep(time.Minute)
				return false
			}
			writeString(conn, streamHead(id)+chunked(event(0))+"0\r\n\r\n")
			return true
		}
	}
	w := newTestEntry(t, newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b")))
	got := w.request(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(0), got.body)
}

// Guards against a slot that stays taken when a long reply is cut by its upstream and thus by the entry: each
// such reply would make the upstream look fuller until it gets no requests.
func TestSlotOfABrokenReplyIsReleased(t *testing.T) {
	started := make(chan struct{})
	u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: 1000000\r\n\r\n%s", id, strings.Repeat("a", 400_000)))
		<-started
		return false
	})
	w := newTestEntry(t, u)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.URL+"/once/1", strings.NewReader("order"))
	must.NoError(t, err)
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	res, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer res.Body.Close()
	close(started)
	_, err = io.ReadAll(res.Body)
	must.Error(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u") == 0 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}
