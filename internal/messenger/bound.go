package messenger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
)

const (
	// MaxMessage is the largest message read, in bytes: a bundle of one megabyte in
	// base64, with an entry's state of its agents.
	MaxMessage = 16 << 20
	// minMessage is what a message that is no answer counts at least, in bytes: small ones take as long to handle.
	minMessage = 8 << 10
	// writeTimeout bounds one write to a peer. A suspended peer (SIGSTOP, a stalled
	// link) fills the socket buffer and would otherwise block the writer forever; the
	// connection is closed and replaced instead.
	writeTimeout = 3 * time.Second
)

// OversizedError reports a message larger than MaxMessage, or as many bytes that are no answer to a call.
type OversizedError struct {
	Limit int
}

func (e *OversizedError) Error() string {
	return fmt.Sprintf("more than %d bytes in a message or without an answer", e.Limit)
}

// boundedConn sets a deadline before each write and limits the bytes read for one
// message. The decoder buffers a whole message: one without end would exhaust the
// memory of an entry and abort its requests.
type boundedConn struct {
	net.Conn
	// limited counts what is received; nil without limits.
	limited   *acceptor.Conn
	remaining int
	// unanswered is how many more bytes may be received until an answer to a call. Blanks count too, and a message as
	// minMessage or more.
	unanswered int
	// partial is set once a part of the message was read.
	partial bool
	opened  time.Time
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
	for {
		if c.remaining <= 0 || c.unanswered <= 0 {
			return 0, &OversizedError{Limit: MaxMessage}
		}
		n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
		c.unanswered -= n
		if n > 0 {
			c.lastRead.Store(int64(time.Since(c.opened)))
		}
		if !c.partial {
			// The decoder would buffer blanks without end.
			n = copy(p, bytes.TrimLeft(p[:n], blanks))
		}
		if n == 0 && err == nil && len(p) > 0 {
			continue
		}
		c.partial = c.partial || n > 0
		c.remaining -= n
		if limitErr := c.limited.ReceivedJSON(p[:n]); limitErr != nil {
			return 0, limitErr
		}
		return n, err
	}
}

// blanks are the characters that JSON allows between texts.
const blanks = " \t\r\n"

// boundedStream allows the connection MaxMessage bytes for each message.
type boundedStream struct {
	conn    *boundedConn
	decoder *json.Decoder
	encoder *json.Encoder
}

func newStream(raw net.Conn) *boundedStream {
	c := &boundedConn{Conn: raw, limited: acceptor.For(raw), opened: time.Now(), unanswered: math.MaxInt}
	return &boundedStream{conn: c, decoder: json.NewDecoder(c), encoder: json.NewEncoder(c)}
}

// ReadObject implements jsonrpc2.ObjectStream. The library calls it from one goroutine only.
func (s *boundedStream) ReadObject(v any) error {
	s.conn.remaining = MaxMessage
	s.conn.unanswered -= minMessage
	s.conn.partial = s.pending() > 0
	s.conn.limited.AwaitMessage(s.conn.partial)
	return s.decoder.Decode(v)
}

// WriteObject implements jsonrpc2.ObjectStream. The library calls it from one goroutine at a time.
func (s *boundedStream) WriteObject(v any) error { return s.encoder.Encode(v) }

// Close implements jsonrpc2.ObjectStream.
func (s *boundedStream) Close() error { return s.conn.Close() }

// pending returns how many bytes of the next message were received with the last one.
func (s *boundedStream) pending() int {
	buffered, ok := s.decoder.Buffered().(*bytes.Reader)
	if !ok {
		return 0
	}
	for {
		b, err := buffered.ReadByte()
		if err != nil {
			return 0
		}
		if !strings.ContainsRune(blanks, rune(b)) {
			return buffered.Len() + 1
		}
	}
}
