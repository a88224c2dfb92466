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

// stream is a reply of events that the caller has started to receive.
type stream struct {
	// sequence is how far the stream was relayed.
	sequence sequence
	// mediaType is the media type in its header.
	mediaType string
	events    int
	// firstEventAfter is the time from the request's arrival to the first event sent.
	firstEventAfter time.Duration
	// longestPause is the longest between two events, lastEventAt the time of the last.
	longestPause time.Duration
	lastEventAt  time.Time
}

// maxEventBytes limits the size of an event.
const maxEventBytes = 1 << 20

// relayStream relays events as they arrive, only whole ones: an upstream that dies may stop within an event, and
// the next upstream's events would be joined to the part.
func (c *call) relayStream(ctx context.Context, r *receivedReply) error {
	x := r.exchange
	event, err := r.start, r.endErr
	// Holding the first event for the whole stream would double the memory.
	r.start = nil
	for {
		ended := errors.Is(err, io.EOF)
		switch {
		case ended:
			err = c.checkComplete(ctx, x, r.place)
		case err != nil:
			if c.stream != nil {
				c.stream.sequence.recordCut(err)
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

// next reads the next event of a stream and checks that it may follow.
func (r *receivedReply) next(codec Codec) ([]byte, error) {
	event, err := r.events.Next()
	if err != nil {
		return event, err
	}
	r.recordStart(event)
	return event, r.sequence.acceptEvent(event, codec.EventVersion(event))
}

// FirstEventLimit is how long the first event of a reply from this place may take.
func (p *Placement) FirstEventLimit() time.Duration {
	return firstEventFactor*p.Wait + firstEventGrace
}

// relayEvent relays one event. The header goes out with the first one, so that until then another upstream can
// take over the request.
func (c *call) relayEvent(r *receivedReply, event []byte) error {
	x := r.exchange
	if c.stream == nil {
		if err := c.startReply(x); err != nil {
			return err
		}
		c.stream = &stream{mediaType: x.mediaType(), firstEventAfter: c.Clock.Since(c.Arrived)}
		c.writeStreamHeader(x)
		metrics.GetOrRegisterTimer("firstEvent", c.Metrics).Update(c.stream.firstEventAfter)
	}
	if _, err := c.response.Write(event); err != nil {
		return c.callerLeftError(x, err)
	}
	if err := http.NewResponseController(c.response).Flush(); err != nil {
		return c.callerLeftError(x, err)
	}
	c.stream.recordEvent(r.sequence, c.Clock.Now())
	// A stream that is resumed elsewhere keeps its version of the weights.
	c.Version, c.unnumbered = r.sequence.version, r.sequence.unnumbered
	c.CountEvent(&c.Job)
	c.Chooser.RecordProgress(x.upstream)
	return nil
}

// writeStreamHeader sends the header without a length: another upstream may resume the stream, and its part may
// be shorter or longer.
func (c *call) writeStreamHeader(x *exchange) {
	x.response.Header.Del("Content-Length")
	c.writeHeader(x)
}

// recordEvent records an event that was sent and the position reached with it.
func (s *stream) recordEvent(reached sequence, now time.Time) {
	s.sequence = reached
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.events++
}

func (c *call) callerLeftError(x *exchange, err error) error {
	return &SendError{Upstream: x.upstream, Outcome: retrier.Ran, Err: fmt.Errorf("caller left: %w", err)}
}

// endStream ends a whole reply with the line ends after its last event.
func (c *call) endStream(x *exchange, place *Placement, lineEnds []byte) error {
	if c.stream == nil {
		if err := c.startReply(x); err != nil {
			x.abandon()
			return err
		}
		place.ReportStarted()
		c.writeStreamHeader(x)
		c.stream = &stream{}
	}
	if len(lineEnds) > 0 {
		if _, err := c.response.Write(lineEnds); err != nil {
			x.abandon()
			return c.callerLeftError(x, err)
		}
	}
	x.finish()
	c.recordServed(x, place)
	return nil
}
