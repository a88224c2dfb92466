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
	// unreadLook is the pause between two looks at a blocked write to a caller, unreadLooks after how many of them
	// the caller doesn't read. They are counted, as a process that was stopped would take its own pause for the
	// caller's; it finds one look due.
	unreadLook  = 250 * time.Millisecond
	unreadLooks = 4
	// unreadFor is for how long after a blocked write a cut of the reply is the caller's fault: upstreams cut replies
	// that nobody reads, and what had come by then is read before the cut shows.
	unreadFor = 3 * time.Second
	// writeMargin is how much after a request's deadline its caller may still be written to, and how long any write
	// may take at least: the final answer goes out shortly before the deadline, and late where this process stood
	// still.
	writeMargin = 500 * time.Millisecond
)

// UnreadError reports a reply that its upstream cut while the caller didn't read it.
type UnreadError struct {
	// Cut is how the reply broke off. It isn't unwrapped, as it is no failure of the upstream.
	Cut error
}

func (e *UnreadError) Error() string { return fmt.Sprintf("caller doesn't read: %v", e.Cut) }

// callerWriter writes to a caller and looks at writes that block. Set the embedded field before use.
type callerWriter struct {
	http.ResponseWriter
	// from is the connection on which the reply comes; nil for none.
	from atomic.Pointer[connection]

	// until is the deadline of writes.
	until time.Time

	mu      sync.Mutex
	timer   *time.Timer
	writing bool
	looks   int
	// unreadAt is when a write was last seen blocked for unreadLooks.
	unreadAt time.Time
}

// Unwrap is for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	w.begin()
	defer w.end()
	return w.ResponseWriter.Write(b)
}

// FlushError is for http.ResponseController.
func (w *callerWriter) FlushError() error {
	w.begin()
	defer w.end()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// limit bounds writes, which block for as long as the caller doesn't read, to the time that it still waits.
func (w *callerWriter) limit(left time.Duration) {
	w.until = time.Now().Add(left + writeMargin)
	// A writer without deadlines, as in tests, says so by an error.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.until)
}

func (w *callerWriter) begin() {
	if time.Until(w.until) < writeMargin {
		w.limit(0)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.looks = true, 0
	if w.timer == nil {
		w.timer = time.AfterFunc(unreadLook, w.look)
		return
	}
	w.timer.Reset(unreadLook)
}

func (w *callerWriter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.note()
	w.writing = false
}

// note notes a write that has been blocked for long.
func (w *callerWriter) note() (blocked bool) {
	if blocked = w.looks >= unreadLooks; blocked {
		w.unreadAt = time.Now()
	}
	return blocked
}

// look ends the writing of a reply that its upstream has cut while the caller doesn't read. Else the caller and its
// slot would wait for each other until the deadline.
func (w *callerWriter) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.writing {
		return
	}
	w.looks++
	from := w.from.Load()
	if w.note() && from != nil && connector.IsClosed(from.Conn) {
		// It fails for a connection that is closed already, whose write ends by itself.
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now())
		return
	}
	w.timer.Reset(unreadLook)
}

// unread tells whether the caller doesn't read, or lately didn't.
func (w *callerWriter) unread() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unreadAt.IsZero() && time.Since(w.unreadAt) < unreadFor
}

// unreadError tells a cut of a reply that the caller doesn't read from other errors.
func (c *call) unreadError(err error) error {
	var s *SendError
	if !c.out.unread() || !isCut(err) || !errors.As(err, &s) {
		return err
	}
	return &SendError{Upstream: s.Upstream, Outcome: s.Outcome, Silence: s.Silence, Err: &UnreadError{Cut: s.Err}}
}

func isUnread(err error) bool {
	var unread *UnreadError
	return errors.As(err, &unread)
}

// endUnread ends a request whose caller doesn't read its reply. The connection is reset: closed, the kernel would keep
// what the caller hasn't read.
func (c *call) endUnread(err error, more ...any) {
	c.count("unread")
	c.log("Caller doesn't read", err, more...)
	if c.status == 0 {
		c.send(http.StatusBadGateway, "request cut", 0)
		return
	}
	c.resetConnection()
	panic(http.ErrAbortHandler)
}

// endEarly ends a plain reply of which a part has gone out, as its upstream or its caller has broken off.
func (c *call) endEarly(x *exchange, timeout, err error) {
	x.abandon()
	var cut *bodyreader.CutError
	fields := []any{"upstream", x.upstream, "status", c.status, "silence", x.silence()}
	switch {
	case c.out.unread():
		c.endUnread(err, fields...)
	case errors.As(err, &cut) && c.r.Context().Err() == nil:
		c.count("cut")
		c.log("Reply cut", errors.Join(err, timeout), fields...)
	default:
		c.count("left")
		c.log("Caller left", err, fields[:4]...)
	}
	c.cutReply()
}
