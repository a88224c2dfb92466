package loader

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/time/rate"
)

// exportsInRow is how many pieces may go to other regions while the own one waits: its agents
// get a fifth of the link at least. Without a limit a few origin fetchers of other regions took it all
// for as long as they had something to draw: 99 chunks in 4 s, and none to the neighbours.
const exportsInRow = 4

// pacer lets uploads go within a rate, those to other regions first.
//
// The many agents of the own region keep the link taken while weights spread, and each chunk
// leaves the region about once. Sent in turn, it would wait for a piece to each neighbour at
// every one of its own pieces, and all agents of another region wait for it. One notices
// regions whose agents have weights seconds after those of the origin's region.
type pacer struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// taken tells that an upload has the turn, and waits for the limiter: were all to wait
	// there, a chunk for another region would come after them.
	taken bool
	// exports and others wait for the turn, which is theirs once their channel is closed.
	exports, others []chan struct{}
	// row counts the pieces to other regions since others wait.
	row int
}

// wait returns when n bytes may go, or with the context's error.
func (p *pacer) wait(ctx context.Context, n int, export bool) error {
	if p.limiter == nil {
		return nil
	}
	if err := p.take(ctx, export); err != nil {
		return err
	}
	defer p.pass()
	return p.limiter.WaitN(ctx, n)
}

// take gets the turn.
func (p *pacer) take(ctx context.Context, export bool) error {
	turn := p.queue(export)
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		p.leave(turn)
		return ctx.Err()
	}
}

// queue gives a channel that is closed once the turn has come.
func (p *pacer) queue(export bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := make(chan struct{})
	switch {
	case !p.taken:
		p.taken = true
		close(turn)
	case export:
		p.exports = append(p.exports, turn)
	default:
		p.others = append(p.others, turn)
	}
	return turn
}

// leave gives up waiting, and the turn if it has come meanwhile.
func (p *pacer) leave(turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-turn:
		p.next()
	default:
		is := func(c chan struct{}) bool { return c == turn }
		p.exports = slices.DeleteFunc(p.exports, is)
		p.others = slices.DeleteFunc(p.others, is)
	}
}

// pass ends a turn.
func (p *pacer) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next()
}

// next gives the turn to whoever is due.
func (p *pacer) next() {
	if len(p.others) == 0 {
		p.row = 0
	}
	switch {
	case len(p.exports) > 0 && p.row < exportsInRow:
		p.row++
		close(p.exports[0])
		p.exports = p.exports[1:]
	case len(p.others) > 0:
		p.row = 0
		close(p.others[0])
		p.others = p.others[1:]
	default:
		p.taken = false
	}
}
