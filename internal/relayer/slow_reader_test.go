package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
)

const (
	// slowCallers is the number of concurrent callers, smallBuffer the size of the kernel's buffer for each, in
	// bytes.
	slowCallers = 200
	smallBuffer = 32 << 10
	// memoryBudget is a quarter of the smallest VM's memory, in bytes.
	memoryBudget = 136e6 / 4
)

// withMemoryBound limits the memory of the entry's requests.
func (w *testEntry) withMemoryBound(bytes int64) *testEntry {
	w.relayer.Memory = &acceptor.Limits{Memory: bytes, Metrics: w.metrics}
	return w
}

// heldMemory returns the memory counted for requests.
func (w *testEntry) heldMemory() int64 { return w.counter("memory.held") }

func (w *testEntry) counter(name string) int64 {
	c, ok := w.metrics.Get(name).(interface{ Count() int64 })
	if !ok {
		return 0
	}
	return c.Count()
}

// smallBufferListener limits the kernel's write buffers for callers that don't read.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
}

// withSmallBuffers puts a server with small write buffers in front of the entry.
func (w *testEntry) withSmallBuffers(t *testing.T) *testEntry {
	s := httptest.NewUnstartedServer(w.relayer)
	s.Listener = smallBufferListener{s.Listener}
	s.Start()
	t.Cleanup(s.Close)
	w.Server = s
	return w
}

func waitUntil(t *testing.T, d time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(d), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// dialSmallBuffer sends the head of a request on a connection with a small read buffer.
func (w *testEntry) dialSmallBuffer(t *testing.T, path, id, fields string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", w.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(smallBuffer))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: k\r\n%s\r\n", path, id, fields)
	must.NoError(t, err)
	return conn
}

// endlessEvents sends long events without ids until its connection is closed, more than the kernel's buffers
// between an entry and a caller hold.
func endlessEvents(_ int, id string, conn net.Conn) bool {
	writeString(conn, streamHead(id))
	for {
		if _, err := conn.Write(longEvent); err != nil {
			return false
		}
	}
}

// longEvent is shared, so that the upstreams of a test need no memory for it.
var longEvent = []byte(chunked("data: " + strings.Repeat("x", 16<<10) + "\n\n"))

// Guards against callers that read nothing, or one byte in 100 ms, and fill the entry's memory or hold slots
// forever.
func TestSlowReadersUseLittleMemory(t *testing.T) {
	u := newUpstream(t, "u1", endlessEvents)
	w := newTestEntry(t, u).withMemoryBound(memoryBudget).withSmallBuffers(t)
	w.registrar.View().Table.Services["desk"].Connections = 0
	before := heapInUse()
	conns := make([]net.Conn, slowCallers)
	for i := range conns {
		conns[i] = w.dialSmallBuffer(t, "/draft/", fmt.Sprint("r", i), "Patience: 6000\r\nContent-Length: 5\r\n")
		_, err := io.WriteString(conns[i], "order")
		must.NoError(t, err)
		if i%2 == 0 {
			go readSlowly(conns[i])
		}
	}
	// Some connect too slowly on a busy machine, and are refused.
	waitUntil(t, stepTimeout, "most streams are in progress", func() bool { return w.relayer.Chooser.Running("u1") > slowCallers*3/4 })
	time.Sleep(2 * time.Second)
	grown := heapInUse() - before
	t.Logf("%d streams, heap grew by %d kB, %d kB counted", w.relayer.Chooser.Running("u1"), grown>>10, w.heldMemory()>>10)
	must.Less(t, int64(memoryBudget), grown)
	waitUntil(t, 10*time.Second, "slots and memory are released", func() bool { return w.relayer.Chooser.Running("u1") == 0 && w.heldMemory() == 0 })
}

// readSlowly reads one byte in 100 ms.
func readSlowly(conn net.Conn) {
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an upstream that cuts a reply which its caller doesn't read, and is passed over for that, or
// whose request is sent to another upstream.
func TestCutOfAnUnreadReplyIsTheCallersFault(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			var cut atomic.Int64
			serve := func(_ int, id string, conn net.Conn) bool {
				head := streamHead(id)
				if path == "/safe/" {
					head = strings.Replace(head, "text/event-stream", "text/plain", 1)
				}
				writeString(conn, head)
				for i := 0; ; i++ {
					_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
					if _, err := io.WriteString(conn, chunked(fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10)))); err != nil {
						cut.Add(1)
						return false
					}
				}
			}
			u1, u2 := newUpstream(t, "u1", serve), newUpstream(t, "u2", serve)
			w := newTestEntry(t, u1, u2).withMemoryBound(memoryBudget)
			conn := w.dialSmallBuffer(t, path, "r1", "Content-Length: 5\r\n")
			_, err := io.WriteString(conn, "order")
			must.NoError(t, err)
			waitUntil(t, stepTimeout, "the upstream cuts the reply", func() bool { return cut.Load() == 1 })
			waitUntil(t, 2*time.Second, "slot and memory are released", func() bool {
				return w.relayer.Chooser.Running("u1") == 0 && w.relayer.Chooser.Running("u2") == 0 && w.heldMemory() == 0
			})
			must.Len(t, 1, append(u1.received(), u2.received()...))
			must.False(t, w.relayer.Chooser.Avoided("u1") || w.relayer.Chooser.Avoided("u2"))
			must.Eq(t, 1, w.counter("unread"))
			_ = conn.SetReadDeadline(time.Now().Add(maxAttemptTime))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer res.Body.Close()
			_, err = io.Copy(io.Discard, res.Body)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against an upstream's own cut that is taken for the caller's fault because the caller was slow before.
