package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// maxCommentBytes limits the comments before the event with which another upstream resumes.
const maxCommentBytes = 64 << 10

// receivedReply is a reply of which nothing has been relayed yet.
type receivedReply struct {
	exchange *exchange
	place    *Placement
	// events reads the stream after start; nil for a plain reply, which continues with body.
	events *bodyreader.EventReader
	body   *bodyreader.Reader
	// sequence is the stream's position after the last event read.
	sequence sequence
	// start is the first event of a stream, or the start of a plain body. endErr is io.EOF if the reply ends with
	// it.
	start  []byte
	endErr error
	// started reports that an event of the stream was read.
	started bool
}

// reception receives the start of a reply. The fields of its call that it uses do not change meanwhile, as a
// hedge runs beside the goroutine of the call.
type reception struct {
	call    *call
	place   *Placement
	message outgoingRequest
	// hedged receptions run beside another attempt.
	hedged bool
	// resuming reports that the reply has to continue a stream of media type mediaType, of which the caller has
	// the part up to sequence.
	resuming  bool
	mediaType string
	sequence  sequence
	// failed reports that an earlier attempt has failed.
	failed bool
	// fresh, headerWithin and stalled are passed on in sendOptions.
	fresh        bool
	headerWithin time.Duration
	stalled      func(*connection) bool
	// conn is the connection on which the request was sent, and started ends the wait for its start; nil before.
	conn    *connection
	started func()
}

func (c *call) newReception(place *Placement) *reception {
	// The upstream may close a kept connection just as the request is sent, and the outcome is then unknown;
	// requests that may run only once use a new one. After such a failure, connections idle as long may be closed
	// too, also at other upstreams: the last attempt, spent on one, would fail the request although all upstreams
	// are healthy.
	r := &reception{call: c, place: place, message: c.message, sequence: c.deliveredSequence(), failed: c.failed, fresh: !c.repeatable() || c.reused}
	send := OutgoingInfo{Upstream: place.Upstream.ID, Left: c.Deadline.Sub(c.Clock.Now()), Version: place.Version, Priority: c.Priority()}
	if c.Workspace != nil {
		send.Workspace = c.Workspace.Name
	}
	if c.stream != nil {
		r.resuming, r.mediaType = true, c.stream.mediaType
		send.LastEvent = c.stream.sequence.lastID
	}
	r.message.header = c.Codec.OutgoingHeader(c.httpRequest.Header, send)
	return r
}

// receive sends the request and reads the start of its reply. Errors are *SendError.
func (r *reception) receive(ctx context.Context) (*receivedReply, error) {
	panicked := true
	defer func() {
		if panicked {
			r.abandon()
		}
	}()
	reply, err := r.sendAndReceive(ctx)
	panicked = false
	return reply, err
}

// abandon releases the connection after a panic.
func (r *reception) abandon() {
	if r.conn != nil {
		r.started()
		r.conn.Close()
	}
}

// sendAndReceive is receive without panic handling.
func (r *reception) sendAndReceive(ctx context.Context) (*receivedReply, error) {
	c, u := r.call, r.place.Upstream
	o := sendOptions{newConnection: r.fresh, headerTimeout: r.headerWithin, maxConnections: c.Placer.connectionLimit(u), keepReading: r.stalled, onOpen: r.authorizeSend}
	x, err := c.Pool.send(ctx, c.Codec, u.ID, u.Address, &r.message, c.ID, o)
	if err != nil {
		return nil, err
	}
	c.recordStatements(u.Upstream, x)
	c.recordReplyPace(r.place, &x.reply)
	if x.reply.Slots > 0 && !c.Route.Generates {
		active := float64(x.reply.Running+x.reply.Waiting) / float64(x.reply.Slots)
		c.Chooser.RecordLoad(u.ID, 0, active)
		c.Placer.recordPlainLoad(&c.Job, &x.reply)
	}
	if err := r.checkUsable(x); err != nil {
		x.abandon()
		return nil, err
	}
	if r.isStream(x) {
		return r.receiveFirstEvent(x)
	}
	return r.receivePlain(ctx, x)
}

// recordStart records the start of a stream with its first event. An engine may send comments while a request waits.
func (r *receivedReply) recordStart(event []byte) {
	if r.started || isComment(event) {
		return
	}
	r.started = true
	r.exchange.onStart()
	r.place.ReportStarted()
}

// isStream reports whether a reply is an event stream. A 200 on a streaming route has to be one.
func (r *reception) isStream(x *exchange) bool {
	status := x.response.StatusCode
	return r.call.Route.Kind == matcher.Streaming &&
		(status == http.StatusOK || status/100 == 2 && x.mediaType() == bodyreader.EventStreamType)
}

