package hoster

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// listener accepts connections that record whether anything was read on them.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a caller's connection. http.Server still counts it as idle for a moment after reading
// from it.
type conn struct {
	net.Conn
	// hasRead is set if anything was read since the connection became idle.
	hasRead atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hasRead.Store(true)
	}
	return n, err
}

// Write writes to the caller, and has the connection reset if it exceeds the deadline because the caller doesn't read.
// When net/http closes the connection then, the kernel would still deliver the unread data, and a reply without chunks
// or a length would seem complete.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A connection that is closed already needs no reset.
		_ = c.SetLinger(0)
	}
	return n, err
}

// SetLinger allows connector.Reset to reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// idleConnections holds the callers' connections on which no request is being answered. It is safe
// for concurrent use.
type idleConnections struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

// connState tracks a connection's state, as reported by http.Server.
func (i *idleConnections) connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != http.StateIdle {
		delete(i.conns, c)
		return
	}
	if i.conns == nil {
		i.conns = map[*conn]bool{}
	}
	c.hasRead.Store(false)
	i.conns[c] = true
}

// closeUnused closes the connections on which nothing was read or waits to be, and reports whether
// none remain. After a pause of the process, others may have requests that are about to be answered.
func (i *idleConnections) closeUnused() (allClosed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if connector.Reusable(c.Conn) && !c.hasRead.Load() {
			c.Close()
			delete(i.conns, c)
		}
	}
	return len(i.conns) == 0
}
