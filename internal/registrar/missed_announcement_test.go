package registrar_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against announcements that are lost with a record large enough to be compressed between
// processes. A process that starts after two recent announcements would take the second for the one
// that replaced the old weights, and callers would get replies from expired weights.
func TestLargeRecordCarriesAnnouncements(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	witness, started := newRegistrarAt(c), newRegistrarAt(c)
	large := func(version string) string { return version + strings.Repeat(" ", 4<<10) }
	witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", large("7"), 1)}})
	witness.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", large("8"), 2)}})
	announced := c.Now()
	c.Step(time.Second)
	witness.Apply(registrar.Batch{After: 2, At: 2})
	c.Step(time.Second)
	witness.Apply(registrar.Batch{After: 2, At: 2})
	c.Step(time.Second)
	witness.Apply(registrar.Batch{After: 2, At: 3, Records: []registrar.Record{record("weights/m", large("9"), 3)}})
	started.Apply(witness.ChangesSince(0))
	got, ok := supersededAt(started, 7)
	must.True(t, ok)
	must.False(t, got.After(announced), must.Sprintf("counts from %v after the announcement", got.Sub(announced)))
}

// Guards against an engine that never loads the newer weights after the store was restored to an
// older state, where the record of a model has a lower version than the one in force. Processes
// that have the newer one ignore that. A process that starts receives both from another; if it
// accepted the record and the announcements, its agent would consider the engine's weights
// outdated, and callers would be refused for good.
func TestStartingProcessUsesNewestAnnouncement(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	witness, started := newRegistrarAt(c), newRegistrarAt(c)
	witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "7", 1)}})
	witness.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "3", 2)}})
	started.Apply(witness.ChangesSince(0))
	w, ok := started.View().Weights("m")
	must.True(t, ok)
	must.Eq(t, w.Announcements[len(w.Announcements)-1].Version, w.Version)
}

// Guards against an announcement missed by a suspended process, whose record was deleted or
// corrupted by another writer before the process resumed. The process would take the next version
// for the one that replaced its old weights, and callers would get replies from expired weights.
func TestAnnouncementMissedBehindUnusableRecordCounts(t *testing.T) {
	for name, found := range map[string][]registrar.Record{
		"deleted": nil,
		"spoilt":  {{Key: "weights/m", Value: []byte("?"), Revision: 3, Age: registrar.UnknownAge}},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			r := newRegistrarAt(c)
			r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "5", 1)}})
			c.Step(time.Second)
			// Version 7 is announced here, at revision 2, and its record is unusable at revision 3.
			announced := c.Now()
			c.Step(9 * time.Second)
			r.Apply(registrar.Batch{Whole: true, At: 3, Records: found})
			r.Apply(registrar.Batch{After: 3, At: 4, Records: []registrar.Record{record("weights/m", "9", 4)}})
			got, ok := supersededAt(r, 5)
			must.True(t, ok)
			must.False(t, got.After(announced), must.Sprintf("counts from %v after the announcement", got.Sub(announced)))
		})
	}
}

// Guards against an announcement right after an outage of ten seconds that counts from before it.
// No version can be announced in the outage, and the processes ran all the while. The time limit of
// the old weights would be over at the announcement, at all engines at once, and callers would get
// no replies until the new weights are fetched and loaded.
func TestAnnouncementAfterOutageCountsFromItsEnd(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 10 {
		c.Step(time.Second)
		r.StoreCallFailed()
		other.StoreCallFailed()
	}
	r.Apply(other.ChangesSince(1))
	r.StoreCallSucceeded()
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	must.False(t, r.Outdated("m", 1, bound/2), must.Sprint("the version was announced a moment ago"))
}

// Guards against an announcement that counts too late after an unusable record. The same process
// receives the next version as a change, or in a list, or from a process that has just started. It
// may be the version of the unusable record: if it counted from its own record or from the last
// confirmation, old weights would start replies for longer.
func TestAnnouncementAfterUnusableRecordCountsFromIt(t *testing.T) {
	for _, next := range []string{"6", "9"} {
		for source, receive := range map[string]func(r, newcomer *registrar.Registrar, b registrar.Batch){
			"newcomer": func(r, newcomer *registrar.Registrar, b registrar.Batch) {
				newcomer.Apply(withoutAges(b))
				r.Apply(newcomer.ChangesSince(3))
			},
			"found": func(r, _ *registrar.Registrar, b registrar.Batch) { r.Apply(withoutAges(b)) },
			"seen":  func(r, _ *registrar.Registrar, b registrar.Batch) { r.Apply(b) },
		} {
			t.Run(source+next, func(t *testing.T) {
				c := clocktest.NewFakeClock(time.Unix(1000, 0))
				r, newcomer := newRegistrarAt(c), newRegistrarAt(c)
				r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "5", 1)}})
				// Version 6 is announced here, at revision 2, and its record is unusable at revision 3.
				announced := c.Now()
				c.Step(2 * time.Second)
				r.Apply(registrar.Batch{After: 1, At: 3, Records: []registrar.Record{{Key: "weights/m", Value: []byte("?"), Revision: 3}}})
				for range 8 {
					c.Step(time.Second)
					r.Apply(registrar.Batch{After: 3, At: 3})
				}
				receive(r, newcomer, registrar.Batch{Whole: true, At: 4, Records: []registrar.Record{record("weights/m", next, 4)}})
				got, ok := supersededAt(r, 5)
				must.True(t, ok)
				must.False(t, got.After(announced), must.Sprintf("counts from %v after the announcement", got.Sub(announced)))
			})
		}
	}
}
