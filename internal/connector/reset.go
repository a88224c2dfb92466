package connector

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is a TCP connection as KeepResets describes. The kernel reports a reset once; the next read gives EOF, and
// a body that ends with its connection would look whole.
type conn struct {
	// Conn hides the methods of *net.TCPConn by which io.Copy would pass Read and Write by.
	net.Conn
	tcp *net.TCPConn
	// writing is held while a write is under way.
	writing sync.Mutex
	reset   atomic.Bool
}

// KeepResets gives a connection that reports a reset to its readers even if a write learned of it. One that
// isn't of TCP stays as it is.
func KeepResets(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &conn{Conn: tcp, tcp: tcp}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// wasReset tells whether a write learned of a reset.
func (c *conn) wasReset() bool {
	if !c.over() {
		return false
	}
	// A write that is under way fails at once, as the connection is over.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset.Load()
}

// Over tells whether a connection that KeepResets has given is over in both directions; false for any other.
func Over(c net.Conn) bool {
	kept, ok := c.(*conn)
	return ok && kept.over()
}

// over tells whether the connection is over in both directions, as after a reset, or closed here. One that only
// the peer has closed can still be written to.
func (c *conn) over() bool {
	over := true
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return over
	}
	// An error tells that the connection is closed here.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		over = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return over
}

// Reset closes a connection with a reset, so that its peer can't take the end for a regular one. One that isn't
// of TCP is just closed.
func Reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// One that is over already needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
