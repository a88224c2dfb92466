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
	// stallRetry is the pause between two looks at a stalled reply, its hedge or a place for one.
	stallRetry = 200 * time.Millisecond
)

// Read reads what the upstream sends. When nothing comes until the read deadline, stalled decides
// whether to read on; nil gives up.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && c.stalled != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readUnread(b)
		}
		if n > 0 {
			c.lastRead = time.Now()
		}
		if n > 0 || c.stalled == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.stalled() {
			return n, err
		}
	}
}

// readUnread reads what has arrived by the read deadline. Behind a deadline net.Conn doesn't look at the socket, so
// an entry that was suspended would take its own silence for the upstream's.
func (c *connection) readUnread(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(connector.ReadGrace)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		// A connection that is closed meanwhile fails at the next read.
		_ = c.SetReadDeadline(time.Now().Add(stallRetry))
	}
	return n, err
}

// readsOn decides what becomes of a reply for which nothing has come for too long. A hedge is made elsewhere, and
// the silent upstream is given up only once that has a reply: the silence may end, or be that of a full link.
func (c *call) readsOn(ctx context.Context, place *Place, conn *connection) bool {
	// A connection that is closed meanwhile fails at the next read.
	_ = conn.SetReadDeadline(time.Now().Add(stallRetry))
	// The same holds for waking its reader.
	return c.waitsOn(ctx, place, func() { _ = conn.SetReadDeadline(time.Now()) })
}

// waitsOn is readsOn for an attempt that is woken, when its hedge is over, by a function.
func (c *call) waitsOn(ctx context.Context, place *Place, wake func()) bool {
	switch h := c.hedge; {
	case h == nil:
		if next := c.placeHedge(ctx); next != nil {
			c.Chooser.Stalled(place.Upstream.ID)
			c.startHedge(ctx, next, wake)
		}
	case !h.over():
		if time.Since(h.startedAt) < c.beginWithin(h.place) || h.overSoon() {
			break
		}
		if next := c.placeHedge(ctx); next != nil {
			c.Chooser.Stalled(h.place.Upstream.ID)
			c.cancelHedge()
			c.startHedge(ctx, next, wake)
		}
	case h.err != nil:
		c.hedgeFailed(h)
	case h.reply.x.failure() == nil:
		return false
	case c.mayRepeatBeside(1):
		h.drop()
		c.hedgeFailed(h)
	default:
		// Without an answer from the silent upstream this failure is the caller's.
	}
	return true
}

// placeHedge gets a place for an attempt beside those under way; nil if there may be none.
func (c *call) placeHedge(ctx context.Context) *Place {
	again, tried, hedges := c.Again, c.Tried, 0
	defer func() { c.Again, c.Tried = again, tried }()
	c.Again = true
	if c.hedge != nil {
		c.Tried = append(slices.Clip(tried), c.hedge.place.Upstream.ID)
		hedges = 1
	}
	if !c.mayRepeatBeside(hedges) || ctx.Err() != nil || c.blamed() {
		return nil
	}
	place, err := c.Placer.placeNow(ctx, &c.Job)
	if err != nil || place == nil {
		return nil
	}
	if !c.Budgets.Of(c.Service).Take() {
		c.log("No retry left in the budget", nil)
		place.Ended()
		return nil
	}
	c.count("retries")
	return place
}

// placeNext gives the place of the next attempt.
func (l *Relayer) placeNext(ctx context.Context, j *Job) (*Place, error) {
	if place := j.next; place != nil {
		j.next, j.mover.moving = nil, false
		return place, nil
	}
	return l.Placer.Place(ctx, j)
}

// endMove frees the place of a move that will not be made. That of a hedge is freed with it.
func (j *Job) endMove() {
	if j.mover.moving {
		j.mover.moving = false
		j.giveBack()
	}
}

// giveBack frees a place that no attempt will use.
func (j *Job) giveBack() {
	if j.next != nil {
		j.next.Ended()
		j.next = nil
	}
}
