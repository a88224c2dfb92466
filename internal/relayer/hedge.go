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
	place     *Place
	startedAt time.Time
	cancel    context.CancelFunc
	// done is closed once reply or err is set, and ended once the hedge touches no connection any more.
	done, ended chan struct{}
	reply       *receivedReply
	err         error
}

// OvertakenError reports an attempt that was given up as another upstream delivered first.
type OvertakenError struct{ By string }

func (e *OvertakenError) Error() string { return "overtaken by " + e.By }

// PanicError reports an attempt that ended in a panic.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// startHedge makes another attempt at a place, beside the one under way, which is woken when it is over.
func (c *call) startHedge(ctx context.Context, place *Place, wake func()) {
	c.count("hedges.started")
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{place: place, startedAt: time.Now(), cancel: cancel, done: make(chan struct{}), ended: make(chan struct{})}
	c.hedge, c.next = h, place
	r := c.newReception(place)
	// The attempt beside it is as good as failed here: a blamed part must not go to two upstreams.
	r.hedged, r.failed = true, true
	go func() {
		defer close(h.ended)
		h.receive(ctx, r)
		close(h.done)
		wake()
	}()
}

// receive gets the beginning of the reply. A panic would end the whole process, as this isn't the handler's goroutine.
func (h *hedge) receive(ctx context.Context, r *reception) {
	defer func() {
		if value := recover(); value != nil {
			klog.InfoS("Hedge panicked", "request", r.c.ID, "err", value, "stack", string(debug.Stack()))
			h.err = &SendError{Upstream: h.place.Upstream.ID, Outcome: retrier.Unknown, Err: &PanicError{Value: value}}
		}
	}()
	h.reply, h.err = r.receive(ctx)
}

// over tells whether the hedge has a reply or has failed.
func (h *hedge) over() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// overSoon is over once the hedge has read what has arrived.
func (h *hedge) overSoon() bool {
	select {
	case <-h.done:
		return true
	case <-time.After(connector.ReadGrace):
		return false
	}
}

// drop makes a reply with the upstream's own failure the hedge's error.
func (h *hedge) drop() {
	if h.err != nil {
		return
	}
	if err := h.reply.x.failure(); err != nil {
		h.reply.x.abandon()
		h.reply, h.err = nil, err
	}
}

// takeHedge gives the hedge that has a place, as the attempt that goes on; nil if there is none.
func (c *call) takeHedge(place *Place) *hedge {
	h := c.hedge
	if h == nil || h.place != place {
		return nil
	}
	c.hedge = nil
	c.count("hedges.used")
	return h
}

// await waits for the beginning of the reply to a hedge that goes on as the attempt. While that is silent another
// hedge is made beside it. Errors are *SendError.
func (c *call) await(ctx context.Context, h *hedge) error {
	var look <-chan time.Time
	if c.mayRepeat() {
		look = time.After(time.Until(h.startedAt.Add(c.beginWithin(h.place))))
	}
	woken := make(chan struct{}, maxSends)
	for {
		select {
		case <-h.done:
			return h.err
		case <-look:
			if h.overSoon() {
				return h.err
			}
		case <-woken:
		}
		if !c.waitsOn(ctx, h.place, func() { woken <- struct{}{} }) {
			return c.giveUp(h)
		}
		look = time.After(stallRetry)
	}
}

// giveUp ends a hedge that went on as the attempt, as another one has a reply.
func (c *call) giveUp(h *hedge) error {
	h.cancel()
	<-h.ended
	if h.reply != nil {
		h.reply.x.abandon()
	}
	return &SendError{Upstream: h.place.Upstream.ID, Outcome: h.outcome(), Silence: time.Since(h.startedAt),
		Err: &OvertakenError{By: c.hedge.place.Upstream.ID}}
}

// cancelHedge ends the hedge, if there is one, as its request is over or the first upstream goes on.
func (c *call) cancelHedge() {
	h := c.hedge
	if h == nil {
		return
	}
	if h.over() {
		if h.drop(); h.err != nil {
			c.hedgeFailed(h)
			return
		}
	}
	h.cancel()
	c.count("hedges.cancelled")
	c.endHedge(h)
	if outcome := h.outcome(); outcome != retrier.NotRun {
		c.outcome = retrier.Join(c.outcome, outcome)
		c.attempts++
	}
}

// outcome is what is known of whether a hedge that has ended ran the request.
func (h *hedge) outcome() retrier.Outcome {
	var s *SendError
	if errors.As(h.err, &s) {
		return s.Outcome
	}
	return retrier.Unknown
}

// hedgeFailed notes a hedge that failed while the first upstream is still silent.
func (c *call) hedgeFailed(h *hedge) {
	c.count("hedges.failed")
	c.judge(h.place, h.err)
	c.note(&c.Job, h.place, h.err, 0)
	c.endHedge(h)
}

// endHedge waits until an unused hedge is over, keeps further attempts from its upstream and frees its place.
func (c *call) endHedge(h *hedge) {
	c.hedge = nil
	<-h.ended
	if h.reply != nil {
		h.reply.x.abandon()
	}
	h.cancel()
	c.sends++
	c.Tried = append(c.Tried, h.place.Upstream.ID)
	c.giveBack()
}

// overtaken tells the end of an attempt for which a hedge has a reply from other errors.
func (c *call) overtaken(err error) error {
	var s *SendError
	if c.hedge == nil || !c.hedge.over() || !errors.As(err, &s) || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return &SendError{Upstream: s.Upstream, Outcome: s.Outcome, Silence: s.Silence, Err: &OvertakenError{By: c.hedge.place.Upstream.ID}}
}
