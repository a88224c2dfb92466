package relayer

import (
	"bytes"
	"context"
	"fmt"
	"mime"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// maxStrays is how many replies to other requests are read past before the
// connection is given up.
const maxStrays = 2

// usualHead is the size of most requests' heads, in bytes.
const usualHead = 1 << 10

// smallMessage is up to which size, in bytes, a request is written at once: the
// kernel takes that much even from a peer that reads nothing.
const smallMessage = 32 << 10

// SendError reports an attempt without a usable reply.
type SendError struct {
	Upstream string
	// Outcome is what is known of whether the request ran.
	Outcome retrier.Outcome
	// Reused tells that the connection had been idle before.
	Reused bool
	// Status is the upstream's own, when it refused; 0 otherwise. Stated is what it said of itself
	// then.
	Status int
	Stated observer.Statements
	// Silence is how long nothing had come from the upstream when the attempt failed.
	Silence time.Duration
	Err     error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("upstream %s: %v (%v)", e.Upstream, e.Err, e.Outcome)
}

func (e *SendError) Unwrap() error { return e.Err }

// message is a request as it goes out.
type message struct {
	method, target, host string
	header               http.Header
	body                 []byte
	// hasBody tells a body without bytes from none.
	hasBody bool
	// account holds the body's memory.
	account *account
}

// encodeHead gives the bytes of a request up to its body. The target is the caller's, byte for byte:
// net/url would clean it up.
func (m *message) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(usualHead)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.target, m.host)
	// Writing to a buffer does not fail.
	_ = m.header.Write(&b)
	if m.hasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// exchange is one request under way at an upstream, with its reply's header read.
type exchange struct {
	pool     *Pool
	upstream string
	conn     *connection
	response *http.Response
	reply    Reply
	// written is closed once the request is sent whole.
	written chan struct{}
	// sentAt is when the sending began.
	sentAt time.Time
	stop   func() bool
	// begun is called once the request has begun, or is over.
	begun func()
	// account is the request's memory, of which the reply has kept.
	account *account
	kept    atomic.Int64
}

// sendOptions tell how one attempt is made.
type sendOptions struct {
	// fresh asks for a new connection.
	fresh bool
	// headerWithin is how long the reply's header may take; 0 for no limit of its own.
	headerWithin time.Duration
	// connections is how many this entry may have at the upstream; 0 for any.
	connections int
	// stalled decides whether to read on when nothing has come for too long; nil gives up.
	stalled func(*connection) bool
	// opened is called with the connection before the request is sent; what it returns is called
	// once the request has begun, or is over. Nil for neither. Its error keeps the request from
	// being sent.
	opened func(*connection) (begun func(), err error)
}

// send starts an exchange. It never sends a request twice: net/http's transport
// does so by itself when a connection breaks, and a booking would be made twice.
// Errors are *SendError.
func (p *Pool) send(ctx context.Context, codec Codec, upstream string, a netip.AddrPort, m *message, id string, o sendOptions) (*exchange, error) {
	conn, err := p.get(ctx, upstream, a, o.fresh, o.connections)
	if err != nil {
		// Without a connection nothing was sent.
		return nil, &SendError{Upstream: upstream, Outcome: retrier.NotRun, Err: err}
	}
	x := &exchange{pool: p, upstream: upstream, conn: conn, written: make(chan struct{}), begun: func() {}, account: m.account}
	if o.opened != nil {
		begun, err := o.opened(conn)
		if err != nil {
			conn.Close()
			return nil, &SendError{Upstream: upstream, Outcome: retrier.NotRun, Err: err}
		}
		x.begun = begun
	}
	if o.stalled != nil {
		conn.stalled = func() bool { return o.stalled(conn) }
	}
	// A caller that leaves or a deadline that passes ends the upstream's work too.
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		// Closing beside the write comes too late to keep the request from the upstream.
		x.abandon()
		return nil, &SendError{Upstream: upstream, Outcome: retrier.NotRun, Err: &UnsentError{Err: ctx.Err()}}
	}
	conn.lastRead = time.Now()
	x.sentAt = conn.lastRead
	if err := x.write(m); err != nil {
		x.abandon()
		return nil, x.failed(err)
	}
	if o.headerWithin > 0 {
		x.setGap(o.headerWithin)
	}
	if err := x.readHeader(codec, m.method, id); err != nil {
		x.abandon()
		return nil, x.failed(err)
	}
	return x, nil
}

