package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
)

// Guards against added engines that stand empty for longer than need be: their agents start a second
// before they do.
func TestWeightsAreFetchedBeforeTheEngineAnswers(t *testing.T) {
	e := &engine{born: 1, absent: true}
	w := newWorld(t, e, 8*time.Second)
	eventually(t, func() bool {
		for _, p := range w.loader.Progress() {
			if p.AllChunks > 0 && p.Chunks == p.AllChunks {
				return true
			}
		}
		return false
	})
	must.False(t, w.open())
	e.mu.Lock()
	e.absent = false
	e.mu.Unlock()
	eventually(t, w.open)
	must.Eq(t, 1, e.holds())
}

// Guards against fetching weights once more that lie staged at an engine which answers later than its
// agent starts.
func TestStagedChunksAreTakenOverOnceTheEngineAnswers(t *testing.T) {
	e := &engine{born: 1, absent: true, staged: map[int][]byte{}}
	for i := range chunkCount {
		e.staged[i] = chunkOf(1, i)
	}
	w := newWorldWith(t, clock.RealClock{}, e, &origin{down: true}, 8*time.Second)
	time.Sleep(300 * time.Millisecond)
	e.mu.Lock()
	e.absent = false
	e.mu.Unlock()
	w.origin.mu.Lock()
	w.origin.down = false
	w.origin.mu.Unlock()
	eventually(t, w.open)
	must.Eq(t, 1, e.holds())
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	must.SliceEmpty(t, w.origin.drawn)
}
