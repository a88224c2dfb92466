package relayer_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// nthReplyPanicCodec panics on reading the nth reply's header.
type nthReplyPanicCodec struct {
	testCodec
	replies, n int
}

func (c *nthReplyPanicCodec) ParseReply(status int, h http.Header) relayer.Reply {
	if c.replies++; c.replies == c.n {
		panic("no such header")
	}
	return c.testCodec.ParseReply(status, h)
}

// Guards against connections that are closed without a status as a handler panics.
func TestCallerGetsAStatusAfterAPanic(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/draft/"} {
		t.Run(path, func(t *testing.T) {
			w := newTestEntry(t, newUpstream(t, "u1", streamsOneEvent))
			w.relayer.Codec = &nthReplyPanicCodec{n: 1}
			a := w.request(t, path, "r1")
			must.False(t, a.broken)
			must.Eq(t, http.StatusInternalServerError, a.status)
			must.Eq(t, "", a.header.Get("Retry-After"), must.Sprint("promises that it did not run"))
			must.Eq(t, 0, w.relayer.Chooser.Running("u1"))
		})
	}
}

// Guards against streams that look whole after a panic.
func TestStreamIsCutByAPanic(t *testing.T) {
	breaksOff := func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(1)))
		return false
	}
	w := newTestEntry(t, newUpstream(t, "u1", breaksOff), newUpstream(t, "u2", breaksOff))
	w.relayer.Codec = &nthReplyPanicCodec{n: 2}
	must.True(t, w.request(t, "/stream/", "r1").broken)
}

// Guards against a connection to a hedge's upstream that stays open after a panic, while another attempt
// continues.
func TestConnectionOfAHedgeThatPanickedIsClosed(t *testing.T) {
	var one, two firstUpstream
	closed := make(chan struct{})
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			switch {
			case one.claim(name):
				time.Sleep(replyPause)
				return false
			case two.claim(name):
				time.Sleep(replyPause / 2)
				writeString(conn, plainHead(id))
				staysSilent(n, id, conn)
				close(closed)
				return false
			}
			select {
			case <-closed:
			case <-time.After(closeWithin):
				return failsWith("500 Internal Server Error")(n, id, conn)
			}
			return serves(n, id, conn)
		}
	}
	w := newThreeAttemptEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")), newUpstream(t, "u3", answer("u3")))
	w.relayer.Codec = &nthReplyPanicCodec{n: 1}
	must.Eq(t, http.StatusOK, w.request(t, "/safe/", "r1").status)
}

// Guards against a connection that is closed without an answer, as the log line on a panic needs the route that isn't found yet.
func TestPanicBeforeTheRouteIsAnswered(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "desk", serves))
	w.relayer.BlamesSynced = func() bool { panic("unknown") }
	a := w.sendWithHeader(t, "/once/", "order", http.Header{"Id": {"r1"}, "Parts": {"p"}})
	must.Eq(t, http.StatusInternalServerError, a.status)
}
