package drainer

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// listener accepts connections that the server tracks.
type listener struct {
	net.Listener
	server *Server
}

func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, socket: nc, limited: acceptor.For(nc), writeTimeout: l.server.WriteTimeout, closing: &l.server.closing, since: time.Now()}
	if t, ok := nc.(*tls.Conn); ok {
		c.socket = t.NetConn()
	}
	l.server.track(c)
	return c, nil
}

// conn is a client's connection. It is closed by its reader if it is unused: only the reader knows that nothing was read.
type conn struct {
	net.Conn
	// socket is the connection itself, or the one below TLS.
	socket net.Conn
	// limited counts what is received; nil without limits.
	limited *acceptor.Conn
	// writeTimeout is that of the server.
	writeTimeout time.Duration
	// closing is that of the server.
	closing *atomic.Bool
	// resets is set if the connection is to be closed with a reset.
	resets atomic.Bool

	mu    sync.Mutex
	state http.ConnState
	// since is when the connection entered its state, or when the first part of a request was read in it.
	since time.Time
	// hasRead is set if anything was read since the connection was opened or became idle. http.Server counts it as
	// idle until it has read a whole header.
	hasRead bool
	// overdue is set if a header was incomplete for too long at the last check.
	overdue bool
	// interrupted is set while the read deadline has passed only to make the reader check for data.
	interrupted bool
	// readDeadline is the deadline that http.Server has set.
	readDeadline time.Time
	// hasWriteDeadline is set while a deadline for writes is set by http.Server or a handler.
	hasWriteDeadline bool
}

func (c *conn) setState(state http.ConnState, now time.Time) {
	if state == http.StateIdle {
		c.limited.EndRequest()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.overdue = state, now, false
	if state == http.StateIdle {
		c.hasRead = false
	}
	c.resume()
}

// closeIfUnused makes the reader of a connection without a request end it.
func (c *conn) closeIfUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case c.state != http.StateNew && c.state != http.StateIdle:
	case c.hasRead:
		if age <= UnreadTimeout || !connector.Reusable(c.socket) {
			return
		}
		// After a stall the reader may not have run yet.
		if c.overdue {
			c.Conn.Close()
		}
		c.overdue = true
	case c.state == http.StateIdle || age > UnreadTimeout:
		c.interrupted = true
		// A connection that is closed already has no reader.
		_ = c.Conn.SetReadDeadline(now)
	}
}

// Read implements net.Conn. For a connection that is to be closed it returns io.EOF if nothing was read and no data waits.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		unused, inRequest := c.endRead(n > 0)
		if n > 0 {
			if limitErr := c.count(b[:n], len(b), inRequest); limitErr != nil {
				// http.Server answers other errors with 400, after which clients don't retry.
				return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: limitErr}
			}
		}
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case unused && connector.Reusable(c.socket):
			return 0, io.EOF
		case !unused:
			return n, err
		}
	}
}

// count counts what was read in a buffer of size bytes. Errors are *acceptor.ClosedError.
func (c *conn) count(b []byte, size int, inRequest bool) error {
	if inRequest {
		c.limited.ReceivedBody(b, size)
		return nil
	}
	return c.limited.ReceivedHead(b)
}

// endRead records a read, and reports whether it was interrupted and the connection is unused, and whether a request runs.
func (c *conn) endRead(received bool) (unused, inRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if received {
		c.overdue = false
	}
	if received && !c.hasRead {
		c.hasRead, c.since = true, time.Now()
	}
	unused = c.interrupted && !c.hasRead
	c.resume()
	return unused, c.state == http.StateActive
}

// resume restores the read deadline of an interrupted connection.
func (c *conn) resume() {
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write writes to the client, and has the connection reset if it exceeds the deadline because the client doesn't read.
// When net/http closes the connection then, the kernel would still deliver the unread data, and a reply without chunks
// or a length would seem complete.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.limitWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A connection that is closed already needs no reset.
		_ = c.SetLinger(0)
	}
	return n, err
}

// limitWrite sets the deadline of a write, unless one is set.
func (c *conn) limitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeTimeout <= 0 || c.hasWriteDeadline {
		return nil
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasWriteDeadline = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

const (
	// lingerTimeout is how long a connection stays open at most until its client has the end of its last reply.
	lingerTimeout = 500 * time.Millisecond
	// lingerInterval is the interval between checks whether it has.
	lingerInterval = time.Millisecond
)

// Close implements net.Conn. It waits until the client has received what was written, as the kernel would drop that if
// the client sends more.
func (c *conn) Close() error {
	if connector.Undelivered(c.socket) {
		c.linger()
	}
	return c.Conn.Close()
}

// linger closes the connection for writing, and waits until the client has received all that was written, or for
// lingerTimeout. It reads nothing: requests that were not read may be sent again.
func (c *conn) linger() {
	if c.isDropped() || c.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTimeout)
	for connector.Undelivered(c.socket) && time.Now().Before(end) && !c.isDropped() {
		time.Sleep(lingerInterval)
	}
}

// isDropped reports whether the connection is to be closed at once.
func (c *conn) isDropped() bool { return c.resets.Load() || c.closing.Load() }

// CloseWrite allows http.Server to end an answer before it has read the whole request.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger allows connector.Reset to reset the connection.
func (c *conn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	if tcp, ok := c.socket.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
