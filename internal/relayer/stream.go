package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// stream is a reply of events that the caller has begun to get.
type stream struct {
	// sequence is how far it was handed on.
	sequence sequence
	// mediaType is that of its header.
	mediaType string
	events    int
	// firstAfter is when the first event went out, counted from the arrival.
	firstAfter time.Duration
	// longestPause is between two events, and lastAt when the last one went out.
	longestPause time.Duration
	lastAt       time.Time
}

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// relayStream hands events on as they come, whole ones only: an upstream that dies
// may stop in the middle of one, and what another upstream sends next would be
// joined to the half.
func (c *call) relayStream(ctx context.Context, r *receivedReply) error {
	x := r.x
	event, err := r.start, r.end
	// Kept, it would take as much memory again for the whole of the stream.
	r.start = nil
	for {
		ended := errors.Is(err, io.EOF)
		switch {
		case ended:
			err = c.checkComplete(ctx, x, r.place)
		case err != nil:
			if c.stream != nil {
				c.stream.sequence.cut(err)
			}
			err = x.cutError(err)
		}
		if err != nil {
			x.abandon()
			return err
		}
		c.cancelHedge()
		if ended {
			lineEnds := event
			return c.endStream(x, r.place, lineEnds)
		}
		if err := c.relayEvent(r, event); err != nil {
			x.abandon()
			return err
		}
		if err := c.Move(ctx, &c.Job, r.place); err != nil {
			x.abandon()
			return err
		}
		x.setReadTimeout(EventGap)
		event, err = r.next(c.Codec)
	}
}

// next gives the next event of a stream, if it is the one that has to follow.
func (r *receivedReply) next(codec Codec) ([]byte, error) {
	event, err := r.events.Next()
	if err != nil {
		return event, err
	}
	return event, r.sequence.take(event, codec.EventVersion(event))
}

// FirstEventLimit is how long the first event of a reply may take there.
func (p *Place) FirstEventLimit() time.Duration {
	return firstEventFactor*p.Wait + firstEventGrace
}

// relayEvent hands one event on. The header goes out with the first, so that until
// then another upstream can take the request over.
func (c *call) relayEvent(r *receivedReply, event []byte) error {
	x := r.x
	if c.stream == nil {
		if err := c.beginReply(x); err != nil {
			return err
		}
		c.stream = &stream{mediaType: x.mediaType(), firstAfter: c.Clock.Since(c.Arrived)}
		c.writeStreamHeader(x)
		metrics.GetOrRegisterTimer("firstEvent", c.Metrics).Update(c.stream.firstAfter)
	}
	if _, err := c.w.Write(event); err != nil {
		return c.leftError(x, err)
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return c.leftError(x, err)
	}
	c.stream.passed(r.sequence, c.Clock.Now())
	// A stream that goes on elsewhere stays with its weights.
	c.Version, c.unnumbered = r.sequence.version, r.sequence.unnumbered
	c.CountEvent(&c.Job)
	c.Chooser.Alive(x.upstream)
	return nil
}

// writeStreamHeader hands the header on without a length: another upstream may go on with a stream, and its
// part may be shorter or longer.
func (c *call) writeStreamHeader(x *exchange) {
	x.response.Header.Del("Content-Length")
	c.writeHeader(x)
}

// passed notes an event that went out, with which the stream has come that far.
func (s *stream) passed(at sequence, now time.Time) {
	s.sequence = at
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
}

func (c *call) leftError(x *exchange, err error) error {
	return &SendError{Upstream: x.upstream, Outcome: retrier.Ran, Err: fmt.Errorf("caller left: %w", err)}
}

// endStream ends a whole reply, with the line ends behind its last event.
func (c *call) endStream(x *exchange, place *Place, lineEnds []byte) error {
	if c.stream == nil {
		if err := c.beginReply(x); err != nil {
			x.abandon()
			return err
		}
		place.Started()
		c.writeStreamHeader(x)
		c.stream = &stream{}
	}
	if len(lineEnds) > 0 {
		if _, err := c.w.Write(lineEnds); err != nil {
			x.abandon()
			return c.leftError(x, err)
		}
	}
	x.finish()
	c.recordServed(x, place)
	return nil
}
