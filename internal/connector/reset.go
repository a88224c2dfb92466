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

// resetConn is the connection that KeepResets returns. The kernel reports a reset once; the next read returns EOF, and
// a body that ends with its connection would look whole.
type resetConn struct {
	// Conn hides the methods of *net.TCPConn with which io.Copy would bypass Read and Write.
	net.Conn
	tcp *net.TCPConn
	// writeMu is locked during a write.
	writeMu   sync.Mutex
	resetSeen atomic.Bool
}

// KeepResets returns a connection that reports a reset to its readers even if a write got that error first. It returns
// c itself unless that is a TCP connection.
func KeepResets(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &resetConn{Conn: tcp, tcp: tcp}
}

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) {
		c.resetSeen.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// wasReset reports whether a write returned a reset.
func (c *resetConn) wasReset() bool {
	if !c.isClosed() {
		return false
	}
	// A write in progress fails at once, as the connection is closed.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.resetSeen.Load()
}

// IsClosed reports whether a connection returned by KeepResets is closed in both directions; false for any other.
func IsClosed(c net.Conn) bool {
	tcp, ok := c.(*resetConn)
	return ok && tcp.isClosed()
}

// isClosed reports whether the connection is closed in both directions, as after a reset, or by this process. A
// connection that only the peer has closed can still be written to.
func (c *resetConn) isClosed() bool {
	closed := true
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return closed
	}
	// An error means that this process has closed the connection.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return closed
}

// Reset closes a connection with a reset, so that its peer can't mistake that for a regular end. Other connections
// than TCP are just closed.
func Reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is already closed needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
