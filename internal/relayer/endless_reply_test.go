package relayer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const (
	// entryMemory is the memory of the smallest VM of an entry, in bytes.
	entryMemory = 184 << 20
	// maxReplyAllocation limits what an entry keeps of a reply, in bytes: twenty endless ones at once must fit.
	maxReplyAllocation = entryMemory / 20
	// endlessBytes is how many bytes stand for an endless reply: an upstream sends no more if nobody closes.
	endlessBytes = 128 << 20
	// maxAttemptTime is how long the attempt may take: callers leave after two seconds.
	maxAttemptTime = 2 * time.Second
)

// endlessReply is a reply that starts with head and repeats part.
type endlessReply struct{ head, part string }

// endlessUpstream sends endless replies.
type endlessUpstream struct {
	// closed is how many of its connections were closed early, and sent how many bytes were sent in all.
	closed, sent atomic.Int64
}

// waitClosed waits until its connection is closed.
func (u *endlessUpstream) waitClosed(t *testing.T) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return u.closed.Load() == 1 }), wait.Timeout(maxAttemptTime), wait.Gap(time.Millisecond)))
}

// send sends a reply until the connection is closed.
func (u *endlessUpstream) send(r endlessReply, id string, conn net.Conn) bool {
	writeString(conn, strings.ReplaceAll(r.head, "<id>", id))
	parts := []byte(strings.Repeat(r.part, max(1, 64<<10/len(r.part))))
	for sent := 0; sent < endlessBytes; {
		n, err := conn.Write(parts)
		sent += n
		u.sent.Add(int64(n))
		if err != nil {
			u.closed.Add(1)
			return false
		}
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return false
	}
	return true
}

// serve sends a reply to each request.
func (u *endlessUpstream) serve(r endlessReply) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool { return u.send(r, id, conn) }
}

// mustEndSoon checks that the attempt ends by itself, closes its connection and has kept little.
func (u *endlessUpstream) mustEndSoon(t *testing.T, w *testEntry, path string) answer {
	t.Helper()
	before := allocatedBytes()
	start := time.Now()
	got := w.requestFor(t, path, stepTimeout/4)
	took := time.Since(start)
	// The total of all allocations is an upper bound of what is kept at any time.
	kept := allocatedBytes() - before
	t.Logf("answer %d after %v, %d bytes sent, %d allocated", got.status, took, u.sent.Load(), kept)
	must.Less(t, maxAttemptTime, took)
	must.Less(t, maxReplyAllocation, int64(kept))
	u.waitClosed(t)
	return got
}

func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// requestFor sends a request and leaves after a time.
func (w *testEntry) requestFor(t *testing.T, path string, d time.Duration) answer {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.URL+path, strings.NewReader("order"))
	must.NoError(t, err)
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{broken: true}
	}
	defer res.Body.Close()
	// An endless body would fill the test's own memory.
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return answer{status: res.StatusCode, body: string(body), broken: err != nil}
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nId: <id>\r\nSeal: x\r\n"
	strayHead  = "HTTP/1.1 200 OK\r\nId: another\r\nSeal: x\r\n"
	chunksHead = "Transfer-Encoding: chunked\r\n\r\n"
	eventsHead = okHead + "Content-Type: text/event-stream\r\n"
)

