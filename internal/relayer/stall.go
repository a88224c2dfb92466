package relayer

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

const (
	// stallCheckInterval is the pause between two checks of a stalled reply, its hedge or a place for one.
	stallCheckInterval = 200 * time.Millisecond
)

// Read reads from the upstream. When nothing arrives until the read deadline, keepReading decides whether to read on;
// nil gives up.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && c.keepReading != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readArrived(b)
		}
		if n > 0 {
			c.lastRead = time.Now()
		}
		if n > 0 || c.keepReading == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.keepReading() {
			return n, err
		}
	}
}

// readArrived reads the data that arrived by the read deadline. After a deadline net.Conn doesn't check the
// socket, so an entry that was suspended would take its own pause for the upstream's.
func (c *connection) readArrived(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(connector.ReadGrace)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		// A connection that is closed meanwhile fails at the next read.
		_ = c.SetReadDeadline(time.Now().Add(stallCheckInterval))
	}
	return n, err
}

// keepReading decides whether to read on when a reply has stalled. It starts a hedge elsewhere, and gives up the
// silent upstream only once the hedge has a reply: the silence may end, or be caused by a full link.
func (c *call) keepReading(ctx context.Context, place *Placement, conn *connection) bool {
	// A connection that is closed meanwhile fails at the next read.
	_ = conn.SetReadDeadline(time.Now().Add(stallCheckInterval))
	// The same holds for interrupting its reader.
	return c.keepWaiting(ctx, place, func() { _ = conn.SetReadDeadline(time.Now()) })
}

// keepWaiting is keepReading for an attempt that wake interrupts when its hedge has finished.
func (c *call) keepWaiting(ctx context.Context, place *Placement, wake func()) bool {
	switch h := c.hedge; {
	case h == nil:
		if next := c.placeHedge(ctx); next != nil {
			c.Chooser.RecordStall(place.Upstream.ID)
			c.startHedge(ctx, next, wake)
		}
	case !h.finished():
		if time.Since(h.startedAt) < c.hedgeDelay(h.place) || h.finishedSoon() {
			break
		}
		if next := c.placeHedge(ctx); next != nil {
			c.Chooser.RecordStall(h.place.Upstream.ID)
			c.cancelHedge()
			c.startHedge(ctx, next, wake)
		}
	case h.err != nil:
		c.recordHedgeFailure(h)
	case h.reply.exchange.serverError() == nil:
		return false
	case c.canRetryWithHedges(1):
		h.discardFailure()
		c.recordHedgeFailure(h)
	default:
		// Without an answer from the silent upstream, this failure is passed on to the caller.
	}
	return true
}

// placeHedge gets a place for an attempt beside those in progress; nil if none is allowed.
func (c *call) placeHedge(ctx context.Context) *Placement {
	again, tried, hedges := c.Again, c.Tried, 0
	defer func() { c.Again, c.Tried = again, tried }()
	c.Again = true
	if c.hedge != nil {
		c.Tried = append(slices.Clip(tried), c.hedge.place.Upstream.ID)
		hedges = 1
	}
	if !c.canRetryWithHedges(hedges) || ctx.Err() != nil || c.hasBlamedPart() {
		return nil
	}
	place, err := c.Placer.placeOnce(ctx, &c.Job)
	if err != nil || place == nil {
		return nil
	}
	if !c.Budgets.Get(c.Service).Take() {
		c.log("No retry left in the budget", nil)
		place.Release()
		return nil
	}
	c.count("retries")
	return place
}

// placeNext returns the place of the next attempt.
func (l *Relayer) placeNext(ctx context.Context, j *Job) (*Placement, error) {
	if place := j.nextPlace; place != nil {
		j.nextPlace, j.mover.moving = nil, false
		return place, nil
	}
	return l.Placer.Place(ctx, j)
}

// cancelMove releases the place of a move that will not be made. A hedge's place is released with the hedge.
func (j *Job) cancelMove() {
	if j.mover.moving {
		j.mover.moving = false
		j.releaseNextPlace()
	}
}

// releaseNextPlace releases a place that no attempt will use.
func (j *Job) releaseNextPlace() {
	if j.nextPlace != nil {
		j.nextPlace.Release()
		j.nextPlace = nil
	}
}
