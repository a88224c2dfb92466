package messenger

import (
	"context"
	"errors"
	"time"
)

const (
	// stallTimeout is how long nothing may arrive of an answer that has begun to: longer than
	// it takes to send a lost packet again.
	stallTimeout = 500 * time.Millisecond
	// maxArrival bounds how long an answer may arrive: a table of 20,000 routes takes some
	// seconds over a link between regions that is shared with others.
	maxArrival = 5 * time.Second
)

// callArriving makes a call with a large answer. The timeout bounds the time until the answer
// begins to arrive. One that is arriving is not given up: the link would have carried it for
// nothing, and it would be asked for again.
func (c *Client) callArriving(asker context.Context, timeout time.Duration, method string, params, result any) error {
	began := time.Now()
	dialing, stop := context.WithTimeout(asker, timeout)
	defer stop()
	conn, err := c.connect(dialing)
	if err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	ctx, cancel := context.WithCancelCause(asker)
	defer cancel(nil)
	go conn.cancelStalled(ctx, cancel, began, timeout)
	err = c.callOn(asker, ctx, conn, method, params, result)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &UnreachableError{Address: c.Address, Err: context.DeadlineExceeded}
	}
	return err
}

// cancelStalled cancels a call whose answer has not begun to arrive within the timeout, or no
// longer does.
func (n *connection) cancelStalled(ctx context.Context, cancel context.CancelCauseFunc, began time.Time, timeout time.Duration) {
	timer := time.NewTimer(timeout - time.Since(began))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		idle, waited := n.raw.idle(), time.Since(began)
		if idle >= waited || idle >= stallTimeout || waited >= timeout+maxArrival {
			cancel(context.DeadlineExceeded)
			return
		}
		timer.Reset(stallTimeout - idle)
	}
}
