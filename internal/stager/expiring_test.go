package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// The origin fails with a chunk of a version still missing, a newer one is announced, and the
// origin returns when the older one could serve for little longer. Fetching and loading the older
// one regardless, as its time is not quite over, delays the newer one without any use. With 66
// engines all callers were refused for a second.
func TestVersionThatWouldCompleteTooLateIsSkipped(t *testing.T) {
	f := newFixtureMissingChunk(t, 3*time.Second)
	eventually(t, func() bool { return f.engine.holds() > 1 })
	must.Eq(t, 3, f.engine.holds())
	must.Eq(t, chunkCount-1, f.servedChunks(2), must.Sprint("chunks of version 2 that were fetched"))
}

// If versions were skipped whenever a newer one is announced, engines would stop when the old one
// expires: the newer one takes longer, and the one that lacks a single chunk could have served.
func TestVersionThatCompletesInTimeIsFetched(t *testing.T) {
	f := newFixtureMissingChunk(t, 300*time.Millisecond)
	eventually(t, func() bool { return f.servedChunks(2) == chunkCount })
}

// Guards against callers that are refused until a newer version is complete, although the older one
// lacks a single chunk and may serve for another second.
func TestVersionThatServesForASecondIsFetched(t *testing.T) {
	f := newFixtureMissingChunk(t, 2100*time.Millisecond)
	eventually(t, func() bool { return f.servedChunks(2) == chunkCount })
}

// newFixtureMissingChunk makes an agent without a chunk of version 2 when version 3 is announced,
// and for some time after. Old weights may serve for six seconds.
func newFixtureMissingChunk(t *testing.T, after time.Duration) *fixture {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 6*time.Second)
	eventually(t, f.isOpen)
	f.withhold(map[int]bool{2: true})
	f.announce(2)
	f.advance(1600 * time.Millisecond)
	f.announce(3)
	f.advance(after)
	f.withhold(nil)
	return f
}

// advance lets time pass in contact with the store: an announcement after a gap counts from its start.
func (f *fixture) advance(d time.Duration) {
	const interval = 100 * time.Millisecond
	for range d / interval {
		time.Sleep(interval)
		f.registrar.Apply(registrar.Batch{After: f.revision, At: f.revision})
	}
}

func (f *fixture) withhold(chunks map[int]bool) {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	f.origin.withheld = chunks
}

// servedChunks returns how many chunks of a version the origin has served.
func (f *fixture) servedChunks(version uint64) int {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	return f.origin.servedOf[version]
}
