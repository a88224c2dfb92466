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

// departure is how a caller leaves a request under way.
type departure struct {
	at                 stage
	path, fields, body string
	// more is sent along with the request, later after the upstream has got it.
	more, later string
	// kept callers have sent a request on the connection before, stalled ones leave while their
	// entry looks for another upstream.
	kept, stalled bool
}

// Guards against upstreams that go on with a request whose caller has closed its connection.
func TestUpstreamSeesThatTheCallerLeft(t *testing.T) {
	for name, d := range map[string]departure{
		"stream before the header":         {at: beforeHeader, path: "/stream/", body: "order"},
		"stream after the header":          {at: afterHeader, path: "/stream/", body: "order"},
		"in the middle of a stream":        {at: midStream, path: "/stream/", body: "order"},
		"plain before the header":          {at: beforeHeader, path: "/safe/", body: "order"},
		"plain in the body":                {at: inPlainBody, path: "/safe/", body: "order"},
		"once before the header":           {at: beforeHeader, path: "/once/", body: "order"},
		"without a body":                   {at: beforeHeader, path: "/stream/"},
		"on a kept connection":             {at: beforeHeader, path: "/stream/", body: "order", kept: true},
		"while nobody takes over":          {at: beforeHeader, path: "/stream/", body: "order", stalled: true},
		"while nobody goes on":             {at: midStream, path: "/stream/", body: "order", stalled: true},
		"with a byte of the next request":  {at: beforeHeader, path: "/stream/", body: "order", more: "P"},
		"with a byte more, mid-stream":     {at: midStream, path: "/stream/", body: "order", more: "P"},
		"with a byte more, plain":          {at: beforeHeader, path: "/safe/", body: "order", more: "P"},
		"with a line end behind its body":  {at: beforeHeader, path: "/stream/", body: "order", more: "\r\n"},
		"with a body that waits for a 100": {at: beforeHeader, path: "/stream/", fields: "Expect: 100-continue\r\n", body: "order"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.play(t)
		})
	}
}

// Guards against the same after the caller has begun to send its next request.
func TestUpstreamSeesThatTheCallerLeftAfterAPipelinedByte(t *testing.T) {
	for name, d := range map[string]departure{
		"before the header": {at: beforeHeader, path: "/stream/", body: "order", later: "P"},
		"mid-stream":        {at: midStream, path: "/stream/", body: "order", later: "P"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.play(t)
		})
	}
}

// play has a caller leave, and expects that the upstream sees the close soon after.
func (d departure) play(t *testing.T) {
	f := freezeAt(d.at)
	w := newWorld(t, newUpstream(t, "u1", func(n int, id string, conn net.Conn) bool {
		if id == "before" {
			say(conn, sealed(id, "done"))
			return true
		}
		return f.answer("u1")(n, id, conn)
	}))
	var c *caller
	if d.kept {
		c = w.call(t, "/safe/", "before", "", "order", "")
		res, err := c.waitAnswer(patience)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		must.NoError(t, err)
		res.Body.Close()
		c.send(t, d.path, "r1", d.fields, d.body, d.more)
	} else {
		c = w.call(t, d.path, "r1", d.fields, d.body, d.more)
	}
	<-f.came
	_, err := io.WriteString(c, d.later)
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	if d.stalled {
		time.Sleep(relayer.EventGap + 350*time.Millisecond)
	}
	left := time.Now()
	c.Close()
	select {
	case at := <-f.closed:
		must.Less(t, closeWithin, at.Sub(left))
	case <-time.After(4 * time.Second):
		t.Fatal("the upstream had not seen the close 4 s after its caller's leaving")
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 0 }),
		wait.Timeout(patience), wait.Gap(time.Millisecond)), must.Sprint("the place is kept"))
}

// Guards against the same while a long request is being written to an upstream that reads nothing.
func TestUpstreamSeesThatTheCallerLeftWhileItsRequestIsWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	w := newWorld(t, &upstream{name: "u1", listener: l})
	c := w.call(t, "/stream/", "r1", "", strings.Repeat("x", 4<<20), "")
	conn, err := l.Accept()
	must.NoError(t, err)
	defer conn.Close()
	time.Sleep(300 * time.Millisecond)
	left := time.Now()
	c.Close()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 0 }),
		wait.Timeout(patience), wait.Gap(time.Millisecond)), must.Sprint("the place is kept"))
	t.Logf("the place was given back %v after the caller's leaving", time.Since(left))
	n, err := io.Copy(io.Discard, conn)
	t.Logf("the upstream reads %d bytes of 4 MB, and then %v", n, err)
	must.Less(t, 4<<20, n)
	must.Less(t, closeWithin, time.Since(left))
}

// granting is the road to an agent at which the caller leaves just after a place is granted.
type granting struct {
	leave context.CancelFunc
	ended chan string
}

func (a *granting) Reserve(context.Context, messenger.Reservation) (messenger.Decision, error) {
	return messenger.Decision{Granted: true, Version: 1, Slots: 12}, nil
}

