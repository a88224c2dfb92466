package relayer

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// firstEventMargin is how long before its caller leaves a stream without a first event is given up.
const firstEventMargin = 200 * time.Millisecond

// FirstEventTimeoutError reports a stream that had no event when its caller was about to leave.
type FirstEventTimeoutError struct{ After time.Duration }

func (e *FirstEventTimeoutError) Error() string { return fmt.Sprintf("no event within %v", e.After) }

// limitFirstEvent gives up a stream without an event shortly before its caller leaves. At an engine on a frozen
// VM the caller would otherwise leave without an answer, and the engine would start the request when the VM
// resumes. The returned context ends at the limit; stop removes it.
func (c *call) limitFirstEvent(ctx context.Context) (limited context.Context, stop func()) {
	if c.Route.Kind != matcher.Streaming || c.Route.EventTimeout <= 0 {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	within := max(0, c.Route.EventTimeout-firstEventMargin)
	timer := time.AfterFunc(within, func() { cancel(&FirstEventTimeoutError{After: within}) })
	c.firstEventTimer = timer
	return limited, func() {
		timer.Stop()
		cancel(nil)
	}
}

// startReply removes the limit because the reply starts. It fails if the request has been given up.
func (c *call) startReply(x *exchange) error {
	if c.firstEventTimer == nil || c.firstEventTimer.Stop() {
		c.firstEventTimer = nil
		return nil
	}
	return &SendError{Upstream: x.upstream, Outcome: retrier.Ran, Err: &FirstEventTimeoutError{After: c.Clock.Since(c.Arrived)}}
}
