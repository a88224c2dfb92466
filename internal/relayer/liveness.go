package relayer

import (
	"context"
	"io"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Liveness finds out whether upstreams still run.
type Liveness interface {
	// Alive tells whether a start of an upstream still runs. One that can't be asked in time doesn't.
	Alive(ctx context.Context, u registrar.Upstream) bool
}

// NetworkLiveness takes an upstream for alive that accepts connections. The zero value is ready for use.
type NetworkLiveness struct{}

var _ Liveness = NetworkLiveness{}

// Alive implements Liveness.
func (NetworkLiveness) Alive(ctx context.Context, u registrar.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := connector.Dial(ctx, u.Address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// DeadError reports an upstream that was dead, or couldn't be asked, when the connection ended that alone shows the
// end of its reply.
type DeadError struct{}

func (e *DeadError) Error() string { return "upstream doesn't answer any more" }

// Unwrap gives what the reply may lack.
func (e *DeadError) Unwrap() error { return io.ErrUnexpectedEOF }

// checkWhole checks that a reply which was read to its end is whole, as far as its body can't tell: a process that
// dies closes its connections like one that has sent all. Errors are *SendError.
func (l *Relayer) checkWhole(ctx context.Context, x *exchange, place *Place) error {
	if l.Liveness == nil || x.framing() != bodyreader.ByConnection {
		return nil
	}
	if l.alive(ctx, place.Upstream) {
		l.count("unframed.alive")
		return nil
	}
	l.count("unframed.dead")
	return &SendError{Upstream: x.upstream, Outcome: retrier.Unknown, Err: &bodyreader.CutError{Framing: x.framing(), Err: &DeadError{}}}
}

// alive tells whether an upstream still runs. One that wants no requests gets a connection at most.
func (l *Relayer) alive(ctx context.Context, u *registrar.UpstreamView) bool {
	if l.Placer.terms(u).ClosedReason() != "" {
		return NetworkLiveness{}.Alive(ctx, u.Upstream)
	}
	return l.Liveness.Alive(ctx, u.Upstream)
}
