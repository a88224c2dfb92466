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

// listener makes connections that tell what was read on them.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a caller's connection. http.Server counts it as idle still for a moment after it has read
// from it.
type conn struct {
	net.Conn
	// read tells that something was read since the connection became idle.
	read atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Store(true)
	}
	return n, err
}

// Write writes to the caller. When a deadline ends a write to one that doesn't read, net/http closes the connection: the
// kernel would keep what is unread, and a reply without chunks or a length would end as if it were whole.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A connection that is over already needs no reset.
		_ = c.SetLinger(0)
	}
	return n, err
}

// SetLinger has connector.Reset reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// idle are the callers' connections on which no request is being answered. It is safe for
// concurrent use.
type idle struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

// note follows a connection's state, as http.Server tells it.
func (i *idle) note(nc net.Conn, s http.ConnState) {
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
	c.read.Store(false)
	i.conns[c] = true
}

// closeQuiet closes the connections on which nothing was read nor waits to be, and tells whether
// these were all. A process that stood still has requests on others, and is about to answer them.
func (i *idle) closeQuiet() (all bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if connector.Reusable(c.Conn) && !c.read.Load() {
			c.Close()
			delete(i.conns, c)
		}
	}
	return len(i.conns) == 0
}
