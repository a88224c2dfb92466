package relayer_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// invalidStatuses are status codes that no reply to these requests has.
var invalidStatuses = []string{"000", "001", "042", "099", "101", "600", "999", "0200", "2000", "+20", "-20"}

// Requests to repeatablePaths may run more than once, those to oncePaths may not.
var (
	repeatablePaths = []string{"/safe/", "/stream/"}
	oncePaths       = []string{"/once/", "/draft/"}
)

func isStreaming(path string) bool { return path == "/stream/" || path == "/draft/" }

// wholeBody is the body of a whole reply on a route.
func wholeBody(path string) string {
	if isStreaming(path) {
		return events(0, streamLength)
	}
	return "done"
}

// wholeReply is a whole reply on a route, from an event on.
func wholeReply(path, id string, from int) string {
	if isStreaming(path) {
		return streamHead(id) + chunked(events(from, streamLength)) + "0\r\n\r\n"
	}
	return sealedReply(id, wholeBody(path))
}

// forgedReply is a whole reply that no upstream sends as such, from an event on.
func forgedReply(path, id string, from int) string {
	if isStreaming(path) {
		return streamHead(id) + chunked(fmt.Sprintf("id: %d\ndata: forged\n\n", from)) + "0\r\n\r\n"
	}
	return sealedReply(id, "forged")
}

// invalidReply is a reply that HTTP doesn't define.
type invalidReply struct {
	name, line string
	// rest returns the rest of its header, and its body, by a reply that its body may look like.
	rest func(forged string) string
	// closes reports that the upstream closes the connection.
	closes bool
}

// write sends the reply to a request. Its header has the given proof of its origin.
func (r invalidReply) write(conn net.Conn, path, id, proof string, from int) {
	kind := "application/json"
	if isStreaming(path) {
		kind = "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\n%s: x\r\nContent-Type: %s\r\n", r.line, id, proof, kind)
	writeString(conn, head+r.rest(forgedReply(path, id, from)))
	if r.closes {
		conn.Close()
	}
}

func text(s string) func(string) string { return func(string) string { return s } }

