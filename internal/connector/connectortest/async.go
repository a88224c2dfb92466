package connectortest

import (
	"net"
	"slices"
	"sync"
)

// queuedWrites is how many writes a connection takes before its peer has got them.
const queuedWrites = 1024

// AsyncConn is a connection whose writes return at once and reach the peer later, in order, as those
// to a kernel do. Writers hold locks: if a write slept in virtual time, that would stand still as
// soon as somebody else waits for such a lock.
type AsyncConn struct {
	net.Conn
	deliver func([]byte) error
	queue   chan []byte
	closed  chan struct{}

	start, end sync.Once
}

// NewAsyncConn makes a connection that hands what is written to deliver. An error of deliver closes
// it.
func NewAsyncConn(conn net.Conn, deliver func([]byte) error) *AsyncConn {
	return &AsyncConn{Conn: conn, deliver: deliver, queue: make(chan []byte, queuedWrites), closed: make(chan struct{})}
}

func (c *AsyncConn) run() {
	for {
		select {
		case b := <-c.queue:
			if c.deliver(b) != nil {
				_ = c.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// Write implements net.Conn.
func (c *AsyncConn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.start.Do(func() { go c.run() })
	select {
	case c.queue <- slices.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. What has not reached the peer is lost.
func (c *AsyncConn) Close() error {
	c.end.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
