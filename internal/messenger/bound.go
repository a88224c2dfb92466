package messenger

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// MaxMessage is the largest message read, in bytes: a bundle of one megabyte in
	// base64, with an entry's state of its agents.
	MaxMessage = 16 << 20
	// writeTimeout bounds one write to a peer. A suspended peer (SIGSTOP, a stalled
	// link) fills the socket buffer and would otherwise block the writer forever; the
	// connection is closed and replaced instead.
	writeTimeout = 3 * time.Second
)

// OversizedError reports a message larger than MaxMessage.
type OversizedError struct {
	Limit int
}

func (e *OversizedError) Error() string { return fmt.Sprintf("message of more than %d bytes", e.Limit) }

// boundedConn sets a deadline before each write and limits the bytes read for one
// message. The decoder buffers a whole message: one without end would exhaust the
// memory of an entry and abort its requests.
type boundedConn struct {
	net.Conn
	remaining int
	opened    time.Time
	// lastRead is the time of the last read, in nanoseconds after opened.
	lastRead atomic.Int64
}

// idleTime returns the time since the last read.
func (c *boundedConn) idleTime() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastRead.Load())
}

func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, &OversizedError{Limit: MaxMessage}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// boundedStream allows the connection MaxMessage bytes for each message.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
}

func newStream(raw net.Conn) boundedStream {
	c := &boundedConn{Conn: raw, opened: time.Now()}
	return boundedStream{ObjectStream: jsonrpc2.NewPlainObjectStream(c), conn: c}
}

// ReadObject implements jsonrpc2.ObjectStream. The library calls it from one goroutine only.
func (s boundedStream) ReadObject(v any) error {
	s.conn.remaining = MaxMessage
	return s.ObjectStream.ReadObject(v)
}