func byLengthOf(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// invalidReplies are the replies with a status, in each framing.
func invalidReplies(status string) []invalidReply {
	line := status + " Trouble"
	return []invalidReply{
		{status + ", nothing", line, text("\r\n"), false},
		{status + ", by length", line, text(byLengthOf("wrong")), false},
		{status + ", chunks", line, text(chunksFollow + "\r\n" + chunked("wrong") + "0\r\n\r\n"), false},
		{status + ", by connection", line, text("\r\nwrong"), true},
		{status + ", a reply", line, func(forged string) string { return "\r\n" + forged }, false},
		{status + ", a reply by length", line, byLengthOf, false},
	}
}

// allInvalidReplies also include interim replies that state a body.
func allInvalidReplies() []invalidReply {
	all := []invalidReply{
		{"interim, a reply by length", "103 Early Hints", byLengthOf, false},
		{"interim, chunks", "103 Early Hints", func(forged string) string { return chunksFollow + "\r\n" + forged }, false},
	}
	for _, status := range invalidStatuses {
		all = append(all, invalidReplies(status)...)
	}
	return all
}

// closeWatch receives for each invalid reply whether its connection was closed without another request on it.
type closeWatch chan bool

func newCloseWatch() closeWatch { return make(chan bool, maxSends) }

// maxSends is more than how often an entry sends a request.
const maxSends = 8

// await waits until the entry closes a connection or sends something on it.
func (w closeWatch) await(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
	n, err := conn.Read(make([]byte, 1))
	w <- n == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
}

// mustClose checks that the entry closed a number of connections.
func (w closeWatch) mustClose(t *testing.T, n int) {
	t.Helper()
	for range n {
		must.True(t, <-w, must.Sprint("the connection is kept"))
	}
}

// invalidUpstreams are two upstreams that answer the request r1 with an invalid reply.
type invalidUpstreams struct {
	*testEntry
	path, proof string
	reply       invalidReply
	// both reports that the second upstream does so too.
	both   bool
	first  firstUpstream
	closed closeWatch

	mu sync.Mutex
	// kept are connections that have answered a request.
	kept []net.Conn
	// onKept counts the invalid replies on these.
	onKept int
}

func newInvalidUpstreams(t *testing.T, path, proof string, reply invalidReply, both bool) *invalidUpstreams {
	u := &invalidUpstreams{path: path, proof: proof, reply: reply, both: both, closed: newCloseWatch()}
	u.testEntry = newTestEntry(t, newUpstream(t, "u1", u.answer("u1")), newUpstream(t, "u2", u.answer("u2")))
	return u
}

func (u *invalidUpstreams) answer(name string) func(int, string, net.Conn) bool {
	return func(n int, id string, conn net.Conn) bool {
		switch {
		case id != "r1":
			u.mu.Lock()
			u.kept = append(u.kept, conn)
			u.mu.Unlock()
			return serves(n, id, conn)
		case u.first.claim(name) || u.both:
			u.mu.Lock()
			if slices.Contains(u.kept, conn) {
				u.onKept++
			}
			u.mu.Unlock()
			u.reply.write(conn, u.path, id, u.proof, 0)
			u.closed.await(conn)
			return true
		}
		writeString(conn, wholeReply(u.path, id, 0))
		return true
	}
}

// keepConnections has the entry keep a connection to each upstream.
func (u *invalidUpstreams) keepConnections(t *testing.T) {
	for i := 0; len(u.upstreams[0].received()) == 0 || len(u.upstreams[1].received()) == 0; i++ {
		must.Less(t, 100, i)
		must.Eq(t, http.StatusOK, u.request(t, "/safe/", fmt.Sprintf("before-%d", i)).status)
	}
}

// mustFailAtOnce checks that the request is answered 502 after a number of attempts, long before its time limit.
func (u *invalidUpstreams) mustFailAtOnce(t *testing.T, attempts int) {
	t.Helper()
	before, start := totalRequests(u.upstreams), time.Now()
	a := u.request(t, u.path, "r1")
	must.Less(t, stepTimeout/2, time.Since(start))
	must.Eq(t, http.StatusBadGateway, a.status, must.Sprintf("%q", a.body))
	must.Eq(t, "", a.header.Get("Seal")+a.header.Get("Retry-After"))
	u.closed.mustClose(t, attempts)
	must.Eq(t, attempts, totalRequests(u.upstreams)-before)
	must.Eq(t, 0, u.counter("hedges.started"))
}

// mustBeServedElsewhere checks that the other upstream serves the request, without a wait for the first one.
func (u *invalidUpstreams) mustBeServedElsewhere(t *testing.T) {
	t.Helper()
	before := totalRequests(u.upstreams)
	a := u.request(t, u.path, "r1")
	must.False(t, a.broken)
	must.Eq(t, http.StatusOK, a.status, must.Sprintf("%q", a.body))
	must.Eq(t, wholeBody(u.path), a.body)
	u.closed.mustClose(t, 1)
	must.Eq(t, 2, totalRequests(u.upstreams)-before)
	must.Eq(t, 0, u.counter("hedges.started"))
}

// Guards against a reply with a status that HTTP doesn't define, or bytes of its body, that reach a caller; against a
// caller that waits for another reply of its upstream; and against requests on the same connection.
func TestReplyWithInvalidStatusIsNoAnswer(t *testing.T) {
	for _, reply := range allInvalidReplies() {
		for _, path := range oncePaths {
			t.Run(reply.name+path+"once", func(t *testing.T) {
				t.Parallel()
				newInvalidUpstreams(t, path, "Seal", reply, false).mustFailAtOnce(t, 1)
			})
		}
		for _, path := range repeatablePaths {
			t.Run(reply.name+path+"both", func(t *testing.T) {
				t.Parallel()
				newInvalidUpstreams(t, path, "Seal", reply, true).mustFailAtOnce(t, 2)
			})
			t.Run(reply.name+path+"first", func(t *testing.T) {
				t.Parallel()
				newInvalidUpstreams(t, path, "Seal", reply, false).mustBeServedElsewhere(t)
			})
		}
	}
}

// Guards against the same on a connection that has answered a request before.
func TestReplyWithInvalidStatusOnAKeptConnectionIsNoAnswer(t *testing.T) {
	for _, reply := range allInvalidReplies() {
		for _, path := range repeatablePaths {
			t.Run(reply.name+path, func(t *testing.T) {
				t.Parallel()
				u := newInvalidUpstreams(t, path, "Seal", reply, false)
				u.keepConnections(t)
				u.mustBeServedElsewhere(t)
				must.Eq(t, 1, u.onKept)
			})
		}
	}
}

// Guards against a promise that the request did not run, and another attempt, on the word of a reply that is none.
func TestReplyWithInvalidStatusPromisesNothing(t *testing.T) {
	for _, reply := range allInvalidReplies() {
		for _, path := range oncePaths {
			t.Run(reply.name+path, func(t *testing.T) {
				t.Parallel()
				newInvalidUpstreams(t, path, "Not-Run", reply, false).mustFailAtOnce(t, 1)
			})
		}
	}
}

// hedgedReplies are invalid replies of each sort.
func hedgedReplies() []invalidReply {
	return []invalidReply{invalidReplies("000")[0], invalidReplies("042")[4], invalidReplies("101")[1], invalidReplies("999")[1]}
}

// Guards against a reply with an invalid status that is taken from a hedge, or from the attempt beside it, and against a
// hedge that such a reply holds up.
func TestReplyWithInvalidStatusEndsNoHedgedRequest(t *testing.T) {
	for _, reply := range hedgedReplies() {
		for _, path := range repeatablePaths {
			for _, invalid := range []string{"hedge", "first"} {
				t.Run(fmt.Sprintf("%s%s%s", reply.name, path, invalid), func(t *testing.T) {
					t.Parallel()
					var first firstUpstream
					came, closed := make(chan struct{}), newCloseWatch()
					answer := func(name string) func(int, string, net.Conn) bool {
						return func(n int, id string, conn net.Conn) bool {
							isHedge := !first.claim(name)
							if isHedge {
								close(came)
							}
							if isHedge == (invalid == "hedge") {
								<-came
								reply.write(conn, path, id, "Seal", 0)
								closed.await(conn)
								return true
							}
							// The caller can be served only after the invalid reply has failed.
							failed := <-closed
							closed <- failed
							if failed {
								writeString(conn, wholeReply(path, id, 0))
							}
							return true
						}
					}
					w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).withPlainTimeout()
					a := w.request(t, path, "r1")
					must.False(t, a.broken)
					must.Eq(t, http.StatusOK, a.status, must.Sprintf("%q", a.body))
					must.Eq(t, wholeBody(path), a.body)
					must.Eq(t, 2, totalRequests(w.upstreams))
				})
			}
		}
	}
}

