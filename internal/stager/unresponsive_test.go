package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
)

// Guards against added engines that are empty for longer than necessary: their agents start a
// second before they do.
func TestWeightsAreFetchedBeforeTheEngineAnswers(t *testing.T) {
	e := &engine{startedAt: 1, unresponsive: true}
	f := newFixture(t, e, 8*time.Second)
	eventually(t, func() bool {
		for _, p := range f.loader.Progress() {
			if p.AllChunks > 0 && p.Chunks == p.AllChunks {
				return true
			}
		}
		return false
	})
	must.False(t, f.isOpen())
	e.mu.Lock()
	e.unresponsive = false
	e.mu.Unlock()
	eventually(t, f.isOpen)
	must.Eq(t, 1, e.holds())
}

// Guards against fetching weights again that are staged at an engine which responds only some time
// after its agent starts.
func TestStagedChunksAreAdoptedOnceTheEngineAnswers(t *testing.T) {
	e := &engine{startedAt: 1, unresponsive: true, staged: map[int][]byte{}}
	for i := range chunkCount {
		e.staged[i] = chunkOf(1, i)
	}
	f := newFixtureWithOrigin(t, clock.RealClock{}, e, &origin{down: true}, 8*time.Second)
	time.Sleep(300 * time.Millisecond)
	e.mu.Lock()
	e.unresponsive = false
	e.mu.Unlock()
	f.origin.mu.Lock()
	f.origin.down = false
	f.origin.mu.Unlock()
	eventually(t, f.isOpen)
	must.Eq(t, 1, e.holds())
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	must.SliceEmpty(t, f.origin.served)
}