func (a *granting) Tell(p messenger.Progress) {
	for _, id := range p.Ended {
		a.ended <- id
	}
}

// leavingCodec has callers leave between the grant of a place and the sending.
type leavingCodec struct {
	codec
	leave func()
}

func (c leavingCodec) Outgoing(h http.Header, s relayer.Send) http.Header {
	if h.Get("Id") == "r1" {
		c.leave()
	}
	return c.codec.Outgoing(h, s)
}

// Guards against a request that is sent although its caller left after the place was granted.
func TestNothingIsSentForACallerThatLeftBeforeTheSending(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept connection %v", kept), func(t *testing.T) {
			sent := 0
			for range 50 {
				u := newUpstream(t, "u1", func(_ int, id string, conn net.Conn) bool {
					say(conn, sealed(id, "done"))
					return true
				})
				w := newWorld(t, u)
				if kept {
					must.Eq(t, http.StatusOK, w.ask(t, "/safe/", "before").status)
				}
				ctx, leave := context.WithCancel(t.Context())
				w.relayer.Codec = leavingCodec{leave: leave}
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/safe/", strings.NewReader("order"))
				r.Header.Set("Id", "r1")
				r.Header.Set("Key", "k")
				w.relayer.ServeHTTP(httptest.NewRecorder(), r)
				time.Sleep(20 * time.Millisecond)
				came := u.came()
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
	// Without a backlog the kernel takes one connection; the entry's next ones wait.
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
	w := newWorld(t, &upstream{name: "u1", listener: l})
	c := w.call(t, "/stream/", "r1", "", "order", "")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 1 }), wait.Timeout(patience), wait.Gap(time.Millisecond)))
	time.Sleep(100 * time.Millisecond)
	left := time.Now()
	c.Close()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.relayer.Chooser.Running("u1") == 0 }), wait.Timeout(patience), wait.Gap(time.Millisecond)))
	t.Logf("the place was given back %v after the caller's leaving", time.Since(left))
	must.Less(t, 150*time.Millisecond, time.Since(left), must.Sprint("the entry's own limit on connecting ended it"))
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

// full is the road to an agent that has no place, and grants one to whoever asks again. Callers
// leave in between.
type full struct {
	granting
	asked int
}

func (a *full) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	if a.asked++; a.asked > 1 {
		return a.granting.Reserve(ctx, r)
	}
	a.leave()
	return messenger.Decision{Active: 12, Slots: 12, FreeInMS: 1}, nil
}

// Guards against requests that are sent although their caller left while the entry waited for a place.
func TestNothingIsSentForACallerThatLeftWhileTheEntryWaits(t *testing.T) {
	w := engines(t, streams, openLedger(12)).resumable(true)
	ctx, leave := context.WithCancel(t.Context())
	a := &full{granting: granting{leave: leave, ended: make(chan string, 10)}}
	w.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent { return a }
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/draft", strings.NewReader("order"))
	r.Header.Set("Id", "r1")
	w.relayer.ServeHTTP(httptest.NewRecorder(), r)
	must.Eq(t, 1, a.asked)
	must.SliceEmpty(t, w.upstreams[0].came())
	must.Eq(t, 0, w.relayer.Chooser.Running("engine-0"))
}

// Guards against a place that stays taken, or a request that is sent, when the caller leaves just as
// a place to take over is granted.
func TestCallerLeavesAsATakeOverIsGranted(t *testing.T) {
	f := freezeAt(beforeHeader)
	w := engines(t, f.answer("engine"), openLedger(12), openLedger(12)).resumable(true)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	a := &granting{ended: make(chan string, 10)}
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
	must.Eq(t, 1, len(w.upstreams[0].came())+len(w.upstreams[1].came()))
	must.Eq(t, 0, w.relayer.Chooser.Running("engine-0")+w.relayer.Chooser.Running("engine-1"))
	<-f.closed
}

// Guards against a kept connection that asks for the request that used it before when it stalls.
func TestKeptConnectionStallsForItsOwnRequest(t *testing.T) {
	var first once
	second := make(chan string, 2)
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			switch {
			case n == 0 && first.is(name):
				say(conn, streamHead(id)+chunked(event(1))+"0\r\n\r\n")
			case first.is(name):
				time.Sleep(patience)
			default:
				second <- id
				say(conn, streamHead(id)+chunked(event(1))+"0\r\n\r\n")
			}
			return true
		}
	}
	w := newWorld(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	must.Eq(t, http.StatusOK, w.ask(t, "/stream/", "before").status)
	other := "u2"
	if first.is("u2") {
		other = "u1"
	}
	// The next request goes to the same upstream.
	w.relayer.Chooser.Avoid(other, time.Second)
	a := w.ask(t, "/stream/", "r1")
	must.Eq(t, http.StatusOK, a.status)
	select {
	case id := <-second:
		must.Eq(t, "r1", id)
	default:
		t.Fatal("the other upstream was not asked")
	}
}
