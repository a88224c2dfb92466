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

// maxComments bounds the comments before the event with which another upstream goes on, in bytes.
const maxComments = 64 << 10

// receivedReply is a reply of which nothing has been handed on so far.
type receivedReply struct {
	x     *exchange
	place *Place
	// events are those of a stream behind start; nil for a plain reply, which goes on with body.
	events *bodyreader.EventReader
	body   *bodyreader.Reader
	// sequence is how far a stream has come with the last event read.
	sequence sequence
	// start is the first event of a stream, or the start of a plain body. End is io.EOF if the reply ends with it.
	start []byte
	end   error
}

// reception gets the beginning of a reply. What it uses of its call doesn't change while it is under way, as a
// hedge's runs beside the call's own goroutine.
type reception struct {
	c       *call
	place   *Place
	message message
	// hedged receptions run beside another attempt.
	hedged bool
	// resumes tells that the reply is to go on with a stream that has begun as one of a media type, sequence how
	// far the caller has it.
	resumes   bool
	mediaType string
	sequence  sequence
	// failed tells that an attempt has failed before.
	failed bool
	// fresh, headerWithin and stalled are those of sendOptions.
	fresh        bool
	headerWithin time.Duration
	stalled      func(*connection) bool
	// conn is the connection on which the request was sent, and begun ends the wait for its begin; nil before.
	conn  *connection
	begun func()
}

func (c *call) newReception(place *Place) *reception {
	// A kept connection may be closed by the upstream just as the request is sent,
	// and its end is then unknown; what may run only once goes on a new one. Where that has
	// happened, others that rested as long may be gone as well, at other upstreams too: the
	// last attempt spent on one of them would end the request although all upstreams are well.
	r := &reception{c: c, place: place, message: c.message, sequence: c.sequence(), failed: c.failed, fresh: !c.repeatable() || c.reused}
	send := Send{Upstream: place.Upstream.ID, Left: c.Deadline.Sub(c.Clock.Now()), Version: place.Version, Priority: c.Priority()}
	if c.Workspace != nil {
		send.Workspace = c.Workspace.Name
	}
	if c.stream != nil {
		r.resumes, r.mediaType = true, c.stream.mediaType
		send.LastEvent = c.stream.sequence.last
	}
	r.message.header = c.Codec.Outgoing(c.r.Header, send)
	return r
}

// receive sends the request and reads the beginning of its reply. Errors are *SendError.
func (r *reception) receive(ctx context.Context) (*receivedReply, error) {
	panicked := true
	defer func() {
		if panicked {
			r.abandon()
		}
	}()
	reply, err := r.exchange(ctx)
	panicked = false
	return reply, err
}

// abandon ends what a panic has left under way.
func (r *reception) abandon() {
	if r.conn != nil {
		r.begun()
		r.conn.Close()
	}
}

// exchange is receive but for panics.
func (r *reception) exchange(ctx context.Context) (*receivedReply, error) {
	c, u := r.c, r.place.Upstream
	o := sendOptions{fresh: r.fresh, headerWithin: r.headerWithin, connections: c.Placer.connections(u), stalled: r.stalled, opened: r.opened}
	x, err := c.Pool.send(ctx, c.Codec, u.ID, u.Address, &r.message, c.ID, o)
	if err != nil {
		return nil, err
	}
	c.noteStatements(u.Upstream, x)
	c.notePaceOf(r.place, &x.reply)
	if x.reply.Slots > 0 && !c.Route.Generates {
		active := float64(x.reply.Running+x.reply.Waiting) / float64(x.reply.Slots)
		c.Chooser.Heard(u.ID, 0, active)
		c.Placer.notePlainLoad(&c.Job, &x.reply)
	}
	if err := r.usable(x); err != nil {
		x.abandon()
		return nil, err
	}
	if r.isStream(x) {
		return r.receiveEvent(x)
	}
	return r.receiveStart(ctx, x)
}

// isStream tells whether a reply is one of events. A 200 on a streaming route has to be.
func (r *reception) isStream(x *exchange) bool {
	status := x.response.StatusCode
	return r.c.Route.Kind == matcher.Streaming &&
		(status == http.StatusOK || status/100 == 2 && x.mediaType() == bodyreader.EventStreamType)
}

