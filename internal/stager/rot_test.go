package stager_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An agent reads back what lies staged and finds all of it right. Before it has given the
// order it stands still for four seconds, and a chunk turns bad meanwhile. The engine takes
// what lies there without a look: callers would get words made with spoilt weights until
// the next version is loaded.
func TestChunkThatRottedWhileTheAgentStoodStillIsMended(t *testing.T) {
	e := &engine{born: 1}
	var once sync.Once
	clean := false
	e.reading = func(chunk int) {
		e.mu.Lock()
		right := true
		for i := range chunkCount {
			right = right && string(e.staged[i]) == string(chunkOf(1, i))
		}
		// The reading that finds all right begins with all of them right.
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
	newWorld(t, e, 8*time.Second)
	eventually(t, func() bool { return e.holds() == 1 })
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range chunkCount {
		must.Eq(t, string(chunkOf(1, i)), string(e.loaded[i]))
	}
}
