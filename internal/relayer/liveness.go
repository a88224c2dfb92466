package relayer

import (
	"context"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
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
