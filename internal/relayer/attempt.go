package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

const (
	// maxBufferedReply is the size in bytes up to which a plain reply is read whole before it is passed on, so
	// that one that breaks off can still be retried or become an error status.
	maxBufferedReply = 256 << 10
	// firstEventGrace is what a stream's first event may take beyond firstEventFactor times the prediction
	// before a hedge is sent.
	firstEventGrace  = 1200 * time.Millisecond
	firstEventFactor = 2
	// EventGap is how long an engine may pause within a stream before a hedge is sent. Callers leave after two
	// seconds.
	EventGap = 1300 * time.Millisecond
)

// UnusableError reports a reply that can't be passed on.
type UnusableError struct{ Problem string }

func (e *UnusableError) Error() string { return e.Problem }

// attempt sends the request to a place's upstream and passes the reply on. It returns nil once the caller has
// its answer. Errors are *SendError.
func (c *call) attempt(ctx context.Context, place *Placement) error {
	r, err := c.receive(ctx, place)
	if err == nil {
		err = c.relay(ctx, r)
	}
	return c.wrapUnread(c.wrapOvertaken(err))
}

// receive gets the start of a reply through the hedge already running at the place or a new attempt.
func (c *call) receive(ctx context.Context, place *Placement) (*receivedReply, error) {
	keepReading := func(conn *connection) bool { return c.keepReading(ctx, place, conn) }
	h := c.adoptHedge(place)
	if h == nil {
		r := c.newReception(place)
		r.headerWithin, r.stalled = c.headerTimeout(place), keepReading
		return r.receive(ctx)
	}
	if err := c.awaitHedge(ctx, h); err != nil {
		return nil, err
	}
	if err := h.reply.exchange.serverError(); err != nil && c.canRetry() {
		h.reply.exchange.abandon()
		return nil, err
	}
	conn := h.reply.exchange.conn
	conn.keepReading = func() bool { return keepReading(conn) }
	return h.reply, nil
}

// relay passes a reply on to the caller.
func (c *call) relay(ctx context.Context, r *receivedReply) error {
	c.writer.source.Store(r.exchange.conn)
	defer c.writer.source.Store(nil)
	if r.events != nil {
		return c.relayStream(ctx, r)
	}
	return c.relayPlain(ctx, r)
}

// hedgeDelayShare is the share of a plain route's timeout after which another upstream gets the request too, if
// it may run twice.
const hedgeDelayShare = 0.4

// headerTimeout is how long the header of a reply may take before another upstream gets the request; 0 for no
// limit. An upstream on a suspended VM accepts the request but sends nothing, so only a timeout detects it.
func (c *call) headerTimeout(place *Placement) time.Duration {
	if !c.canRetry() {
		return 0
	}
	return c.hedgeDelay(place)
}

// hedgeDelay is how long an upstream may send nothing before another one gets the request as well.
func (c *call) hedgeDelay(place *Placement) time.Duration {
	if c.Route.Kind == matcher.Streaming {
		return place.FirstEventLimit()
	}
	return time.Duration(hedgeDelayShare * float64(c.Route.Timeout))
}

// serverError returns an upstream's own failure as an error, nil for another status.
func (x *exchange) serverError() error {
	status := x.response.StatusCode
	if status < http.StatusInternalServerError {
		return nil
	}
	return &SendError{Upstream: x.upstream, Outcome: retrier.Ran, Status: status,
		Err: &UnusableError{Problem: fmt.Sprintf("failed with status %d", status)}}
}

// canRetry reports whether the request may be sent again after a failure of the upstream itself.
func (c *call) canRetry() bool { return c.canRetryWithHedges(0) }

// canRetryWithHedges is canRetry with a number of hedges under way.
func (c *call) canRetryWithHedges(hedges int) bool {
	return c.repeatable() && c.attempts+1+hedges < c.Route.MaxAttempts && c.sends+hedges < maxSends
}

