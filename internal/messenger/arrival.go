package messenger

import (
	"context"
	"errors"
	"time"
)

const (
	// stallTimeout bounds the gaps in a reply that has started to arrive. It is longer than the
	// retransmission of a lost packet takes.
	stallTimeout = 500 * time.Millisecond
	// maxTransferTime bounds the transfer of a reply: a table of 20,000 routes takes some
	// seconds over a shared link between regions.
	maxTransferTime = 5 * time.Second
)

// callLargeReply makes a call with a large reply. The timeout bounds the time until the reply
// starts to arrive. A reply that is arriving is not cancelled: the transfer would be wasted, and
// the caller would request it again.
func (c *Client) callLargeReply(parent context.Context, timeout time.Duration, method string, params, result any) error {
	start := time.Now()
	dialCtx, cancelDial := context.WithTimeout(parent, timeout)
	defer cancelDial()
	conn, err := c.connect(dialCtx)
	if err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	go conn.cancelStalled(ctx, cancel, start, timeout)
	err = c.callOnConn(parent, ctx, conn, method, params, result)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &UnreachableError{Address: c.Address, Err: context.DeadlineExceeded}
	}
	return err
}

// cancelStalled cancels a call if its reply does not start to arrive within the timeout, or
// stalls afterwards.
func (n *connection) cancelStalled(ctx context.Context, cancel context.CancelCauseFunc, start time.Time, timeout time.Duration) {
	timer := time.NewTimer(timeout - time.Since(start))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		idleTime, elapsed := n.raw.idleTime(), time.Since(start)
		if idleTime >= elapsed || idleTime >= stallTimeout || elapsed >= timeout+maxTransferTime {
			cancel(context.DeadlineExceeded)
			return
		}
		timer.Reset(stallTimeout - idleTime)
	}
}
