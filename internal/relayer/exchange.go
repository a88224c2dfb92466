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

// maxStrayReplies is how many replies to other requests are skipped before the connection is closed.
const maxStrayReplies = 2

// typicalHeadSize is the size of most requests' heads, in bytes.
const typicalHeadSize = 1 << 10

// maxSyncWriteSize is the size in bytes up to which a request is written in one call: the kernel buffers that
// much even if the peer reads nothing.
const maxSyncWriteSize = 32 << 10

// SendError reports an attempt without a usable reply.
type SendError struct {
	Upstream string
	// Outcome states whether the request ran, as far as that is known.
	Outcome retrier.Outcome
	// Reused reports that the connection had been idle before.
	Reused bool
	// Status is the upstream's own status if it refused, else 0. Stated is what the upstream stated about itself
	// then.
	Status int
	Stated observer.Statements
	// Silence is how long the upstream had sent nothing when the attempt failed.
	Silence time.Duration
	Err     error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("upstream %s: %v (%v)", e.Upstream, e.Err, e.Outcome)
}

func (e *SendError) Unwrap() error { return e.Err }

// outgoingRequest is a request as it is sent to an upstream.
type outgoingRequest struct {
	method, target, host string
	header               http.Header
	body                 []byte
	// hasBody distinguishes an empty body from none.
	hasBody bool
	// account accounts for the body's memory.
	account *account
}

// encodeHead encodes a request up to its body. The target is the caller's, byte for byte, as net/url would
// normalize it.
func (m *outgoingRequest) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(typicalHeadSize)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.target, m.host)
	// Writing to a buffer does not fail.
	_ = m.header.Write(&b)
	if m.hasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// exchange is one request in progress at an upstream, with its reply's header read.
type exchange struct {
	pool     *Pool
	upstream string
	conn     *connection
	response *http.Response
	reply    Reply
	// written is closed once the whole request is sent.
	written chan struct{}
	// sentAt is when sending started.
	sentAt          time.Time
	stopCancelWatch func() bool
	// onStart is called once the request has started or is over.
	onStart func()
	// account is the request's memory, retainedBytes the reply's part of it.
	account       *account
	retainedBytes atomic.Int64
}

// sendOptions configure one attempt.
type sendOptions struct {
	// newConnection forces a new connection.
	newConnection bool
	// headerTimeout is how long the reply's header may take; 0 for no limit of its own.
	headerTimeout time.Duration
	// maxConnections is how many this entry may have at the upstream; 0 for any.
	maxConnections int
	// keepReading decides whether to read on when nothing has arrived for too long; nil gives up.
	keepReading func(*connection) bool
	// onOpen is called with the connection before the request is sent; the function it returns is called once
	// the request has started or is over. An error keeps the request from being sent. Nil for neither.
	onOpen func(*connection) (onStart func(), err error)
}

// send starts an exchange. It never sends a request twice: net/http's transport does so by itself when a
// connection breaks, and a booking would be made twice. Errors are *SendError.
func (p *Pool) send(ctx context.Context, codec Codec, upstream string, a netip.AddrPort, m *outgoingRequest, id string, o sendOptions) (*exchange, error) {
	conn, err := p.acquire(ctx, upstream, a, o.newConnection, o.maxConnections)
	if err != nil {
		// Without a connection nothing was sent.
		return nil, &SendError{Upstream: upstream, Outcome: retrier.NotRun, Err: err}
	}
	x := &exchange{pool: p, upstream: upstream, conn: conn, written: make(chan struct{}), onStart: func() {}, account: m.account}
	if o.onOpen != nil {
		onStart, err := o.onOpen(conn)
		if err != nil {
			conn.Close()
			return nil, &SendError{Upstream: upstream, Outcome: retrier.NotRun, Err: err}
		}
		x.onStart = onStart
	}
	if o.keepReading != nil {
		conn.keepReading = func() bool { return o.keepReading(conn) }
	}
	// A caller that leaves or a deadline that passes ends the upstream's work too.
	x.stopCancelWatch = context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		// Closing the connection during the write is too late to keep the request from the upstream.
		x.abandon()
		return nil, &SendError{Upstream: upstream, Outcome: retrier.NotRun, Err: &UnsentError{Err: ctx.Err()}}
	}
	conn.lastRead = time.Now()
	x.sentAt = conn.lastRead
	if err := x.write(m); err != nil {
		x.abandon()
		return nil, x.requestError(err)
	}
	if o.headerTimeout > 0 {
		x.setReadTimeout(o.headerTimeout)
	}
	if err := x.readHeader(codec, m.method, id); err != nil {
		x.abandon()
		return nil, x.requestError(err)
	}
	return x, nil
}

