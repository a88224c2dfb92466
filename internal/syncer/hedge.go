package syncer

import (
	"context"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// hedgeAfter is how long a seed's first list may take before another one is sent beside it:
	// a list takes 0.4 s from a store slowed down sixtyfold.
	hedgeAfter = 600 * time.Millisecond
	// hedgeCalls bounds the lists in flight.
	hedgeCalls = 3
)

// list reads all records. A seed hedges its list: the others wait for it, and a store that was
// unresponsive when it was asked never answers that call. Of the many others none does, as
// their lists would saturate the links to the store.
func (s *Syncer) list(ctx context.Context) (registrar.Batch, error) {
	if !s.Seed {
		return s.Store.List(ctx)
	}
	return s.hedgedList(ctx)
}

// hedgedList repeats the list every hedgeAfter beside those that have not returned, and gives
// the first result. An error counts, too: the caller has peers to ask instead.
func (s *Syncer) hedgedList(ctx context.Context) (registrar.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		batch registrar.Batch
		err   error
	}
	results := make(chan result, hedgeCalls)
	for call := 1; ; call++ {
		go func() {
			batch, err := s.Store.List(ctx)
			results <- result{batch, err}
		}()
		next := s.Clock.After(hedgeAfter)
		if call == hedgeCalls {
			next = nil
		}
		select {
		case r := <-results:
			return r.batch, r.err
		case <-next:
		}
	}
}
