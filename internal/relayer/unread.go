package relayer

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
)

const (
	// unreadCheckInterval is the pause between two checks of a blocked write to a caller, which counts as not
	// reading after unreadChecks of them. Counting keeps a suspension of this process from being taken for a
	// caller's pause: it finds one check due.
	unreadCheckInterval = 250 * time.Millisecond
	unreadChecks        = 4
	// unreadWindow is how long after a blocked write a cut of the reply is the caller's fault: upstreams cut
	// replies that callers don't read, and data that arrived before is read before the cut is seen.
	unreadWindow = 3 * time.Second
	// writeMargin is how long after a request's deadline writes to its caller may last, and the minimum time for
	// any write: the final answer is sent shortly before the deadline, and late if this process was suspended.
	writeMargin = 500 * time.Millisecond
)

// UnreadError reports a reply that its upstream cut while the caller didn't read it.
type UnreadError struct {
	// Cut is the error of the reply. It isn't unwrapped, as it is not a failure of the upstream.
	Cut error
}

func (e *UnreadError) Error() string { return fmt.Sprintf("caller doesn't read: %v", e.Cut) }

// callerWriter writes to a caller and watches for writes that block. Set the embedded field before use.
type callerWriter struct {
	http.ResponseWriter
	// source is the connection from which the reply is read; nil for none.
	source atomic.Pointer[connection]

	// deadline is the deadline of writes.
	deadline time.Time

	mu      sync.Mutex
	timer   *time.Timer
	writing bool
	checks  int
	// unreadAt is when a write was last found blocked for unreadChecks.
	unreadAt time.Time
}

// Unwrap is for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	w.startWrite()
	defer w.endWrite()
	return w.ResponseWriter.Write(b)
}

// FlushError is for http.ResponseController.
func (w *callerWriter) FlushError() error {
	w.startWrite()
	defer w.endWrite()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// setTimeLimit limits writes, which block while the caller doesn't read, to the time that the caller still waits.
func (w *callerWriter) setTimeLimit(left time.Duration) {
	w.deadline = time.Now().Add(left + writeMargin)
	// ResponseWriters without deadlines, as in tests, return an error.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.deadline)
}

func (w *callerWriter) startWrite() {
	if time.Until(w.deadline) < writeMargin {
		w.setTimeLimit(0)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.checks = true, 0
	if w.timer == nil {
		w.timer = time.AfterFunc(unreadCheckInterval, w.checkBlocked)
		return
	}
	w.timer.Reset(unreadCheckInterval)
}

func (w *callerWriter) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.recordBlocked()
	w.writing = false
}

// recordBlocked records a write that has been blocked for long.
func (w *callerWriter) recordBlocked() (blocked bool) {
	if blocked = w.checks >= unreadChecks; blocked {
		w.unreadAt = time.Now()
	}
	return blocked
}

// checkBlocked ends the write of a reply that its upstream has cut while the caller doesn't read. Otherwise the
// slot would be held until the deadline.
func (w *callerWriter) checkBlocked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.writing {
		return
	}
	w.checks++
	source := w.source.Load()
	if w.recordBlocked() && source != nil && connector.IsClosed(source.Conn) {
		// It fails for a connection that is closed already, whose write ends by itself.
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now())
		return
	}
	w.timer.Reset(unreadCheckInterval)
}

// recentlyUnread reports whether the caller doesn't read, or recently didn't.
func (w *callerWriter) recentlyUnread() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unreadAt.IsZero() && time.Since(w.unreadAt) < unreadWindow
}

// wrapUnread marks the cut of a reply that the caller does not read.
func (c *call) wrapUnread(err error) error {
	var s *SendError
	if !c.writer.recentlyUnread() || !isConnectionCut(err) || !errors.As(err, &s) {
		return err
	}
	return &SendError{Upstream: s.Upstream, Outcome: s.Outcome, Silence: s.Silence, Err: &UnreadError{Cut: s.Err}}
}

func isUnread(err error) bool {
	var unread *UnreadError
	return errors.As(err, &unread)
}

// endUnread ends a request whose caller doesn't read its reply. The connection is reset, as after a close the
// kernel would keep the unread data.
func (c *call) endUnread(err error, more ...any) {
	c.count("unread")
	c.log("Caller doesn't read", err, more...)
	if c.status == 0 {
		c.writeError(http.StatusBadGateway, "request cut", 0)
		return
	}
	c.resetConnection()
	panic(http.ErrAbortHandler)
}

// endPartial ends a plain reply of which a part was sent, as its upstream or its caller has broken off.
func (c *call) endPartial(x *exchange, timeout, err error) {
	x.abandon()
	var cut *bodyreader.CutError
	fields := []any{"upstream", x.upstream, "status", c.status, "silence", x.sinceLastRead()}
	switch {
	case c.writer.recentlyUnread():
		c.endUnread(err, fields...)
	case errors.As(err, &cut) && c.httpRequest.Context().Err() == nil:
		c.count("cut")
		c.log("Reply cut", errors.Join(err, timeout), fields...)
	default:
		c.count("left")
		c.log("Caller left", err, fields[:4]...)
	}
	c.abortReply()
}
