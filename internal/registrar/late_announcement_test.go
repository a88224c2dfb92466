package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against losing track of outdated weights: only so many announcements are kept, and an
// engine whose VM was suspended over more of them holds a version older than the first one kept.
func TestWeightsOlderThanAllKeptAnnouncementsAreOutdated(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	for v := uint64(2); v <= 12; v++ {
		must.Eq(t, v > 2, r.Outdated("m", 1, 0), must.Sprint("before version ", v))
		r.Apply(registrar.Batch{After: v - 1, At: v, Records: []registrar.Record{record("weights/m", fmt.Sprint(v), v)}})
		for range 4 {
			c.Step(time.Second)
			r.Apply(registrar.Batch{After: v, At: v})
		}
	}
	must.True(t, r.KnownOutdated("m", 1, bound), must.Sprint("44 s after version 2"))
}

// Guards against an entry that found a version when it started and received the next one: weights
// older than both are outdated since then at the latest, although no process reported the age of
// the found one.
func TestWeightsOlderThanListedAnnouncementAreBoundedByNext(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(withoutAges(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "2", 1)}}))
	_, known := r.TimeLeft("m", 1, bound)
	must.False(t, known, must.Sprint("the announcement time is unknown"))
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "3", 2)}})
	c.Step(3 * time.Second)
	left, known := r.TimeLeft("m", 1, bound)
	must.True(t, known)
	must.Eq(t, bound-3*time.Second, left)
	must.True(t, r.Outdated("m", 1, bound), must.Sprint("it may have been superseded any time ago"))
}

// Guards against an entry that underestimates the age of an announcement: the store's answer was
// delayed for a second, or its reader was suspended for that long.
func TestDelayedAnnouncementCountsFromLastConfirmation(t *testing.T) {
	// margin is how long before the end of the weights' time limit an entry gives up a request.
	const margin = 60 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	c.Step(10 * time.Millisecond)
	announced := c.Now()
	c.Step(1100 * time.Millisecond)
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	at, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.LessEq(t, margin, at.Sub(announced))
}