func TestCutOfAReplyThatIsReadIsTheUpstreams(t *testing.T) {
	var first firstUpstream
	serve := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			writeString(conn, streamHead(id))
			if first.claim(name) {
				writeString(conn, chunked(event(0)))
				return false
			}
			writeString(conn, chunked(event(1))+"0\r\n\r\n")
			return true
		}
	}
	w := newTestEntry(t, newUpstream(t, "u1", serve("u1")), newUpstream(t, "u2", serve("u2"))).withMemoryBound(memoryBudget)
	got := w.request(t, "/stream/", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(0)+event(1), got.body)
	must.True(t, w.relayer.Chooser.Avoided(first.name))
	waitUntil(t, maxAttemptTime, "memory is released", func() bool { return w.heldMemory() == 0 })
}

// Guards against a body that is read though it doesn't fit, and against a refusal of a request that runs.
func TestBodyThatDoesNotFitIsRefusedUnread(t *testing.T) {
	u := newUpstream(t, "u1", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, "done"))
		return true
	})
	for name, fields := range map[string]string{"length": "Content-Length: 1048576\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			w := newTestEntry(t, u).withMemoryBound(256 << 10)
			conn := w.dialSmallBuffer(t, "/safe/", "r1", fields+"Expect: 100-continue\r\n")
			if name == "chunks" {
				go func() { _, _ = io.WriteString(conn, strings.Repeat(chunked(strings.Repeat("x", 32<<10)), 8)) }()
			}
			_ = conn.SetReadDeadline(time.Now().Add(maxAttemptTime))
			read := bufio.NewReader(conn)
			res, err := http.ReadResponse(read, nil)
			if err == nil && res.StatusCode == http.StatusContinue {
				must.Eq(t, "chunks", name)
				res, err = http.ReadResponse(read, nil)
			}
			must.NoError(t, err)
			res.Body.Close()
			must.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
			must.NotEq(t, "", res.Header.Get("Retry-After"))
			must.SliceEmpty(t, u.received())
			waitUntil(t, maxAttemptTime, "memory is released", func() bool { return w.heldMemory() == 0 })
			must.Eq(t, http.StatusOK, w.request(t, "/safe/", "r2").status)
			u.mu.Lock()
			u.requests = nil
			u.mu.Unlock()
		})
	}
}

// Guards against the body of a request that stays in memory, or isn't counted, while an upstream doesn't read it.
func TestUnreadBodyIsCountedUntilItsWriteEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	w := newTestEntry(t, &upstream{name: "u1", listener: l}).withMemoryBound(memoryBudget)
	const body = 4 << 20
	c := w.call(t, "/once/", "r1", "", strings.Repeat("x", body), "")
	conn, err := l.Accept()
	must.NoError(t, err)
	defer conn.Close()
	time.Sleep(300 * time.Millisecond)
	must.Greater(t, body, w.heldMemory())
	must.Less(t, body+(128<<10), w.heldMemory())
	c.Close()
	waitUntil(t, maxAttemptTime, "memory is released", func() bool { return w.heldMemory() == 0 })
}

// Guards against replies and events that are buffered beyond the limit, and against long replies that fail for
// lack of memory.
func TestReplyThatDoesNotFitIsPassedOnUnbuffered(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	u := newUpstream(t, "u1", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, body))
		return true
	})
	w := newTestEntry(t, u).withMemoryBound(100 << 10)
	got := w.request(t, "/safe/", "r1")
	must.Eq(t, http.StatusOK, got.status)
	must.True(t, body == got.body)
	must.Positive(t, w.counter("memory.refused"))
	waitUntil(t, maxAttemptTime, "memory is released", func() bool { return w.heldMemory() == 0 })

	long := newUpstream(t, "u1", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked("id: 0\ndata: "+body+"\n\n")+"0\r\n\r\n")
		return true
	})
	w = newTestEntry(t, long, newUpstream(t, "u2", long.answer)).withMemoryBound(100 << 10)
	must.Eq(t, http.StatusBadGateway, w.request(t, "/stream/", "r1").status)
	must.False(t, w.relayer.Chooser.Avoided("u1") || w.relayer.Chooser.Avoided("u2"))
}
