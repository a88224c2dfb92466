package loader

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/time/rate"
)

// maxConsecutiveExports is how many pieces may go to other regions while local uploads wait, which
// leaves the own region at least a fifth of the link. Without a limit a few origin fetchers of
// other regions used all of the link: 99 chunks in 4 s, and none for local agents.
const maxConsecutiveExports = 4

// pacer limits the rate of uploads and prefers those to other regions.
//
// The many agents of the own region keep the link busy while weights spread, and each chunk leaves
// the region about once. In arrival order, each piece of an export would wait for a piece to every
// local agent, and all agents of the other region for the export. Regions would then get their
// weights seconds after the origin's region.
type pacer struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// busy is set while an upload has the turn and waits for the limiter: if all waited there, an
	// export would come after them.
	busy bool
	// exports and local wait for their turn, which begins when their channel is closed.
	exports, local []chan struct{}
	// consecutiveExports counts the pieces exported since a local upload waits.
	consecutiveExports int
}

// wait returns when n bytes may be sent, or with the context's error.
func (p *pacer) wait(ctx context.Context, n int, export bool) error {
	if p.limiter == nil {
		return nil
	}
	if err := p.acquire(ctx, export); err != nil {
		return err
	}
	defer p.release()
	return p.limiter.WaitN(ctx, n)
}

// acquire waits for the turn.
func (p *pacer) acquire(ctx context.Context, export bool) error {
	turn := p.enqueue(export)
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		p.abandon(turn)
		return ctx.Err()
	}
}

// enqueue returns a channel that is closed when the turn begins.
func (p *pacer) enqueue(export bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := make(chan struct{})
	switch {
	case !p.busy:
		p.busy = true
		close(turn)
	case export:
		p.exports = append(p.exports, turn)
	default:
		p.local = append(p.local, turn)
	}
	return turn
}

// abandon removes a waiter, and releases its turn if that has already begun.
func (p *pacer) abandon(turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-turn:
		p.grantNext()
	default:
		is := func(c chan struct{}) bool { return c == turn }
		p.exports = slices.DeleteFunc(p.exports, is)
		p.local = slices.DeleteFunc(p.local, is)
	}
}

// release ends a turn.
func (p *pacer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantNext()
}

// grantNext grants the turn to the next waiter.
func (p *pacer) grantNext() {
	if len(p.local) == 0 {
		p.consecutiveExports = 0
	}
	switch {
	case len(p.exports) > 0 && p.consecutiveExports < maxConsecutiveExports:
		p.consecutiveExports++
		close(p.exports[0])
		p.exports = p.exports[1:]
	case len(p.local) > 0:
		p.consecutiveExports = 0
		close(p.local[0])
		p.local = p.local[1:]
	default:
		p.busy = false
	}
}