// authorizeSend decides whether a request is sent on a connection, and watches for its start.
func (r *reception) authorizeSend(conn *connection) (started func(), err error) {
	// The slot may have been granted, and the connection opened, long ago.
	if err := r.call.Placer.checkWithheld(r.place.Upstream); err != nil {
		return nil, err
	}
	// This entry may have started to shut down meanwhile.
	if err := r.checkTimeLeft(); err != nil {
		return nil, err
	}
	// A part may have been blamed while the request waited for its slot.
	if err := r.call.checkPartsOf(r.call.Request, r.failed); err != nil {
		return nil, err
	}
	r.call.Localizer.RequestSent(r.call.ID, r.call.SharedParts())
	started, err = r.call.closeUnlessStarted(r.place, conn)
	if err != nil {
		return nil, err
	}
	r.conn, r.started = conn, started
	r.logIfStopping()
	return started, nil
}

// setGap limits the wait for the next bytes, unless a hedge or the attempt beside it decides on that.
func (r *reception) setGap(x *exchange, d time.Duration) {
	if !r.hedged && r.call.hedge == nil {
		x.setReadTimeout(d)
	}
}

// receivePlain reads a plain reply whole, or a long one up to maxBufferedReply.
func (r *reception) receivePlain(ctx context.Context, x *exchange) (*receivedReply, error) {
	r.setGap(x, 0)
	body := &bodyreader.Reader{Response: x.response}
	start, ended, err := x.readReplyStart(body)
	if err != nil {
		x.abandon()
		return nil, x.cutError(err)
	}
	reply := &receivedReply{exchange: x, place: r.place, body: body, start: start}
	if !ended {
		return reply, nil
	}
	if err := r.call.checkComplete(ctx, x, r.place); err != nil {
		x.abandon()
		return nil, err
	}
	reply.endErr = io.EOF
	return reply, nil
}

// receiveFirstEvent reads a stream up to the end of its first event. Comments before the event with which another
// upstream resumes are read with it, as they don't show whether it is the right one.
func (r *reception) receiveFirstEvent(x *exchange) (*receivedReply, error) {
	if err := r.sequence.acceptVersion(x.reply.Version); err != nil {
		x.abandon()
		return nil, &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: err}
	}
	events := bodyreader.NewEventReader(x.response, maxEventBytes)
	events.Room = x.acquire
	r.setGap(x, r.place.FirstEventLimit())
	var start []byte
	event, err := events.Next()
	for ; err == nil; event, err = events.Next() {
		if start == nil {
			start = event
		} else {
			start = append(start, event...)
		}
		if err := r.sequence.acceptEvent(event, r.call.Codec.EventVersion(event)); err != nil {
			x.abandon()
			return nil, &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: err}
		}
		if !r.sequence.resuming {
			reply := &receivedReply{exchange: x, place: r.place, events: events, sequence: r.sequence, start: start}
			reply.recordStart(event)
			return reply, nil
		}
		if len(start) > maxCommentBytes {
			x.abandon()
			return nil, x.cutError(&bodyreader.OversizeError{Limit: maxCommentBytes})
		}
	}
	if !errors.Is(err, io.EOF) {
		x.abandon()
		return nil, x.cutError(err)
	}
	if err := r.sequence.acceptEnd(); err != nil {
		x.abandon()
		return nil, &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: err}
	}
	return &receivedReply{exchange: x, place: r.place, events: events, sequence: r.sequence, start: append(start, event...), endErr: err}, nil
}

// checkUsable checks a reply's header: refusals and replies without the upstream's proof are not answers.
func (r *reception) checkUsable(x *exchange) error {
	status := x.response.StatusCode
	if x.reply.NotRun {
		return &SendError{Upstream: x.upstream, Outcome: retrier.NotRun, Status: status, Stated: x.reply.Stated,
			Err: &UnusableError{Problem: fmt.Sprintf("refused with status %d", status)}}
	}
	if !x.reply.Sealed || x.reply.ID != r.call.ID {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("status %d without proof of its origin", status)}}
	}
	if r.resuming && status != http.StatusOK {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("status %d for the rest of a stream", status)}}
	}
	if kind := x.mediaType(); r.resuming && kind != r.mediaType {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("reply of type %q for the rest of a stream of type %q", kind, r.mediaType)}}
	}
	if x.response.Header.Get("Content-Encoding") != "" {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: "reply with an encoding nobody asked for"}}
	}
	// Whether a hedge's failure matters depends on the attempt beside it.
	if !r.hedged && r.call.canRetry() {
		if err := x.serverError(); err != nil {
			return err
		}
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		// Passed on, these would promise that the request never ran.
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("status %d that promises nothing", status)}}
	}
	return nil
}
