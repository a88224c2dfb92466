package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// departure describes how a caller leaves a request in progress.
type departure struct {
	leaveStage         stage
	path, fields, body string
	// pipelined is sent along with the request, pipelinedLater after the upstream has received it.
	pipelined, pipelinedLater string
	// keptAlive callers have used the connection for a request before, stalled ones leave while their entry looks
	// for another upstream.
	keptAlive, stalled bool
}

// Guards against upstreams that continue a request whose caller has closed its connection.
func TestUpstreamSeesThatTheCallerLeft(t *testing.T) {
	for name, d := range map[string]departure{
		"stream before the header":         {leaveStage: beforeHeader, path: "/stream/", body: "order"},
		"stream after the header":          {leaveStage: afterHeader, path: "/stream/", body: "order"},
		"in the middle of a stream":        {leaveStage: midStream, path: "/stream/", body: "order"},
		"plain before the header":          {leaveStage: beforeHeader, path: "/safe/", body: "order"},
		"plain in the body":                {leaveStage: inPlainBody, path: "/safe/", body: "order"},
		"once before the header":           {leaveStage: beforeHeader, path: "/once/", body: "order"},
		"without a body":                   {leaveStage: beforeHeader, path: "/stream/"},
		"on a kept connection":             {leaveStage: beforeHeader, path: "/stream/", body: "order", keptAlive: true},
		"while no upstream takes over":     {leaveStage: beforeHeader, path: "/stream/", body: "order", stalled: true},
		"while no upstream resumes":        {leaveStage: midStream, path: "/stream/", body: "order", stalled: true},
		"with a byte of the next request":  {leaveStage: beforeHeader, path: "/stream/", body: "order", pipelined: "P"},
		"with a byte more, mid-stream":     {leaveStage: midStream, path: "/stream/", body: "order", pipelined: "P"},
		"with a byte more, plain":          {leaveStage: beforeHeader, path: "/safe/", body: "order", pipelined: "P"},
		"with a line end after its body":   {leaveStage: beforeHeader, path: "/stream/", body: "order", pipelined: "\r\n"},
		"with a body that waits for a 100": {leaveStage: beforeHeader, path: "/stream/", fields: "Expect: 100-continue\r\n", body: "order"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.verifyClose(t)
		})
	}
}

// Guards against the same after the caller has started to send its next request.
func TestUpstreamSeesThatTheCallerLeftAfterAPipelinedByte(t *testing.T) {
	for name, d := range map[string]departure{
		"before the header": {leaveStage: beforeHeader, path: "/stream/", body: "order", pipelinedLater: "P"},
		"mid-stream":        {leaveStage: midStream, path: "/stream/", body: "order", pipelinedLater: "P"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.verifyClose(t)
		})
	}
}

// verifyClose closes the caller's connection, and checks that the upstream sees the close soon after.
func (d departure) verifyClose(t *testing.T) {
	f := suspendAt(d.leaveStage)
	w := newTestEntry(t, newUpstream(t, "u1", func(n int, id string, conn net.Conn) bool {
		if id == "before" {
			writeString(conn, sealedReply(id, "done"))
			return true
		}
		return f.answer("u1")(n, id, conn)
	}))
	var c *caller
	if d.keptAlive {
		c = w.call(t, "/safe/", "before", "", "order", "")
		res, err := c.waitAnswer(stepTimeout)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		must.NoError(t, err)
		res.Body.Close()
		c.send(t, d.path, "r1", d.fields, d.body, d.pipelined)
	} else {
		c = w.call(t, d.path, "r1", d.fields, d.body, d.pipelined)
	}
	<-f.arrived
	_, err := io.WriteString(c, d.pipelinedLater)
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	if d.stalled {
		time.Sleep(relayer.EventGap + 350*time.Millisecond)
	}
	leftAt := time.Now()
	c.Close()
	select {
	case closedAt := <-f.closed:
		must.Less(t, closeWithin, closedAt.Sub(leftAt))
	case <-time.After(4 * time.Second):
		t.Fatal("the upstream had not seen the close 4 s after its caller left")
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 0 }),
		wait.Timeout(stepTimeout), wait.Gap(time.Millisecond)), must.Sprint("the slot is not released"))
}

