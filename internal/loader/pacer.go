package loader

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// pacer lets uploads go within a rate, those to other regions first.
//
// The many agents of the own region keep the link taken while weights spread, and each chunk
// leaves the region about once. Sent in turn, it would wait for a piece to each neighbour at
// every one of its own pieces, and all agents of another region wait for it. One notices
// regions whose agents have weights seconds after those of the origin's region.
type pacer struct {
	limiter *rate.Limiter
	// turn is held by the upload that waits for the limiter: were all to wait there, a chunk
	// for another region would come after them.
	turn chan struct{}

	mu sync.Mutex
	// exports counts the uploads to other regions that wait; quiet is closed when there
	// are none.
	exports int
	quiet   chan struct{}
}

// newPacer makes one; without a limiter everything goes at once.
func newPacer(l *rate.Limiter) *pacer {
	p := &pacer{limiter: l, turn: make(chan struct{}, 1), quiet: make(chan struct{})}
	close(p.quiet)
	return p
}

// wait returns when n bytes may go, or with the context's error.
func (p *pacer) wait(ctx context.Context, n int, export bool) error {
	if p.limiter == nil {
		return nil
	}
	if export {
		p.begin()
		defer p.end()
	}
	if err := p.take(ctx, export); err != nil {
		return err
	}
	defer func() { <-p.turn }()
	return p.limiter.WaitN(ctx, n)
}

// take gets the turn.
func (p *pacer) take(ctx context.Context, export bool) error {
	for {
		if !export {
			select {
			case <-p.noExports():
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		select {
		case p.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		if export || p.isQuiet() {
			return nil
		}
		// A chunk for another region came meanwhile.
		<-p.turn
	}
}

func (p *pacer) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exports == 0 {
		p.quiet = make(chan struct{})
	}
	p.exports++
}

func (p *pacer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exports--; p.exports == 0 {
		close(p.quiet)
	}
}

// noExports is closed while no upload to another region waits.
func (p *pacer) noExports() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quiet
}

func (p *pacer) isQuiet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exports == 0
}
