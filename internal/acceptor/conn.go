package acceptor

import (
	"container/list"
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// state is what a client's connection is used for while no request runs on it.
type state int

const (
	// unused connections have received nothing yet.
	unused state = iota
	// receivingHead connections have received a part of a request's head, of a message or of a TLS handshake.
	receivingHead
	// receivingLargeHead connections use more than ConnectionBytes for it.
	receivingLargeHead
	idle
	// receivingBody connections have received the head of a request and not yet all of its body.
	receivingBody
	states
)

// Conn is a connection of a client. All its methods but those of net.Conn may be called on nil, a connection without limits.
type Conn struct {
	net.Conn
	limits *Limits
	// listener is the one that has accepted the connection.
	listener *Listener
	// handshaking is set while the bytes read belong to a TLS handshake. Only the reader uses it.
	handshaking bool

	// The other fields are guarded by the lock of limits.

	state state
	since time.Time
	// element is the place in listener.closable; nil if a request runs.
	element *list.Element
	// running is the number of running requests.
	running int
	// bytes is the memory counted for the connection, received the cost of what was received since the last request, and
	// lastReceived that of the last read.
	bytes, received, lastReceived int64
	// closing is set once the connection was closed or has to be, and removed once its server has ended it.
	closing, removed bool
}

// ClosedError reports a connection that was closed because its process had no room for it.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "connection closed to stay within the limits" }

// For returns the limited connection that nc is, or on which a TLS connection nc runs; nil if there is none. A TLS
// connection has to be passed before its handshake.
func For(nc net.Conn) *Conn {
	if t, ok := nc.(*tls.Conn); ok {
		c, _ := t.NetConn().(*Conn)
		if c != nil {
			c.handshaking = true
		}
		return c
	}
	c, _ := nc.(*Conn)
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.handshaking && n > 0 {
		if err := c.receive(handshakeByteCost * int64(n)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.limits.remove(c)
	return c.Conn.Close()
}

// isClosing reports whether the connection has to be closed. The caller holds the lock.
func (c *Conn) isClosing() bool { return c != nil && c.closing }

// ReceivedHead counts a part of a request's head. Errors are *ClosedError.
func (c *Conn) ReceivedHead(b []byte) error {
	if c == nil {
		return nil
	}
	return c.receivePlain(headCost(b))
}

// ReceivedBody counts what was read in a buffer of size bytes while a request runs: it may include a part of the next head.
func (c *Conn) ReceivedBody(b []byte, size int) {
	if c == nil {
		return
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	switch {
	case size == 1:
		// http.Server looks for the end of the connection and keeps the byte beside its buffer.
		c.lastReceived += headCost(b)
	case size <= serverBuffer:
		c.lastReceived = headCost(b)
	default:
		c.lastReceived = 0
	}
}

// serverBuffer is the size of the buffer of http.Server, in bytes. Longer reads return nothing but a body.
const serverBuffer = 4 << 10

func (c *Conn) receivePlain(cost int64) error {
	if c.handshaking {
		// The memory of the handshake is free by now.
		c.handshaking = false
		c.limits.mu.Lock()
		c.setReceived(0)
		c.limits.mu.Unlock()
	}
	return c.receive(cost)
}

func (c *Conn) receive(cost int64) error {
	l := c.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == unused || c.state == idle {
		c.enter(receivingHead)
	}
	c.lastReceived = cost
	more := countedCost(c.received+cost) - countedCost(c.received)
	if !l.acquire(more, 0, c) {
		return &ClosedError{}
	}
	c.received += cost
	c.addBytes(more)
	if c.state == receivingHead && c.bytes > ConnectionBytes {
		c.enter(receivingLargeHead)
	}
	return nil
}

// addBytes adds to the memory counted for the connection. The caller holds the lock.
func (c *Conn) addBytes(bytes int64) {
	c.bytes += bytes
	switch {
	case c.closing:
		c.limits.closingBytes += bytes
	case c.element != nil:
		c.limits.closableBytes += bytes
	}
}

// countedCost returns the part of a received cost that isn't part of ConnectionBytes.
func countedCost(received int64) int64 { return max(0, received-includedHeadCost) }

// setReceived sets the cost of what was received. The caller holds the lock.
func (c *Conn) setReceived(cost int64) {
	if c.removed {
		return
	}
	more := countedCost(cost) - countedCost(c.received)
	c.received = cost
	c.addBytes(more)
	c.limits.hold(more)
}

// enter sets the state. The caller holds the lock.
func (c *Conn) enter(s state) {
	if c.closing {
		return
	}
	c.leave()
	c.state, c.since = s, time.Now()
	if c.running == 0 {
		c.element = c.listener.closable[s].PushBack(c)
		c.limits.closableBytes += c.bytes
	}
}

// leave takes the connection out of those that may be closed. The caller holds the lock.
func (c *Conn) leave() {
	if c.element == nil {
		return
	}
	c.listener.closable[c.state].Remove(c.element)
	c.limits.closableBytes -= c.bytes
	c.element = nil
}

// StartBody records that the head of a request was received, and that its body follows. Errors are *ClosedError.
func (c *Conn) StartBody() error {
	if c == nil {
		return nil
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	if c.closing {
		return &ClosedError{}
	}
	c.enter(receivingBody)
	return nil
}

// StartRequest records that a request was received, and keeps the connection open until EndRequest. Errors are *ClosedError.
func (c *Conn) StartRequest() error {
	if c == nil {
		return nil
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	if c.closing {
		return &ClosedError{}
	}
	c.running++
	c.leave()
	return nil
}

// EndRequest records that the connection is idle again.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.running = 0
	// The last read may have returned a part of the next head.
	c.setReceived(c.lastReceived)
	c.enter(idle)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return s.SyscallConn()
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger allows connector.Reset to reset the connection.
func (c *Conn) SetLinger(seconds int) error {
	if s, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return s.SetLinger(seconds)
	}
	return nil
}
