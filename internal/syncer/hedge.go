package syncer

import (
	"context"
	"time"

	"k8s.io/utils/clock"

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
	return hedge(ctx, s.Clock, s.Store.List)
}

// hedge repeats a call every hedgeAfter beside those that have not returned, and gives the
// first result. An error counts, too: the caller has peers to ask instead.
func hedge[T any](ctx context.Context, c clock.Clock, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, hedgeCalls)
	start := func() {
		go func() {
			value, err := call(ctx)
			results <- result{value, err}
		}()
	}
	for range hedgeCalls - 1 {
		start()
		select {
		case r := <-results:
			return r.value, r.err
		case <-c.After(hedgeAfter):
		}
	}
	start()
	r := <-results
	return r.value, r.err
}
