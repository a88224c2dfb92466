package connectortest

import (
	"net"
	"slices"
	"sync"
)

// queuedWrites is the number of writes that a connection queues for delivery.
const queuedWrites = 1024

// AsyncConn is a connection whose writes return at once and reach the peer later, in order, like
// writes to a kernel socket. Writers hold locks: if a write slept in virtual time, another goroutine
// that waits for such a lock would keep virtual time from advancing.
type AsyncConn struct {
	net.Conn
	deliver func([]byte) error
	queue   chan []byte
	closed  chan struct{}

	startOnce, closeOnce sync.Once
}

// NewAsyncConn returns a connection that passes written data to deliver. An error of deliver closes
// it.
func NewAsyncConn(conn net.Conn, deliver func([]byte) error) *AsyncConn {
	return &AsyncConn{Conn: conn, deliver: deliver, queue: make(chan []byte, queuedWrites), closed: make(chan struct{})}
}

func (c *AsyncConn) deliverQueue() {
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
	c.startOnce.Do(func() { go c.deliverQueue() })
	select {
	case c.queue <- slices.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. Data not delivered yet is lost.
func (c *AsyncConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