// Guards against the same while a long request is being written to an upstream that reads nothing.
func TestUpstreamSeesThatTheCallerLeftWhileItsRequestIsWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	w := newTestEntry(t, &upstream{name: "u1", listener: l})
	c := w.call(t, "/stream/", "r1", "", strings.Repeat("x", 4<<20), "")
	conn, err := l.Accept()
	must.NoError(t, err)
	defer conn.Close()
	time.Sleep(300 * time.Millisecond)
	leftAt := time.Now()
	c.Close()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 0 }),
		wait.Timeout(stepTimeout), wait.Gap(time.Millisecond)), must.Sprint("the slot is not released"))
	t.Logf("the slot was released %v after the caller left", time.Since(leftAt))
	n, err := io.Copy(io.Discard, conn)
	t.Logf("the upstream read %d bytes of 4 MB, then: %v", n, err)
	must.Less(t, 4<<20, n)
	must.Less(t, closeWithin, time.Since(leftAt))
}

// leavingCallerAgent grants a slot, just after which the caller leaves.
type leavingCallerAgent struct {
	leave context.CancelFunc
	ended chan string
}

func (a *leavingCallerAgent) Reserve(context.Context, messenger.Reservation) (messenger.Decision, error) {
	return messenger.Decision{Granted: true, Version: 1, Slots: 12}, nil
}

func (a *leavingCallerAgent) SendProgress(p messenger.Progress) {
	for _, id := range p.Ended {
		a.ended <- id
	}
}

// leavingCodec makes callers leave between the grant of a slot and the sending.
type leavingCodec struct {
	testCodec
	leave func()
}

func (c leavingCodec) OutgoingHeader(h http.Header, s relayer.OutgoingInfo) http.Header {
	if h.Get("Id") == "r1" {
		c.leave()
	}
	return c.testCodec.OutgoingHeader(h, s)
}

// Guards against a request that is sent although its caller left after the slot was granted.
func TestNothingIsSentForACallerThatLeftBeforeSending(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept connection %v", kept), func(t *testing.T) {
			sent := 0
			for range 50 {
				u := newUpstream(t, "u1", func(_ int, id string, conn net.Conn) bool {
					writeString(conn, sealedReply(id, "done"))
					return true
				})
				w := newTestEntry(t, u)
				if kept {
					must.Eq(t, http.StatusOK, w.request(t, "/safe/", "before").status)
				}
				ctx, leave := context.WithCancel(t.Context())
				w.relayer.Codec = leavingCodec{leave: leave}
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/safe/", strings.NewReader("order"))
				r.Header.Set("Id", "r1")
				r.Header.Set("Key", "k")
				w.relayer.ServeHTTP(httptest.NewRecorder(), r)
				time.Sleep(20 * time.Millisecond)
				came := u.received()
				if len(came) > 0 && came[len(came)-1] == "r1" {
					sent++
				}
				must.Eq(t, 0, w.relayer.Chooser.Running("u1"))
			}
			t.Logf("%d of 50 requests reached the upstream", sent)
			must.Eq(t, 0, sent)
		})
	}
}

// Guards against requests that are sent although their caller left while the entry connected.
func TestNothingIsSentForACallerThatLeftWhileTheEntryConnects(t *testing.T) {
	// Without a backlog the kernel accepts one connection; the entry's next ones wait.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	must.NoError(t, err)
	defer l.Close()
	must.NoError(t, file.Close())
	filler, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer filler.Close()
	w := newTestEntry(t, &upstream{name: "u1", listener: l})
	c := w.call(t, "/stream/", "r1", "", "order", "")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 1 }), wait.Timeout(stepTimeout), wait.Gap(time.Millisecond)))
	time.Sleep(100 * time.Millisecond)
	leftAt := time.Now()
	c.Close()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 0 }), wait.Timeout(stepTimeout), wait.Gap(time.Millisecond)))
	t.Logf("the slot was released %v after the caller left", time.Since(leftAt))
	must.Less(t, 150*time.Millisecond, time.Since(leftAt), must.Sprint("ended by the entry's own connection timeout"))
	for range 2 {
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(1500 * time.Millisecond))
		conn, err := l.Accept()
		if err != nil {
			break
		}
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, _ := io.Copy(io.Discard, conn)
		must.Eq(t, 0, n)
		conn.Close()
	}
}

