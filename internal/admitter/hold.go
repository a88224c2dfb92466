package admitter

import (
	"context"
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Close holds the gate for a reason; nothing new passes until no reason is left.
func (g *Gate) Close(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	if slices.Contains(g.holds, r) {
		return
	}
	g.holds = append(g.holds, r)
	g.announce()
}

// Open takes away one reason to hold the gate.
func (g *Gate) Open(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	i := slices.Index(g.holds, r)
	if i < 0 {
		return
	}
	g.holds = slices.Delete(g.holds, i, i+1)
	g.announce()
}

// Holds lists the reasons for which the gate is closed, the oldest first.
func (g *Gate) Holds() []Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return slices.Clone(g.holds)
}

// State gives the gate's state, its present limit and the exact number of
// requests that are with the upstream.
func (g *Gate) State() (state messenger.GateState, limit, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	state = messenger.GateOpen
	if g.cold {
		state = messenger.GateCold
	}
	if len(g.holds) > 0 {
		state = messenger.GateClosed
	}
	return state, g.width, g.running
}

// announce wakes those who wait for a change. Callers hold g.mu.
func (g *Gate) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Changed gives a channel that is closed at the next change of the gate.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return g.changed
}

// Idle gives a channel that is closed once no request is with the upstream. It
// stands for the present busy period only: close the gate first.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return g.idle
}

// Drained waits until no request is with the upstream.
func (g *Gate) Drained(ctx context.Context) error {
	select {
	case <-g.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
