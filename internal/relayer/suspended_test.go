package relayer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// callerGap is how long callers wait for the next event of a stream.
	callerGap = 2 * time.Second
	// closeWithin is how soon after its caller has left an upstream must see the close.
	closeWithin = 500 * time.Millisecond
)

// caller is a caller with a connection of its own.
type caller struct {
	net.Conn
	reader *bufio.Reader
	sent   time.Time
}

// call connects and sends a request, followed by more bytes.
func (w *testEntry) call(t *testing.T, path, id, fields, body, more string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", w.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	c := &caller{Conn: conn, reader: bufio.NewReader(conn)}
	c.send(t, path, id, fields, body, more)
	return c
}

func (c *caller) send(t *testing.T, path, id, fields, body, more string) {
	t.Helper()
	c.sent = time.Now()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: k\r\n%sContent-Length: %d\r\n\r\n%s%s", path, id, fields, len(body), body, more)
	must.NoError(t, err)
}

// callerPollInterval is the time between two checks of a caller for an answer.
const callerPollInterval = 10 * time.Millisecond

// waitAnswer waits for the head of an answer, for as long as callers do. The wait is counted in
// checks, so time in which the test itself gets no processor doesn't count.
func (c *caller) waitAnswer(gap time.Duration) (*http.Response, error) {
	var err error
	for range gap / callerPollInterval {
		_ = c.SetReadDeadline(time.Now().Add(callerPollInterval))
		if _, err = c.reader.Peek(1); err == nil {
			_ = c.SetReadDeadline(time.Now().Add(stepTimeout))
			return http.ReadResponse(c.reader, nil)
		}
		var waited net.Error
		if !errors.As(err, &waited) || !waited.Timeout() {
			return nil, err
		}
	}
	return nil, err
}

// stage is how far an upstream gets with a request before its VM is suspended.
type stage func(id string, conn net.Conn)

func beforeHeader(string, net.Conn) {}

func afterHeader(id string, conn net.Conn) { writeString(conn, streamHead(id)) }

func afterLateHeader(id string, conn net.Conn) {
	time.Sleep(1100 * time.Millisecond)
	writeString(conn, streamHead(id))
}

func midStream(id string, conn net.Conn) { writeString(conn, streamHead(id)+chunked(event(1))) }

func inPlainBody(id string, conn net.Conn) {
	writeString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: 9\r\n\r\nhalf", id))
}

// suspendingUpstreams are upstreams of which the first to get a request is suspended at a stage.
// They record when the request arrived and when its connection was closed.
type suspendingUpstreams struct {
	first       firstUpstream
	stage       stage
	arrived     chan time.Time
	closed      chan time.Time
	bothSuspend bool
}

func suspendAt(s stage) *suspendingUpstreams {
	return &suspendingUpstreams{stage: s, arrived: make(chan time.Time, 10), closed: make(chan time.Time, 10)}
}

func (f *suspendingUpstreams) answer(name string) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool {
		if !f.first.claim(name) && !f.bothSuspend {
			writeString(conn, streamHead(id)+chunked(event(1))+chunked(event(2))+"0\r\n\r\n")
			return true
		}
		f.arrived <- time.Now()
		f.stage(id, conn)
		_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
		_, err := conn.Read(make([]byte, 1))
		if !errors.Is(err, io.EOF) {
			return false
		}
		f.closed <- time.Now()
		return true
	}
}

// resumable sets whether the world's streams are resumable.
func (w *testEntry) resumable(yes bool) *testEntry {
	for _, r := range w.registrar.View().Table.Routes {
		r.Resumable = yes
	}
	return w
}

// withEventTimeout lets callers of streams leave after callerGap without an event.
func (w *testEntry) withEventTimeout() *testEntry {
	for _, r := range w.registrar.View().Table.Routes {
		if r.Kind == matcher.Streaming {
			r.EventTimeout = callerGap
		}
	}
	return w
}

func (w *testEntry) withoutRetries() *testEntry {
	w.relayer.Budgets = &retrier.Budgets{New: func() *retrier.Budget {
		return &retrier.Budget{Clock: clock.RealClock{}, Share: 1e-9, Floor: 1e-9, Burst: 1e-9}
	}}
	return w
}

