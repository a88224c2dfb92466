package relayer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// LivenessChecker checks whether upstreams still run.
type LivenessChecker interface {
	// Alive reports whether a start of an upstream still runs. One that doesn't answer in time counts as dead.
	Alive(ctx context.Context, u registrar.Upstream) bool
}

// exitTime is how long the kernel may take to close a killed process's listener after its connections.
const exitTime = 30 * time.Millisecond

// NetworkLivenessChecker takes upstreams for alive that still accept connections exitTime later. The zero value is ready
// for use.
type NetworkLivenessChecker struct{}

var _ LivenessChecker = NetworkLivenessChecker{}

// Alive implements LivenessChecker.
func (NetworkLivenessChecker) Alive(ctx context.Context, u registrar.Upstream) bool {
	delay := exitTime
	if deadline, ok := ctx.Deadline(); ok {
		// The rest of the time is for the answer.
		delay = min(delay, time.Until(deadline)/2)
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return false
	}
	if err := tryDial(ctx, u.Address); err == nil {
		return true
	} else if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	// A dead process refuses at once. The dial may have timed out because this process got no processor time.
	return tryDial(ctx, u.Address) == nil
}

// tryDial opens a connection and closes it.
func tryDial(ctx context.Context, a netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := connector.Dial(ctx, a)
	if err != nil {
		return err
	}
	return conn.Close()
}

// DeadError reports an upstream that was dead, or didn't answer, when its connection ended and only that end
// marks the end of the reply.
type DeadError struct{}

func (e *DeadError) Error() string { return "upstream doesn't answer any more" }

// Unwrap returns io.ErrUnexpectedEOF, as the reply may lack its end.
func (e *DeadError) Unwrap() error { return io.ErrUnexpectedEOF }

// checkComplete checks that a reply which was read to its end is whole, as far as its body can't show it: a
// process that dies closes its connections like one that has sent everything. Errors are *SendError.
func (l *Relayer) checkComplete(ctx context.Context, x *exchange, place *Placement) error {
	if l.Liveness == nil || x.framing() != bodyreader.ByConnection {
		return nil
	}
	if l.upstreamAlive(ctx, place.Upstream) {
		l.count("unframed.alive")
		return nil
	}
	l.count("unframed.dead")
	return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: &bodyreader.CutError{Framing: x.framing(), Err: &DeadError{}}}
}

// upstreamAlive reports whether an upstream still runs. One that accepts no requests gets a connection at most.
func (l *Relayer) upstreamAlive(ctx context.Context, u *registrar.UpstreamView) bool {
	if l.Placer.terms(u).ClosedReason() != "" {
		return NetworkLivenessChecker{}.Alive(ctx, u.Upstream)
	}
	return l.Liveness.Alive(ctx, u.Upstream)
}