// UnsentError reports a request that had a connection and was not sent, as nobody waits for it.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

func (e *UnsentError) Unwrap() error { return e.Err }

func (x *exchange) failed(err error) error {
	return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Reused: x.conn.reused, Silence: x.silence(), Err: x.conn.reason(err)}
}

// cutError reports a reply that broke off after its header.
func (x *exchange) cutError(err error) error {
	return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Silence: x.silence(), Err: x.conn.reason(err)}
}

func (x *exchange) silence() time.Duration { return time.Since(x.conn.lastRead) }

// write sends the request. A long one is sent beside the reading of the reply: an
// upstream may refuse it before it has read the whole, and both sides would wait
// for each other. Its body isn't copied, and its memory is held until the writing has ended, which the end of the
// exchange sees to by closing the connection.
func (x *exchange) write(m *message) error {
	head, body := m.encodeHead(), m.body
	if len(head)+len(body) <= smallMessage {
		_, err := x.conn.Write(append(head, body...))
		close(x.written)
		return err
	}
	x.account.addUser()
	go func() {
		defer x.account.close()
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(body)
		}
		if err == nil {
			close(x.written)
		}
	}()
	return nil
}

// StrayError reports a reply to some other request.
type StrayError struct{ Got, Want string }

func (e *StrayError) Error() string { return fmt.Sprintf("reply to %q, want %q", e.Got, e.Want) }

// readHeader reads up to the header of the reply to this request. Late and extra
// replies to earlier ones on the same connection are read past: handed on, they
// would give a caller someone else's answer.
func (x *exchange) readHeader(codec Codec, method, id string) error {
	for strays := 0; ; strays++ {
		//nolint:bodyclose // the connection itself is closed, or kept once the body was read
		res, err := x.conn.reader.Next(method)
		if err != nil {
			return err
		}
		reply := codec.Reply(res.StatusCode, res.Header)
		if reply.ID == id || reply.ID == "" && !reply.Sealed {
			x.response, x.reply = res, reply
			return nil
		}
		if strays == maxStrays {
			return &StrayError{Got: reply.ID, Want: id}
		}
		if err := x.conn.reader.Skip(res); err != nil {
			return err
		}
	}
}

// setGap bounds the wait for the next bytes; 0 takes the bound off.
func (x *exchange) setGap(d time.Duration) {
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d)
	}
	// A connection that is closed meanwhile fails at the next read.
	_ = x.conn.SetReadDeadline(t)
}

// finish ends an exchange whose body was read to its end. The connection is used
// again only if nothing is left on it.
func (x *exchange) finish() {
	x.begun()
	x.releaseMemory()
	if !x.stop() {
		return
	}
	if x.response.Close || x.framing() == bodyreader.ByConnection || !x.sent() || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.pool.put(x.upstream, x.conn, x.reply.Idle)
}

func (x *exchange) framing() bodyreader.Framing { return bodyreader.FramingOf(x.response) }

// mediaType is that of the reply, without parameters; empty if there is none.
func (x *exchange) mediaType() string {
	kind, _, err := mime.ParseMediaType(x.response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return kind
}

func (x *exchange) sent() bool {
	select {
	case <-x.written:
		return true
	default:
		return false
	}
}

// abandon closes the connection, so that the upstream drops the request.
func (x *exchange) abandon() {
	x.begun()
	x.releaseMemory()
	x.stop()
	x.conn.Close()
}
