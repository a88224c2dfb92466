package syncer

import (
	"context"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// hedgeDelay is how long a seed's list may take before another one is sent in parallel: a list
	// takes 0.4 s from a store slowed down sixtyfold.
	hedgeDelay = 600 * time.Millisecond
	// maxHedgedLists bounds the lists in flight.
	maxHedgedLists = 3
)

// list reads all records. A seed hedges its list: other processes wait for it, and a store that was
// unresponsive when it was called never answers that call. The others don't hedge, as their many
// lists would saturate the links to the store.
func (s *Syncer) list(ctx context.Context) (registrar.Batch, error) {
	if !s.Seed {
		return s.Store.List(ctx)
	}
	return s.hedgedList(ctx)
}

// hedgedList sends another list every hedgeDelay until one returns, and returns the first result.
// An error counts as a result, as the process can ask its peers instead.
func (s *Syncer) hedgedList(ctx context.Context) (registrar.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		batch registrar.Batch
		err   error
	}
	results := make(chan result, maxHedgedLists)
	for call := 1; ; call++ {
		go func() {
			batch, err := s.Store.List(ctx)
			results <- result{batch, err}
		}()
		next := s.Clock.After(hedgeDelay)
		if call == maxHedgedLists {
			next = nil
		}
		select {
		case r := <-results:
			return r.batch, r.err
		case <-next:
		}
	}
}
