package relayer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// hedge is another attempt beside one whose upstream is silent.
type hedge struct {
	place     *Placement
	startedAt time.Time
	cancel    context.CancelFunc
	// done is closed once reply or err is set, and ended once the hedge uses no connection.
	done, ended chan struct{}
	reply       *receivedReply
	err         error
}

// OvertakenError reports an attempt that was given up because another upstream delivered first.
type OvertakenError struct{ By string }

func (e *OvertakenError) Error() string { return "overtaken by " + e.By }

// PanicError reports an attempt that ended in a panic.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// startHedge starts another attempt beside the current one, and calls wake when it has finished.
func (c *call) startHedge(ctx context.Context, place *Placement, wake func()) {
	c.count("hedges.started")
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{place: place, startedAt: time.Now(), cancel: cancel, done: make(chan struct{}), ended: make(chan struct{})}
	c.hedge, c.nextPlace = h, place
	r := c.newReception(place)
	// The attempt beside it counts as failed: a blamed part must not go to two upstreams.
	r.hedged, r.failed = true, true
	go func() {
		defer close(h.ended)
		h.receive(ctx, r)
		close(h.done)
		wake()
	}()
}

// receive receives the start of the reply. It recovers panics, which would end the process outside the handler's
// goroutine.
func (h *hedge) receive(ctx context.Context, r *reception) {
	defer func() {
		if value := recover(); value != nil {
			klog.InfoS("Hedge panicked", "request", r.call.ID, "err", value, "stack", string(debug.Stack()))
			h.err = &SendError{Upstream: h.place.Upstream.ID, Outcome: retrier.Unknown, Err: &PanicError{Value: value}}
		}
	}()
	h.reply, h.err = r.receive(ctx)
}

// finished reports whether the hedge has a reply or has failed.
func (h *hedge) finished() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// finishedSoon is finished after a short wait for data that has arrived.
func (h *hedge) finishedSoon() bool {
	select {
	case <-h.done:
		return true
	case <-time.After(connector.ReadGrace):
		return false
	}
}

// discardFailure replaces a reply with the upstream's own failure by an error.
func (h *hedge) discardFailure() {
	if h.err != nil {
		return
	}
	if err := h.reply.exchange.serverError(); err != nil {
		h.reply.exchange.abandon()
		h.reply, h.err = nil, err
	}
}

// adoptHedge returns the hedge at a place, which becomes the current attempt; nil if there is none.
func (c *call) adoptHedge(place *Placement) *hedge {
	h := c.hedge
	if h == nil || h.place != place {
		return nil
	}
	c.hedge = nil
	c.count("hedges.used")
	return h
}

// awaitHedge waits for the start of the reply to a hedge that became the current attempt. While it is silent
// another hedge is made beside it. Errors are *SendError.
func (c *call) awaitHedge(ctx context.Context, h *hedge) error {
	var check <-chan time.Time
	if c.canRetry() {
		check = time.After(time.Until(h.startedAt.Add(c.hedgeDelay(h.place))))
	}
	wakeups := make(chan struct{}, maxSends)
	for {
		select {
		case <-h.done:
			return h.err
		case <-check:
			if h.finishedSoon() {
				return h.err
			}
		case <-wakeups:
		}
		if !c.keepWaiting(ctx, h.place, func() { wakeups <- struct{}{} }) {
			return c.abandonHedge(h)
		}
		check = time.After(stallCheckInterval)
	}
}

// abandonHedge ends a hedge that became the current attempt, as another one has a reply.
func (c *call) abandonHedge(h *hedge) error {
	h.cancel()
	<-h.ended
	if h.reply != nil {
		h.reply.exchange.abandon()
	}
	return &SendError{Upstream: h.place.Upstream.ID, Outcome: h.outcome(), Silence: time.Since(h.startedAt),
		Err: &OvertakenError{By: c.hedge.place.Upstream.ID}}
}

// cancelHedge ends the hedge, if there is one, as its request is over or the first upstream continues.
func (c *call) cancelHedge() {
	h := c.hedge
	if h == nil {
		return
	}
	if h.finished() {
		if h.discardFailure(); h.err != nil {
			c.recordHedgeFailure(h)
			return
		}
	}
	h.cancel()
	c.count("hedges.cancelled")
	c.endHedge(h)
	if outcome := h.outcome(); outcome != retrier.NotRun {
		c.outcome = retrier.Combine(c.outcome, outcome)
		c.attempts++
	}
}

// outcome is the outcome of a hedge that has ended.
func (h *hedge) outcome() retrier.Outcome {
	var s *SendError
	if errors.As(h.err, &s) {
		return s.Outcome
	}
	return retrier.Unknown
}

// recordHedgeFailure records a hedge that failed while the first upstream is still silent.
func (c *call) recordHedgeFailure(h *hedge) {
	c.count("hedges.failed")
	c.recordOutcome(h.place, h.err)
	c.recordFailure(&c.Job, h.place, h.err, 0)
	c.endHedge(h)
}

// endHedge waits until an unused hedge has ended, excludes its upstream from further attempts and releases its
// place.
func (c *call) endHedge(h *hedge) {
	c.hedge = nil
	<-h.ended
	if h.reply != nil {
		h.reply.exchange.abandon()
	}
	h.cancel()
	c.sends++
	c.Tried = append(c.Tried, h.place.Upstream.ID)
	c.releaseNextPlace()
}

// wrapOvertaken marks the end of an attempt for which a hedge has a reply.
func (c *call) wrapOvertaken(err error) error {
	var s *SendError
	if c.hedge == nil || !c.hedge.finished() || !errors.As(err, &s) || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return &SendError{Upstream: s.Upstream, Outcome: s.Outcome, Silence: s.Silence, Err: &OvertakenError{By: c.hedge.place.Upstream.ID}}
}