// fullAgent has no free slot at first, and grants one when asked again. Callers leave in between.
type fullAgent struct {
	leavingCallerAgent
	asked int
}

func (a *fullAgent) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	if a.asked++; a.asked > 1 {
		return a.leavingCallerAgent.Reserve(ctx, r)
	}
	a.leave()
	return messenger.Decision{Active: 12, Slots: 12, FreeInMS: 1}, nil
}

// Guards against requests that are sent although their caller left while the entry waited for a slot.
func TestNothingIsSentForACallerThatLeftWhileTheEntryWaits(t *testing.T) {
	w := newEngineWorld(t, streamsOneEvent, openLedger(12)).resumable(true)
	ctx, leave := context.WithCancel(t.Context())
	a := &fullAgent{leavingCallerAgent: leavingCallerAgent{leave: leave, ended: make(chan string, 10)}}
	w.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent { return a }
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/draft", strings.NewReader("order"))
	r.Header.Set("Id", "r1")
	w.relayer.ServeHTTP(httptest.NewRecorder(), r)
	must.Eq(t, 1, a.asked)
	must.SliceEmpty(t, w.upstreams[0].received())
	must.Eq(t, 0, w.relayer.Chooser.Running("engine-0"))
}

// Guards against a slot that stays taken, or a request that is sent, when the caller leaves just as a hedge is
// granted a slot.
func TestCallerLeavesAsAHedgeIsGranted(t *testing.T) {
	f := suspendAt(beforeHeader)
	w := newEngineWorld(t, f.answer("engine"), openLedger(12), openLedger(12)).resumable(true)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	a := &leavingCallerAgent{ended: make(chan string, 10)}
	asked := 0
	w.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent {
		if asked++; asked == 2 {
			leave()
		}
		return a
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/draft", strings.NewReader("order"))
	r.Header.Set("Id", "r1")
	w.relayer.ServeHTTP(httptest.NewRecorder(), r)
	must.Eq(t, 2, asked)
	must.Eq(t, 1, len(w.upstreams[0].received())+len(w.upstreams[1].received()))
	must.Eq(t, 0, w.relayer.Chooser.Running("engine-0")+w.relayer.Chooser.Running("engine-1"))
	<-f.closed
}

// Guards against a kept connection that, when it stalls, hedges the request for which it was used before.
func TestKeptConnectionHedgesItsCurrentRequest(t *testing.T) {
	var first firstUpstream
	second := make(chan string, 2)
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			switch {
			case n == 0 && first.claim(name):
				writeString(conn, streamHead(id)+chunked(event(1))+"0\r\n\r\n")
			case first.claim(name):
				time.Sleep(stepTimeout)
			default:
				second <- id
				writeString(conn, streamHead(id)+chunked(event(1))+"0\r\n\r\n")
			}
			return true
		}
	}
	w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	must.Eq(t, http.StatusOK, w.request(t, "/stream/", "before").status)
	other := "u2"
	if first.claim("u2") {
		other = "u1"
	}
	// Directs the next request to the same upstream.
	w.relayer.Chooser.Avoid(other, time.Second)
	a := w.request(t, "/stream/", "r1")
	must.Eq(t, http.StatusOK, a.status)
	select {
	case id := <-second:
		must.Eq(t, "r1", id)
	default:
		t.Fatal("the other upstream was not asked")
	}
}
