package relayer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

const (
	// bufferedReply is up to which size, in bytes, a plain reply is read whole before
	// it is handed on: so one that breaks off can still become another attempt or an
	// honest failure.
	bufferedReply = 256 << 10
	// firstEventGrace is what a stream's first event may take beyond the prediction
	// before a hedge is made, besides a factor of firstEventFactor.
	firstEventGrace  = 1200 * time.Millisecond
	firstEventFactor = 2
	// EventGap is how long an engine may pause within a stream before a hedge is made.
	// Callers leave after two seconds.
	EventGap = 1300 * time.Millisecond
)

// UnusableError reports a reply that can't be handed on.
type UnusableError struct{ Problem string }

func (e *UnusableError) Error() string { return e.Problem }

// attempt sends the request to a place and hands the reply on. It gives nil once
// the caller has its answer. Errors are *SendError.
func (c *call) attempt(ctx context.Context, place *Placement) error {
	r, err := c.receive(ctx, place)
	if err == nil {
		err = c.relay(ctx, r)
	}
	return c.wrapUnread(c.wrapOvertaken(err))
}

// receive gets the beginning of a place's reply, by the hedge that is under way there or by a new attempt.
func (c *call) receive(ctx context.Context, place *Placement) (*receivedReply, error) {
	stalled := func(conn *connection) bool { return c.keepReading(ctx, place, conn) }
	h := c.adoptHedge(place)
	if h == nil {
		r := c.newReception(place)
		r.headerWithin, r.stalled = c.headerWithin(place), stalled
		return r.receive(ctx)
	}
	if err := c.awaitHedge(ctx, h); err != nil {
		return nil, err
	}
	if err := h.reply.exchange.failure(); err != nil && c.mayRepeat() {
		h.reply.exchange.abandon()
		return nil, err
	}
	conn := h.reply.exchange.conn
	conn.stalled = func() bool { return stalled(conn) }
	return h.reply, nil
}

// relay hands a reply on to the caller.
func (c *call) relay(ctx context.Context, r *receivedReply) error {
	c.writer.source.Store(r.exchange.conn)
	defer c.writer.source.Store(nil)
	if r.events != nil {
		return c.relayStream(ctx, r)
	}
	return c.relayPlain(ctx, r)
}

// headerShare is the part of a plain route's timeout after which another upstream is
// asked, if the request may run twice.
const headerShare = 0.4

// headerWithin is how long the header of a reply may take before another upstream gets
// the request. An upstream on a frozen VM takes it and says nothing; only silence
// tells.
func (c *call) headerWithin(place *Placement) time.Duration {
	if !c.mayRepeat() {
		return 0
	}
	return c.beginWithin(place)
}

// beginWithin is how long an upstream may be silent before another one is asked as well.
func (c *call) beginWithin(place *Placement) time.Duration {
	if c.Route.Kind == matcher.Streaming {
		return place.FirstEventLimit()
	}
	return time.Duration(headerShare * float64(c.Route.Timeout))
}

// failure is an upstream's own failure, as an error; nil for another status.
func (x *exchange) failure() error {
	status := x.response.StatusCode
	if status < http.StatusInternalServerError {
		return nil
	}
	return &SendError{Upstream: x.upstream, Outcome: retrier.Ran, Status: status,
		Err: &UnusableError{Problem: fmt.Sprintf("failed with status %d", status)}}
}

// mayRepeat tells whether a failure of the upstream's own can be made good by
// another attempt.
func (c *call) mayRepeat() bool { return c.mayRepeatBeside(0) }

// mayRepeatBeside is mayRepeat beside a number of hedges.
func (c *call) mayRepeatBeside(hedges int) bool {
	return c.repeatable() && c.attempts+1+hedges < c.Route.MaxAttempts && c.sends+hedges < maxSends
}

// relayPlain hands a reply on.
func (c *call) relayPlain(ctx context.Context, r *receivedReply) error {
	x := r.exchange
	c.cancelHedge()
	x.setGap(0)
	if err := c.startReply(x); err != nil {
		x.abandon()
		return err
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
			err = c.checkWhole(ctx, x, r.place)
		}
		if err != nil {
			c.endPartial(x, ctx.Err(), err)
		}
	}
	x.finish()
	c.served(x, r.place)
	return nil
}

// writeHeader hands the upstream's header on as it is.
func (c *call) writeHeader(x *exchange) {
	h := c.response.Header()
	for name, fields := range c.Codec.Returned(x.response.Header) {
		h[name] = fields
	}
	if h.Get("Content-Type") == "" {
		// Without this the server would guess one.
		h["Content-Type"] = nil
	}
	c.status = x.response.StatusCode
	c.response.WriteHeader(c.status)
}

// served counts and logs an answer.
func (c *call) served(x *exchange, place *Placement) {
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
	if s := c.stream; s != nil {
		fields = append(fields, "events", s.events, "firstEvent", s.firstEventAfter, "longestPause", s.longestPause,
			"waitPredicted", place.Wait, "active", place.Active, "prompt", c.Prompt,
			"endPredicted", place.Ends, "answer", c.Answer(), "maxAnswer", c.MaxAnswer)
	}
	c.log("Served", nil, fields...)
}