// suspensionCases are the cases in which an upstream's VM is suspended with a stream.
func suspensionCases() map[string]func(t *testing.T) (*testEntry, *suspendingUpstreams) {
	two := func(f *suspendingUpstreams) func(t *testing.T) (*testEntry, *suspendingUpstreams) {
		return func(t *testing.T) (*testEntry, *suspendingUpstreams) {
			return newTestEntry(t, newUpstream(t, "u1", f.answer("u1")), newUpstream(t, "u2", f.answer("u2"))), f
		}
	}
	alone := func(f *suspendingUpstreams) func(t *testing.T) (*testEntry, *suspendingUpstreams) {
		return func(t *testing.T) (*testEntry, *suspendingUpstreams) {
			return newTestEntry(t, newUpstream(t, "u1", f.answer("u1"))), f
		}
	}
	noRetries := func(f *suspendingUpstreams) func(t *testing.T) (*testEntry, *suspendingUpstreams) {
		return func(t *testing.T) (*testEntry, *suspendingUpstreams) {
			w, f := two(f)(t)
			return w.withoutRetries(), f
		}
	}
	notResumable := func(f *suspendingUpstreams) func(t *testing.T) (*testEntry, *suspendingUpstreams) {
		return func(t *testing.T) (*testEntry, *suspendingUpstreams) {
			w, f := two(f)(t)
			return w.resumable(false), f
		}
	}
	both := func(f *suspendingUpstreams) func(t *testing.T) (*testEntry, *suspendingUpstreams) {
		f.bothSuspend = true
		return two(f)
	}
	// full has engines with agents: the second grants nothing.
	full := func(f *suspendingUpstreams) func(t *testing.T) (*testEntry, *suspendingUpstreams) {
		return func(t *testing.T) (*testEntry, *suspendingUpstreams) {
			return newEngineWorld(t, f.answer("engine"), openLedger(12), closedLedger("full")).resumable(true), f
		}
	}
	return map[string]func(t *testing.T) (*testEntry, *suspendingUpstreams){
		"before the header, another is free":                 two(suspendAt(beforeHeader)),
		"before the header, no other":                        alone(suspendAt(beforeHeader)),
		"before the header, all other engines full":          full(suspendAt(beforeHeader)),
		"before the header, no retry left":                   noRetries(suspendAt(beforeHeader)),
		"before the header, not resumable":                   notResumable(suspendAt(beforeHeader)),
		"before the header, the one that takes over as well": both(suspendAt(beforeHeader)),
		"after the header, another is free":                  two(suspendAt(afterHeader)),
		"after the header, all other engines full":           full(suspendAt(afterHeader)),
		"after the header, no retry left":                    noRetries(suspendAt(afterHeader)),
		"after the header, not resumable":                    notResumable(suspendAt(afterHeader)),
		"after a late header, another is free":               two(suspendAt(afterLateHeader)),
	}
}

func streamPath(w *testEntry) string {
	if w.registrar.View().Table.Services["desk"] == nil {
		return "/draft"
	}
	return "/stream/"
}

// Guards against callers that leave a stream that has not started without any answer, although
// their entry works: the engine would start their requests after its VM resumes.
func TestCallerOfASuspendedVMIsAnsweredBeforeItLeaves(t *testing.T) {
	for name, setUp := range suspensionCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, f := setUp(t)
			c := w.withEventTimeout().call(t, streamPath(w), "r1", "", "order", "")
			<-f.arrived
			res, err := c.waitAnswer(callerGap)
			if err != nil {
				left := time.Now()
				c.Close()
				t.Logf("caller left after %v; the upstream saw the close %v later", left.Sub(c.sent), (<-f.closed).Sub(left))
				t.Fatalf("the caller got nothing before it left: %v", err)
			}
			res.Body.Close()
			t.Logf("status %d after %v; the first upstream saw the close after %v", res.StatusCode, time.Since(c.sent), (<-f.closed).Sub(c.sent))
		})
	}
}

// Guards against callers of plain requests that get nothing within their time limit, at an upstream
// that is suspended.
func TestPlainCallerOfASuspendedVMIsAnsweredWithinItsLimit(t *testing.T) {
	for name, s := range map[string]stage{"before the header": beforeHeader, "in the body": inPlainBody} {
		for _, path := range []string{"/safe/", "/once/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := suspendAt(s)
				w := newTestEntry(t, newUpstream(t, "u1", f.answer("u1")))
				c := w.call(t, path, "r1", "Patience: 1000\r\n", "order", "")
				res, err := c.waitAnswer(time.Second)
				must.NoError(t, err, must.Sprint("the caller got nothing within its time limit"))
				res.Body.Close()
				t.Logf("status %d after %v; the upstream saw the close after %v", res.StatusCode, time.Since(c.sent), (<-f.closed).Sub(c.sent))
			})
		}
	}
}

// Guards against callers that leave without an answer while their entry waits for a slot, after an
// engine was given up because its weights expired.
func TestCallerIsAnsweredBeforeItLeavesAfterItsWeightsExpired(t *testing.T) {
	f := suspendAt(beforeHeader)
	w := entryWithStaleEngine(t, f.answer("engine")).resumable(true).withEventTimeout()
	w.relayer.Placer.WeightsBound = callerGap - 200*time.Millisecond
	c := w.call(t, "/draft", "r1", "", "order", "")
	<-f.arrived
	res, err := c.waitAnswer(callerGap)
	t.Logf("the engine saw the close after %v", (<-f.closed).Sub(c.sent))
	must.NoError(t, err, must.Sprint("the caller got nothing before it left"))
	res.Body.Close()
}

// Guards against the same when all slots of an engine are granted just before its VM is suspended.
func TestAllCallersOfASuspendedEngineAreAnsweredBeforeTheyLeave(t *testing.T) {
	f := suspendAt(beforeHeader)
	f.arrived, f.closed, f.bothSuspend = make(chan time.Time, 100), make(chan time.Time, 100), true
	ledgers := []*scheduler.Ledger{openLedger(12), openLedger(12)}
	w := newEngineWorld(t, f.answer("engine"), ledgers...).resumable(true).withEventTimeout()
	answered := make(chan error)
	for i := range 12 {
		c := w.call(t, "/draft/", fmt.Sprintf("r%d", i), "", "order", "")
		<-f.arrived
		go func() {
			res, err := c.waitAnswer(callerGap)
			if err == nil {
				res.Body.Close()
			}
			t.Logf("caller %d answered after %v: %v", i, time.Since(c.sent), err)
			answered <- err
		}()
	}
	for _, l := range ledgers {
		l.Close("frozen")
	}
	without := 0
	for range 12 {
		if <-answered != nil {
			without++
		}
	}
	must.Eq(t, 0, without, must.Sprint("callers that left without an answer"))
}
