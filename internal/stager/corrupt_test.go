package stager_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An agent reads back the staged chunks and finds all of them right. Before it sends the load order
// it is paused for four seconds, and a chunk is corrupted meanwhile. The engine does not check:
// callers would get tokens generated from corrupted weights until the next version is loaded.
func TestChunkCorruptedWhileTheAgentIsPausedIsReplaced(t *testing.T) {
	e := &engine{startedAt: 1}
	var once sync.Once
	clean := false
	e.onRead = func(chunk int) {
		e.mu.Lock()
		right := true
		for i := range chunkCount {
			right = right && string(e.staged[i]) == string(chunkOf(1, i))
		}
		// The read that finds all chunks right starts with all of them right.
		clean = chunk == 0 && right || clean && right
		last := clean && chunk == chunkCount-1
		e.mu.Unlock()
		if !last {
			return
		}
		once.Do(func() {
			e.mu.Lock()
			e.staged[0] = []byte("spoilt")
			e.mu.Unlock()
			time.Sleep(4 * time.Second)
		})
	}
	newFixture(t, e, 8*time.Second)
	eventually(t, func() bool { return e.holds() == 1 })
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range chunkCount {
		must.Eq(t, string(chunkOf(1, i)), string(e.loaded[i]))
	}
}