// Guards against a stream whose rest is taken from a reply with an invalid status, or waits for it.
func TestReplyWithInvalidStatusResumesNoStream(t *testing.T) {
	for _, reply := range allInvalidReplies() {
		for _, attempts := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s/%d attempts", reply.name, attempts), func(t *testing.T) {
				t.Parallel()
				var one, two firstUpstream
				closed := newCloseWatch()
				answer := func(name string) func(int, string, net.Conn) bool {
					return func(_ int, id string, conn net.Conn) bool {
						switch {
						case one.claim(name):
							writeString(conn, streamHead(id)+chunked(event(0)))
							return false
						case two.claim(name):
							reply.write(conn, "/stream/", id, "Seal", 1)
							closed.await(conn)
							return true
						}
						writeString(conn, wholeReply("/stream/", id, 1))
						return true
					}
				}
				w := newThreeAttemptEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")), newUpstream(t, "u3", answer("u3")))
				for _, r := range w.registrar.View().Table.Routes {
					r.MaxAttempts = attempts
				}
				start := time.Now()
				a := w.request(t, "/stream/", "r1")
				must.Less(t, stepTimeout/2, time.Since(start))
				body := event(0)
				if attempts == 3 {
					body = wholeBody("/stream/")
				}
				must.Eq(t, attempts == 2, a.broken)
				must.Eq(t, body, a.body)
				closed.mustClose(t, 1)
				must.Eq(t, attempts, totalRequests(w.upstreams))
				must.Eq(t, 0, w.counter("hedges.started"))
			})
		}
	}
}

// Guards against a check of statuses that refuses valid replies: after interim ones, and without a reason.
func TestReplyAfterInterimOnesIsAnAnswer(t *testing.T) {
	for name, interim := range map[string]string{
		"none":  "",
		"100":   "HTTP/1.1 100 Continue\r\n\r\n",
		"103":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"both":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nContent-Length: 0\r\n\r\n",
		"twice": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2),
	} {
		for _, path := range slices.Concat(oncePaths, repeatablePaths) {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
					writeString(conn, interim+strings.Replace(wholeReply(path, id, 0), " OK", "", 1))
					return true
				})
				a := newTestEntry(t, u).request(t, path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status, must.Sprintf("%q", a.body))
				must.Eq(t, wholeBody(path), a.body)
				must.Len(t, 1, u.received())
			})
		}
	}
}