// endlessReplies are those that no attempt can turn into an answer.
var endlessReplies = map[string]endlessReply{
	"status line":                {"HTTP/1.1 200 ", "O"},
	"no protocol, no line's end": {"", "\xff"},
	"lines of no protocol":       {"", "no protocol\r\n"},
	"line ends":                  {"", "\r\n"},
	"header field":               {okHead + "Long: ", "x"},
	"name of a header field":     {okHead, "x"},
	"header field in lines":      {okHead + "Long: x\r\n", " x\r\n"},
	"header fields":              {okHead, "a: b\r\n"},
	"interim replies 103":        {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"interim replies 100":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"header of an interim reply": {"HTTP/1.1 103 Early Hints\r\n", "a: b\r\n"},
	"stray body by connection":   {strayHead + "\r\n", "x"},
	"stray body by chunks":       {strayHead + chunksHead, chunked(strings.Repeat("x", 1000))},
	"stray body by length":       {strayHead + "Content-Length: 999999999999\r\n\r\n", "x"},
	"stray trailer":              {strayHead + chunksHead + "0\r\n", "a: b\r\n"},
	"head behind a stray reply":  {strayHead + "Content-Length: 1\r\n\r\nx" + okHead, "a: b\r\n"},
	"chunk size":                 {okHead + chunksHead, "0"},
	"chunk extension":            {okHead + chunksHead + "1;", "x"},
	"chunk extensions":           {okHead + chunksHead, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
	"trailer":                    {okHead + chunksHead + "0\r\n", "a: b\r\n"},
	"trailer field":              {okHead + chunksHead + "0\r\nLong: ", "x"},
	"body of a 503":              {"HTTP/1.1 503 Service Unavailable\r\nId: <id>\r\nSeal: x\r\n\r\n", "x"},
	"body without proof":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
}

// endlessStreams are the additional ones of a streaming route.
var endlessStreams = map[string]endlessReply{
	"event":                  {eventsHead + "\r\ndata: ", "x"},
	"event by chunks":        {eventsHead + chunksHead + chunked("data: "), chunked(strings.Repeat("x", 1000))},
	"lines of an event":      {eventsHead + "\r\n", "data: x\n"},
	"comment lines":          {eventsHead + "\r\n", ": x\n"},
	"blank lines":            {eventsHead + "\r\n", "\n"},
	"stream of another type": {okHead + "\r\n", "x"},
}

// Guards against an endless reply that fills the entry's memory, or holds the attempt until its caller leaves.
func TestEndlessReplyBreaksOff(t *testing.T) {
	for path, replies := range map[string]map[string]endlessReply{"/once/": endlessReplies, "/draft/": endlessReplies, "/draft/1": endlessStreams} {
		for name, r := range replies {
			t.Run(strings.Trim(path, "/1")+"/"+name, func(t *testing.T) {
				u := &endlessUpstream{}
				w := newTestEntry(t, newUpstream(t, "u", u.serve(r)))
				must.Eq(t, http.StatusBadGateway, u.mustEndSoon(t, w, path).status)
			})
		}
	}
}

// Guards against an endless reply that isn't retried at another upstream though the route allows it.
func TestEndlessReplyIsRetriedElsewhere(t *testing.T) {
	replies := map[string]endlessReply{"body of a 500": {"HTTP/1.1 500 Internal Server Error\r\nId: <id>\r\nSeal: x\r\n\r\n", "x"}}
	for name, r := range endlessReplies {
		replies[name] = r
	}
	for name, r := range replies {
		t.Run(name, func(t *testing.T) {
			u := &endlessUpstream{}
			var first firstUpstream
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if first.claim(name) {
						return u.send(r, id, conn)
					}
					writeString(conn, sealedReply(id, "done"))
					return true
				}
			}
			got := u.mustEndSoon(t, newTestEntry(t, newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b"))), "/safe/")
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, "done", got.body)
		})
	}
}

// Guards against the rest of a stream that never reaches its next event.
func TestEndlessRestOfAStreamBreaksOff(t *testing.T) {
	for name, r := range map[string]endlessReply{
		"comments":      {eventsHead + "\r\n", ": x\n\n"},
		"comment lines": {eventsHead + "\r\n", ": x\n"},
		"header fields": {eventsHead, "a: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			u := &endlessUpstream{}
			var first firstUpstream
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if first.claim(name) {
						writeString(conn, streamHead(id)+chunked(event(0)))
						return false
					}
					return u.send(r, id, conn)
				}
			}
			got := u.mustEndSoon(t, newTestEntry(t, newUpstream(t, "a", answer("a")), newUpstream(t, "b", answer("b"))), "/stream/")
			must.True(t, got.broken)
			must.Eq(t, event(0), got.body)
		})
	}
}

// Guards against reusing a kept connection on which an upstream sends bytes without a request.
func TestEndlessBytesOnAnIdleConnection(t *testing.T) {
	u := &endlessUpstream{}
	w := newTestEntry(t, newUpstream(t, "u", func(n int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, "done"))
		if n > 0 {
			return true
		}
		return u.send(endlessReply{part: "x"}, id, conn)
	}))
	must.Eq(t, http.StatusOK, w.request(t, "/safe/", "r1").status)
	// Bytes that arrive only after the next request is sent are its reply.
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return u.sent.Load() > 0 }), wait.Timeout(maxAttemptTime), wait.Gap(time.Millisecond)))
	got := u.mustEndSoon(t, w, "/safe/")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "done", got.body)
}

// Guards against a limit on heads that cuts long bodies or counts earlier replies on a kept connection.
func TestLongRepliesOnAKeptConnectionStayWhole(t *testing.T) {
	const replies = 20
	body := strings.Repeat("x", 3<<20)
	u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("l", 20<<10)+"\r\n\r\n")
		writeString(conn, strings.Replace(sealedReply(id, body), "\r\n", "\r\nLong: "+strings.Repeat("y", 30<<10)+"\r\n", 1))
		return true
	})
	w := newTestEntry(t, u)
	for range replies {
		got := w.request(t, "/safe/", "r1")
		must.Eq(t, http.StatusOK, got.status)
		must.True(t, body == got.body, must.Sprintf("%d bytes", len(got.body)))
	}
	must.Len(t, replies, u.received())
}