// UnsentError reports a request that had a connection and was not sent because its context had ended.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

func (e *UnsentError) Unwrap() error { return e.Err }

func (x *exchange) requestError(err error) error {
	return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Reused: x.conn.reused, Silence: x.sinceLastRead(), Err: x.conn.errorCause(err)}
}

// cutError returns the error for a reply that broke off after its header.
func (x *exchange) cutError(err error) error {
	return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Silence: x.sinceLastRead(), Err: x.conn.errorCause(err)}
}

func (x *exchange) sinceLastRead() time.Duration { return time.Since(x.conn.lastRead) }

// write sends the request. A long one is sent while the reply is read: an upstream may refuse it before reading
// all of it, and both sides would wait for each other. The body isn't copied. Its memory is held until writing
// has ended, which the end of the exchange ensures by closing the connection.
func (x *exchange) write(m *outgoingRequest) error {
	head, body := m.encodeHead(), m.body
	if len(head)+len(body) <= maxSyncWriteSize {
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

// StrayReplyError reports a reply to another request after which none to this one can be read.
type StrayReplyError struct{ Got, Want string }

func (e *StrayReplyError) Error() string { return fmt.Sprintf("reply to %q, want %q", e.Got, e.Want) }

// readHeader reads up to the header of the reply to this request. It skips late and extra replies to earlier
// requests on the connection: passed on, they would give a caller another caller's answer.
func (x *exchange) readHeader(codec Codec, method, id string) error {
	for strays := 0; ; strays++ {
		//nolint:bodyclose // the connection itself is closed, or kept once the body was read
		res, err := x.conn.reader.Next(method)
		if err != nil {
			return err
		}
		reply := codec.ParseReply(res.StatusCode, res.Header)
		if reply.ID == id || reply.ID == "" && !reply.Sealed {
			x.response, x.reply = res, reply
			return nil
		}
		if strays == maxStrayReplies || !endIsKnown(res, method) {
			return &StrayReplyError{Got: reply.ID, Want: id}
		}
		if err := x.conn.reader.Skip(res); err != nil {
			return err
		}
	}
}

// endIsKnown reports whether it is known where a reply to another request ends. Beyond that its body may look like a reply
// to this one.
func endIsKnown(res *http.Response, method string) bool {
	status, length := res.StatusCode, res.Header.Get("Content-Length")
	hasNoBody := status == http.StatusNoContent || status == http.StatusNotModified
	if len(res.TransferEncoding) == 0 && (length == "0" || length == "" && hasNoBody) {
		return true
	}
	// net/http reads no body after these, but the request of a stray reply may have had another method.
	if hasNoBody || method == http.MethodHead {
		return false
	}
	return bodyreader.FramingOf(res) != bodyreader.ByConnection
}

// setReadTimeout limits the wait for the next bytes; 0 removes the limit.
func (x *exchange) setReadTimeout(d time.Duration) {
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d)
	}
	// A connection that is closed in the meantime fails at the next read.
	_ = x.conn.SetReadDeadline(t)
}

// finish ends an exchange whose body was read to its end. The connection is reused only if nothing is left on
// it.
func (x *exchange) finish() {
	x.onStart()
	x.releaseMemory()
	if !x.stopCancelWatch() {
		return
	}
	if x.response.Close || x.framing() == bodyreader.ByConnection || !x.fullySent() || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.pool.put(x.upstream, x.conn, x.reply.Idle)
}

func (x *exchange) framing() bodyreader.Framing { return bodyreader.FramingOf(x.response) }

// mediaType is the media type of the reply without parameters; empty if there is none.
func (x *exchange) mediaType() string {
	kind, _, err := mime.ParseMediaType(x.response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return kind
}

func (x *exchange) fullySent() bool {
	select {
	case <-x.written:
		return true
	default:
		return false
	}
}

// abandon closes the connection, so that the upstream drops the request.
func (x *exchange) abandon() {
	x.onStart()
	x.releaseMemory()
	x.stopCancelWatch()
	x.conn.Close()
}
