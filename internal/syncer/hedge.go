package syncer

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// hedgeDelay is how long a seed's list may take before another one is sent in parallel: a list
	// takes 0.4 s from a store slowed down sixtyfold.
	hedgeDelay = 600 * time.Millisecond
	// maxHedgedLists bounds the lists in flight.
	maxHedgedLists = 3
)

// watchWeights reads the weights that were announced after the registrar's revision.
func (s *Syncer) watchWeights(ctx context.Context) (registrar.Batch, error) {
	return s.watch(ctx, weightsCall, s.Store.WatchWeights, minWatchWait)
}

// watchAll watches all records. A large table may take seconds to arrive over a saturated link, and announcements would
// arrive with it, so weights are read beside an answer that has begun to arrive.
func (s *Syncer) watchAll(ctx context.Context, wait time.Duration) (registrar.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callCtx, begun := withFirstByte(ctx)
	go s.watchWeightsBeside(ctx, wait+hedgeDelay, begun)
	return s.watch(callCtx, watchCall, s.Store.Watch, wait)
}

// withFirstByte returns a context for calls to the store, and a channel that is closed once an answer begins to arrive.
func withFirstByte(ctx context.Context) (context.Context, <-chan struct{}) {
	begun := make(chan struct{})
	var once sync.Once
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { once.Do(func() { close(begun) }) }}), begun
}

// watchWeightsBeside reads the weights beside an answer that has begun, from a delay on and until the context ends.
// Failures show nothing that those of the call beside it don't.
func (s *Syncer) watchWeightsBeside(ctx context.Context, delay time.Duration, begun <-chan struct{}) {
	for ; ; delay = watchWait {
		s.pause(ctx, delay)
		select {
		case <-begun:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		b, err := s.watchWeights(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			klog.V(1).InfoS("Weights not read beside a slow watch", "err", err)
		default:
			s.Registrar.StoreCallSucceeded()
			s.Registrar.Apply(b)
		}
	}
}

// list reads all records. A seed hedges its list: other processes wait for it, and a store that was
// unresponsive when it was called never answers that call. The others don't hedge, as their many
// lists would saturate the links to the store.
func (s *Syncer) list(ctx context.Context) (registrar.Batch, error) {
	if !s.Seed {
		return s.Store.List(ctx)
	}
	return s.hedgedList(ctx)
}

// hedgedList sends another list every hedgeDelay until one is answered, and returns the first result. Beside an answer that
// has begun to arrive, further ones would only take their share of the link. An error counts as a result, as the process can
// ask its peers instead.
func (s *Syncer) hedgedList(ctx context.Context) (registrar.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		batch registrar.Batch
		err   error
	}
	results := make(chan result, maxHedgedLists)
	callCtx, begun := withFirstByte(ctx)
	for call := 1; ; call++ {
		go func() {
			batch, err := s.Store.List(callCtx)
			results <- result{batch, err}
		}()
		next := s.Clock.After(hedgeDelay)
		if call == maxHedgedLists {
			next = nil
		}
		select {
		case r := <-results:
			return r.batch, r.err
		case <-begun:
			r := <-results
			return r.batch, r.err
		case <-next:
		}
	}
}
