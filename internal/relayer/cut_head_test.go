package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// headCase is a reply whose head is cut, or whose connection ends right after the head.
type headCase struct {
	// head is the whole head, with <id> for the request's ID.
	head string
	// unframed replies end with their connection, so that one without a body may be whole.
	unframed bool
	refusal  bool
}

// replyHeads returns the heads of replies by their framing.
func replyHeads(mediaType string) map[string]headCase {
	status := "HTTP/1.1 200 OK\r\nId: <id>\r\nSeal: x\r\nContent-Type: " + mediaType + "\r\n"
	return map[string]headCase{
		"length":     {head: status + "Content-Length: 24\r\n\r\n"},
		"chunks":     {head: status + "Transfer-Encoding: chunked\r\n\r\n"},
		"connection": {head: status + "Connection: close\r\n\r\n", unframed: true},
		"interim":    {head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + "Content-Length: 24\r\n\r\n"},
		"HTTP 1.0":   {head: strings.Replace(status, "1.1", "1.0", 1) + "\r\n", unframed: true},
		"refusal":    {head: "HTTP/1.1 503 Service Unavailable\r\nId: <id>\r\nNot-Run: 1\r\nContent-Length: 24\r\n\r\n", refusal: true},
	}
}

// headCutter answers for upstreams that cut the heads of their replies.
type headCutter struct {
	head string
	// reset cuts by a reset instead of a close.
	reset bool
	// twice cuts the reply to the second attempt too; begun sends a stream's first event before the first cut.
	twice, begun bool

	mu sync.Mutex
	// cutAfter is the number of bytes sent of a request's reply.
	cutAfter map[string]int
	arrivals map[string]int
}

func (c *headCutter) answer(_ int, id string, conn net.Conn) bool {
	c.mu.Lock()
	cutAfter, cut := c.cutAfter[id]
	c.arrivals[id]++
	first := c.arrivals[id] == 1
	c.mu.Unlock()
	switch {
	case !cut || !first && !c.twice:
		writeString(conn, streamHead(id)+chunked(events(0, streamLength))+"0\r\n\r\n")
		return true
	case first && c.begun:
		writeString(conn, streamHead(id)+chunked(event(0)))
		return false
	}
	writeString(conn, strings.ReplaceAll(c.head, "<id>", id)[:cutAfter])
	if !c.reset {
		_ = conn.Close()
	}
	return false
}

func (c *headCutter) setCut(id string, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutAfter[id] = after
}

func (c *headCutter) arrived(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// Guards against a success, or a "not run", that a reply with a cut head gives a caller.
func TestReplyWithCutHeadIsNoAnswer(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/draft/"} {
		mediaType := "application/json"
		if path == "/stream/" || path == "/draft/" {
			mediaType = "text/event-stream"
		}
		for framing, h := range replyHeads(mediaType) {
			for _, reset := range []bool{false, true} {
				for _, twice := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s%s/reset=%t/twice=%t", path[1:], framing, reset, twice), func(t *testing.T) {
						t.Parallel()
						cutHeads(t, path, h, &headCutter{head: h.head, reset: reset, twice: twice, cutAfter: map[string]int{}, arrivals: map[string]int{}})
					})
				}
			}
		}
	}
}

// cutHeads sends a request for each byte after which the head can be cut, over a new connection and over an idle one.
func cutHeads(t *testing.T, path string, h headCase, c *headCutter) {
	w := newTestEntry(t, newUpstream(t, "a", c.answer), newUpstream(t, "b", c.answer))
	w.allowRetries(4 * len(h.head))
	repeatable := path == "/safe/" || path == "/stream/"
	for n := range h.cutPoints(path, c.reset) {
		for _, connection := range []string{"new", "idle"} {
			id := fmt.Sprintf("%s%03d", connection[:1], n)
			w.relayer.Pool = &relayer.Pool{Clock: w.relayer.Clock, Opened: func() {}}
			if connection == "idle" {
				must.Eq(t, http.StatusOK, w.request(t, "/safe/", "before "+id).status)
			}
			c.setCut(id, n)
			got := w.request(t, path, id)
			where := must.Sprintf("%s connection, %d bytes: %d %q", connection, n, got.status, got.body)
			if repeatable && !c.twice {
				must.Eq(t, http.StatusOK, got.status, where)
				must.Eq(t, events(0, streamLength), got.body, where)
			} else {
				must.Eq(t, http.StatusBadGateway, got.status, where)
			}
			arrivals := 1
			if repeatable {
				arrivals = 2
			}
			must.Eq(t, arrivals, c.arrived(id), where)
		}
	}
}

// cutPoints returns the numbers of bytes of a reply on a route after which it is cut, for heads with an ID of four bytes.
func (h headCase) cutPoints(path string, reset bool) int {
	n := len(strings.ReplaceAll(h.head, "<id>", "r000"))
	mayBeWhole := h.unframed && path != "/stream/" && path != "/draft/" && !reset
	if mayBeWhole || h.refusal {
		return n
	}
	return n + 1
}

// allowRetries gives the entry a budget for a number of retries.
func (w *testEntry) allowRetries(n int) {
	w.relayer.Budgets = &retrier.Budgets{New: func() *retrier.Budget {
		return &retrier.Budget{Clock: w.relayer.Clock, Share: 1, Burst: float64(n)}
	}}
}

// Guards against a stream that is completed by an upstream whose reply to the resumption has a cut head.
func TestResumedStreamWithCutHeadIsNotComplete(t *testing.T) {
	for framing, h := range replyHeads("text/event-stream") {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", framing, reset), func(t *testing.T) {
				t.Parallel()
				c := &headCutter{head: h.head, reset: reset, begun: true, twice: true, cutAfter: map[string]int{}, arrivals: map[string]int{}}
				w := newTestEntry(t, newUpstream(t, "a", c.answer), newUpstream(t, "b", c.answer))
				w.allowRetries(4 * len(h.head))
				for n := range h.cutPoints("/stream/", reset) {
					id := fmt.Sprintf("r%03d", n)
					c.setCut(id, n)
					got := w.request(t, "/stream/", id)
					must.Eq(t, 2, c.arrived(id))
					must.True(t, got.broken, must.Sprintf("%d bytes", n))
					must.Eq(t, event(0), got.body, must.Sprintf("%d bytes", n))
				}
			})
		}
	}
}