// relayPlain passes a plain reply on.
func (c *call) relayPlain(ctx context.Context, r *receivedReply) error {
	x := r.exchange
	c.cancelHedge()
	x.setReadTimeout(0)
	if err := c.startReply(x); err != nil {
		x.abandon()
		return err
	}
	rest := ctx
	if r.endErr == nil {
		var release func()
		if rest, release = c.extendToTimeLimit(ctx, x); rest.Err() != nil {
			x.abandon()
			return x.cutError(rest.Err())
		}
		defer release()
	}
	c.writeHeader(x)
	if _, err := c.response.Write(r.start); err != nil {
		x.abandon()
		c.endPartial(x, ctx.Err(), err)
	}
	r.start = nil
	x.releaseMemory()
	if r.endErr == nil {
		err := c.copyRemaining(r.body)
		if err == nil {
			err = c.checkComplete(rest, x, r.place)
		}
		if err != nil {
			c.endPartial(x, ctx.Err(), err)
		}
	}
	x.finish()
	c.recordServed(x, r.place)
	return nil
}

// extendToTimeLimit has the rest of a long reply passed on until the caller's time limit, also after this entry has cut its
// requests, as the caller has a status already. The context that it returns ends with that limit or with the caller.
func (c *call) extendToTimeLimit(ctx context.Context, x *exchange) (rest context.Context, release func()) {
	rest, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline.Add(answerMargin))
	stop := context.AfterFunc(ctx, func() {
		if !c.cutByEntry() && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})
	if !x.stopCancelWatch() {
		cancel()
	}
	x.stopCancelWatch = context.AfterFunc(rest, func() { x.conn.Close() })
	return rest, func() {
		stop()
		cancel()
	}
}

// cutByEntry reports whether this entry cuts the request.
func (c *call) cutByEntry() bool {
	cause := context.Cause(c.httpRequest.Context())
	return cause != nil && !errors.Is(cause, context.Canceled)
}

// writeHeader passes the upstream's status and header on.
func (c *call) writeHeader(x *exchange) {
	h := c.response.Header()
	for name, fields := range c.Codec.ReturnedHeader(x.response.Header) {
		h[name] = fields
	}
	if h.Get("Content-Type") == "" {
		// Without this the server would guess a type.
		h["Content-Type"] = nil
	}
	c.status = x.response.StatusCode
	c.response.WriteHeader(c.status)
}

// recordServed counts and logs an answer.
func (c *call) recordServed(x *exchange, place *Placement) {
	upstream, status := x.upstream, x.response.StatusCode
	c.count("replies_by_" + x.framing().String())
	if status < 500 {
		c.Chooser.RecordSuccess(upstream)
		c.recordAnswerTime(x)
	}
	c.count("served")
	took := c.Clock.Since(c.Arrived)
	metrics.GetOrRegisterTimer("request."+c.Route.Kind.String(), c.Metrics).Update(took)
	fields := []any{"upstream", upstream, "status", status, "upstreamRevision", place.Upstream.Revision, "framing", x.framing()}
	answered := took
	if c.stream != nil {
		answered = c.stream.firstEventAfter
	}
	if c.Route.Objective > 0 && answered > c.Route.Objective {
		fields = append(fields, "late", answered-c.Route.Objective)
	}
	if c.Returned {
		fields = append(fields, "returned", true)
	}
	if place.Held != 0 {
		fields = append(append(fields, "version", place.Held), c.Registrar.Confirmation().LogFields()...)
	}
	if s := c.stream; s != nil {
		fields = append(fields, "events", s.events, "firstEvent", s.firstEventAfter, "longestPause", s.longestPause,
			"waitPredicted", place.Wait, "active", place.Active, "prompt", c.Prompt,
			"endPredicted", place.Ends, "answer", c.ExpectedAnswer(), "maxAnswer", c.MaxAnswer)
	}
	c.log("Served", nil, fields...)
}