// opened decides whether a request is sent on a connection, and looks after its begin.
func (r *reception) opened(conn *connection) (begun func(), err error) {
	// The slot may have been granted, and the connection opened, long ago.
	if err := r.c.Placer.withhold(r.place.Upstream); err != nil {
		return nil, err
	}
	// This entry may have begun to leave meanwhile.
	if err := r.checkTimeLeft(); err != nil {
		return nil, err
	}
	// A part may have been blamed while the request waited for its slot.
	if err := r.c.checkPartsOf(r.c.Request, r.failed); err != nil {
		return nil, err
	}
	r.c.Localizer.RequestSent(r.c.ID, r.c.SharedParts())
	begun, err = r.c.closeUnlessBegun(r.place, conn)
	if err == nil {
		r.conn, r.begun = conn, begun
	}
	return begun, err
}

// setGap bounds the wait for the next bytes, unless a hedge or the attempt beside it decides on that.
func (r *reception) setGap(x *exchange, d time.Duration) {
	if !r.hedged && r.c.hedge == nil {
		x.setGap(d)
	}
}

// receiveStart reads a plain reply whole, or a long one up to bufferedReply.
func (r *reception) receiveStart(ctx context.Context, x *exchange) (*receivedReply, error) {
	x.begun()
	r.setGap(x, 0)
	body := &bodyreader.Reader{Response: x.response}
	start, ended, err := x.readStart(body)
	if err != nil {
		x.abandon()
		return nil, x.cutError(err)
	}
	reply := &receivedReply{x: x, place: r.place, body: body, start: start}
	if !ended {
		return reply, nil
	}
	if err := r.c.checkWhole(ctx, x, r.place); err != nil {
		x.abandon()
		return nil, err
	}
	reply.end = io.EOF
	return reply, nil
}

// receiveEvent reads a stream up to the end of its first event. Comments before the event with which another
// upstream goes on are read with it, as they don't tell whether it is the right one.
func (r *reception) receiveEvent(x *exchange) (*receivedReply, error) {
	if err := r.sequence.begin(x.reply.Version); err != nil {
		x.abandon()
		return nil, &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: err}
	}
	events := bodyreader.NewEventReader(x.response, maxEvent)
	events.Room = x.take
	r.setGap(x, r.place.FirstEventLimit())
	var start []byte
	event, err := events.Next()
	for ; err == nil; event, err = events.Next() {
		if start == nil {
			start = event
		} else {
			start = append(start, event...)
		}
		if err := r.sequence.take(event, r.c.Codec.EventVersion(event)); err != nil {
			x.abandon()
			return nil, &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: err}
		}
		if !r.sequence.resumes {
			x.begun()
			r.place.Started()
			return &receivedReply{x: x, place: r.place, events: events, sequence: r.sequence, start: start}, nil
		}
		if len(start) > maxComments {
			x.abandon()
			return nil, x.cutError(&bodyreader.OversizeError{Limit: maxComments})
		}
	}
	if !errors.Is(err, io.EOF) {
		x.abandon()
		return nil, x.cutError(err)
	}
	if err := r.sequence.end(); err != nil {
		x.abandon()
		return nil, &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: err}
	}
	return &receivedReply{x: x, place: r.place, events: events, sequence: r.sequence, start: append(start, event...), end: err}, nil
}

// usable checks a reply's header: refusals and replies without the upstream's proof
// are no answers.
func (r *reception) usable(x *exchange) error {
	status := x.response.StatusCode
	if x.reply.NotRun {
		return &SendError{Upstream: x.upstream, Outcome: retrier.NotRun, Status: status, Stated: x.reply.Stated,
			Err: &UnusableError{Problem: fmt.Sprintf("refused with status %d", status)}}
	}
	if !x.reply.Sealed || x.reply.ID != r.c.ID {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("status %d without proof of its origin", status)}}
	}
	if r.resumes && status != http.StatusOK {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("status %d for the rest of a stream", status)}}
	}
	if kind := x.mediaType(); r.resumes && kind != r.mediaType {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("reply of type %q for the rest of a stream of type %q", kind, r.mediaType)}}
	}
	if x.response.Header.Get("Content-Encoding") != "" {
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: "reply with an encoding nobody asked for"}}
	}
	// Whether a hedge's is needed depends on what becomes of the attempt beside it.
	if !r.hedged && r.c.mayRepeat() {
		if err := x.failure(); err != nil {
			return err
		}
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		// Handed on, these would promise that the request never ran.
		return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Status: status,
			Err: &UnusableError{Problem: fmt.Sprintf("status %d that promises nothing", status)}}
	}
	return nil
}
