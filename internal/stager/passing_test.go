package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// The origin goes down with a chunk of a version still missing, a newer one is named, and the
// origin is back when the older one could serve for little longer. It is fetched and loaded
// all the same, since at that moment its time is not quite over, and is of no use once it is
// there; the newer one comes that much later. With 66 engines it was a second, in which all
// callers were refused.
func TestVersionThatComesTooLateIsLeftOut(t *testing.T) {
	w := lackOneChunk(t, 3*time.Second)
	eventually(t, func() bool { return w.engine.holds() > 1 })
	must.Eq(t, 3, w.engine.holds())
	must.Eq(t, chunkCount-1, w.drawnOf(2), must.Sprint("chunks of version 2 that were fetched"))
}

// Were a version given up whenever a newer one is named, engines would stop with the old one's
// time: the newer one takes longer, and the one that lacks a chunk only could have served.
func TestVersionThatComesInTimeIsFetched(t *testing.T) {
	w := lackOneChunk(t, 300*time.Millisecond)
	eventually(t, func() bool { return w.drawnOf(2) == chunkCount })
}

// Guards against callers that are refused until a newer version has come whole, though the older
// one lacks a chunk only and may serve for another second.
func TestVersionThatServesForASecondIsFetched(t *testing.T) {
	w := lackOneChunk(t, 2100*time.Millisecond)
	eventually(t, func() bool { return w.drawnOf(2) == chunkCount })
}

// lackOneChunk makes an agent for which a chunk of version 2 is missing when version 3 is
// named, and for some time after that. Weights may be old for six seconds.
func lackOneChunk(t *testing.T, after time.Duration) *world {
	e := &engine{born: 1}
	w := newWorld(t, e, 6*time.Second)
	eventually(t, w.open)
	w.withhold(map[int]bool{2: true})
	w.name(2)
	w.wait(1600 * time.Millisecond)
	w.name(3)
	w.wait(after)
	w.withhold(nil)
	return w
}

// wait lets time pass in touch with the store: a naming after a silence counts from its begin.
func (w *world) wait(d time.Duration) {
	const word = 100 * time.Millisecond
	for range d / word {
		time.Sleep(word)
		w.registrar.Apply(registrar.Batch{After: w.revision, At: w.revision})
	}
}

func (w *world) withhold(chunks map[int]bool) {
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	w.origin.withheld = chunks
}

// drawnOf is how many chunks of a version the origin has given.
func (w *world) drawnOf(version uint64) int {
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	return w.origin.drawnOf[version]
}
