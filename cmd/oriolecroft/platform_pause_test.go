package main_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// pausedPercent is the percentage of replies in which an engine pauses, and pausedFor the length of the test's load.
	pausedPercent = 20
	pausedFor     = 8 * time.Second
	// leastServed is how many streams must be served for the test to be meaningful.
	leastServed = 50
	// pausedNetwork is the part of the loopback network of this test.
	pausedNetwork = 2
)

// Guards against cut streams when a sound engine pauses and the engine that takes over fails.
func TestStreamsOfEnginesThatPauseAreNotCut(t *testing.T) {
	w := newBlameDeployment(t, pausedNetwork, false)
	w.pauses.Share.Store(pausedPercent)
	w.pauses.BreakOthers.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), pausedFor)
	defer cancel()
	var served, cut atomic.Int64
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			for ctx.Err() == nil {
				reply := w.send(context.Background(), rand.IntN(len(w.entries)), []string{"first"})
				switch {
				case !reply.Whole:
					cut.Add(1)
				case reply.Status == 200:
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d served, %d cut", served.Load(), cut.Load())
	must.Zero(t, cut.Load())
	must.GreaterEq(t, leastServed, served.Load())
}
