package messenger

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// MaxMessage is the largest message read, in bytes: a bundle of a megabyte in
	// base64, with what an entry knows of its agents.
	MaxMessage = 16 << 20
	// writeTimeout bounds one write to a peer. A frozen peer (SIGSTOP, a stalled
	// link) fills the socket and would otherwise block the writer for good; the
	// connection is given up instead and made anew.
	writeTimeout = 3 * time.Second
)

// OversizedError reports a message over MaxMessage.
type OversizedError struct {
	Limit int
}

func (e *OversizedError) Error() string { return fmt.Sprintf("message of more than %d bytes", e.Limit) }

// boundedConn sets a deadline before each write and bounds what is read for one
// message. The decoder keeps a message in memory until its end: one without end
// would take all the memory of an entry, and its requests with it.
type boundedConn struct {
	net.Conn
	left   int
	opened time.Time
	// received is how long after opened the last bytes came, in nanoseconds.
	received atomic.Int64
}

// idle is for how long nothing has been received.
func (c *boundedConn) idle() time.Duration {
	return time.Since(c.opened) - time.Duration(c.received.Load())
}

func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, &OversizedError{Limit: MaxMessage}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if n > 0 {
		c.received.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// boundedStream lets the connection give MaxMessage bytes for each message.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
}

func newStream(raw net.Conn) boundedStream {
	c := &boundedConn{Conn: raw, opened: time.Now()}
	return boundedStream{ObjectStream: jsonrpc2.NewPlainObjectStream(c), conn: c}
}

// ReadObject is called by one goroutine of the library only.
func (s boundedStream) ReadObject(v any) error {
	s.conn.left = MaxMessage
	return s.ObjectStream.ReadObject(v)
}
