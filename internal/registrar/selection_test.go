package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against underestimated ages of announcements, which are as of when the records were selected for another
// process.
func TestSharedRecordsKeepAnnouncementAges(t *testing.T) {
	for _, gap := range []time.Duration{0, 10 * time.Millisecond, 190 * time.Millisecond, 250 * time.Millisecond, time.Hour} {
		t.Run(gap.String(), func(t *testing.T) {
			witness, c := newRegistrar()
			witness.Apply(registrar.Batch{Whole: true, At: 3})
			witness.Apply(registrar.Batch{After: 3, At: 4, Records: []registrar.Record{record("weights/m", "2", 4)}})
			c.Step(time.Second)
			witness.ChangesSince(0)
			c.Step(gap)
			peer, now := newRegistrar()
			peer.Apply(witness.ChangesSince(0))
			w, _ := peer.View().Weights("m")
			must.Eq(t, time.Second+gap, now.Since(w.Learned))
		})
	}
}

// Guards against records that are shared although they, or the query, have changed.
func TestSelectionIsSharedUntilRecordsChange(t *testing.T) {
	r, _ := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 3, Records: []registrar.Record{record("up/a", "1", 2), record("up/b", "1", 3)}})
	keys := func(after uint64) []string {
		var keys []string
		for _, rec := range r.ChangesSince(after).Records {
			keys = append(keys, rec.Key)
		}
		return keys
	}
	must.Eq(t, []string{"up/a", "up/b"}, keys(0))
	must.Eq(t, []string{"up/a", "up/b"}, keys(0))
	r.Apply(registrar.Batch{After: 3, At: 4, Records: []registrar.Record{record("up/c", "1", 4)}})
	must.Eq(t, []string{"up/a", "up/b", "up/c"}, keys(0))
	must.Eq(t, []string{"up/c"}, keys(3))
	r.Apply(registrar.Batch{After: 4, At: 5})
	must.Eq(t, []string{"up/c"}, keys(3))
	// A process that has nothing newer than this list may have missed deletions.
	r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 2), record("up/b", "1", 3), record("up/c", "1", 4)}})
	must.Eq(t, []string{"up/a", "up/b", "up/c"}, keys(3))
	must.True(t, r.ChangesSince(3).Whole)
}
