package admitter

import (
	"context"
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Close closes the gate for a reason; nothing is admitted until all reasons are
// removed.
func (g *Gate) Close(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	if slices.Contains(g.holds, r) {
		return
	}
	g.holds = append(g.holds, r)
	g.notifyChanged()
}

// Open removes one reason to keep the gate closed.
func (g *Gate) Open(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	i := slices.Index(g.holds, r)
	if i < 0 {
		return
	}
	g.holds = slices.Delete(g.holds, i, i+1)
	g.notifyChanged()
}

// Holds lists the reasons for which the gate is closed, the oldest first.
func (g *Gate) Holds() []Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	return slices.Clone(g.holds)
}

// State returns the gate's state, its current limit and the exact number of
// requests at the upstream.
func (g *Gate) State() (state messenger.GateState, limit, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	state = messenger.GateOpen
	if g.cold {
		state = messenger.GateCold
	}
	if len(g.holds) > 0 {
		state = messenger.GateClosed
	}
	return state, g.currentLimit, g.running
}

// notifyChanged closes and replaces the Changed channel. Callers hold g.mu.
func (g *Gate) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the gate's next change.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	return g.changed
}

// Idle returns a channel that is closed once no request is at the upstream. It
// covers the current busy period only: close the gate first.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	return g.idle
}

// WaitIdle waits until no request is at the upstream.
func (g *Gate) WaitIdle(ctx context.Context) error {
	select {
	case <-g.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
