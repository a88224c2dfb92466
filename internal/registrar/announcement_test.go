package registrar_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// maxCallGap is the longest gap between outages that count as one.
const maxCallGap = 2500 * time.Millisecond

func newRegistrarAt(c *clocktest.FakeClock) *registrar.Registrar {
	return &registrar.Registrar{Clock: c, Decode: decode, Linger: 1600 * time.Millisecond}
}

// supersededAt returns the time since which a process counts a version of model m as superseded.
func supersededAt(r *registrar.Registrar, version uint64) (time.Time, bool) {
	w, ok := r.View().Weights("m")
	if !ok {
		return time.Time{}, false
	}
	return w.SupersededAt(version)
}

// Guards against a process that was suspended over two announcements and receives only the last: it
// would count the time limit of its old weights from there, seconds too late.
func TestBatchCarriesAllAnnouncements(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	witness, suspended := newRegistrarAt(c), newRegistrarAt(c)
	witness.Apply(registrar.Batch{Whole: true, At: 1})
	announce := func(version string) time.Time {
		at, _, _ := witness.Revision()
		witness.Apply(registrar.Batch{After: at, At: at, Age: 0})
		witness.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{record("weights/m", version, at+1)}})
		return c.Now()
	}
	second := announce("2")
	suspended.Apply(witness.ChangesSince(0))
	c.Step(4 * time.Second)
	fourth := announce("4")
	c.Step(4 * time.Second)
	seventh := announce("7")
	c.Step(3 * time.Second)
	suspended.Apply(witness.ChangesSince(2))
	for version, want := range map[uint64]time.Time{1: second, 2: fourth, 3: fourth, 5: seventh, 6: seventh} {
		got, ok := supersededAt(suspended, version)
		must.True(t, ok)
		must.Eq(t, want, got, must.Sprintf("version %d", version))
	}
	_, ok := supersededAt(suspended, 7)
	must.False(t, ok)
}

// The same process reaches no peer and lists the store, which keeps the newest version only.
// Another may have been announced any time since its last confirmation.
func TestMissedAnnouncementsCountFromLastConfirmation(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "2", 1)}})
	confirmed := c.Now()
	c.Step(11 * time.Second)
	r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{
		{Key: "weights/m", Value: []byte("4"), Revision: 5, Age: registrar.UnknownAge}}})
	got, ok := supersededAt(r, 2)
	must.True(t, ok)
	must.Eq(t, confirmed, got)
}

// A version in force that is written again counts from its first announcement.
func TestRepeatedAnnouncementChangesNothing(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	announced := c.Now()
	c.Step(time.Second)
	r.Apply(registrar.Batch{After: 2, At: 3, Records: []registrar.Record{record("weights/m", "2", 3)}})
	got, _ := supersededAt(r, 1)
	must.Eq(t, announced, got)
}

// Processes watch, list, exchange updates, are suspended and restart in any order, while versions
// are announced with gaps in their numbers. None may ever count a version as superseded later than
// it was, or old weights would answer callers beyond their time limit. That limit applies to a
// period in which the store can be reached, so for a version announced before an outage it starts
// again when the store recovers.
func TestSupersessionIsNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		o := &oracle{live: map[string]registrar.Record{}}
		var truth []registrar.Announcement
		revisions := map[uint64]uint64{}
		rs := []*registrar.Registrar{newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)}
		process := rapid.IntRange(0, len(rs)-1)
		version := uint64(1)
		announce := func(t *rapid.T) {
			version += rapid.Uint64Range(1, 3).Draw(t, "gap")
			o.change("weights/m", strconv.FormatUint(version, 10), false)
			truth = append(truth, registrar.Announcement{Version: version, Learned: c.Now()})
			revisions[version] = o.revision
		}
		t.Repeat(map[string]func(*rapid.T){
			"name": func(t *rapid.T) {
				// Sometimes more in a row than are kept.
				for range rapid.IntRange(1, 11).Draw(t, "count") {
					announce(t)
					c.Step(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				}
			},
			"pass": func(t *rapid.T) {
				c.Step(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				b := o.list()
				for i := range b.Records {
					b.Records[i].Age = registrar.UnknownAge
				}
				r := rs[process.Draw(t, "process")]
				r.StoreCallStarted()
				r.StoreCallSucceeded()
				r.Apply(b)
			},
			"watch": func(t *rapid.T) {
				r := rs[process.Draw(t, "process")]
				if at, _, known := r.Revision(); known {
					r.StoreCallStarted()
					b := o.watch(at)
					b.Unconfirmed = time.Duration(rapid.IntRange(0, 1100).Draw(t, "unread")) * time.Millisecond
					c.Step(b.Unconfirmed / 2)
					if rapid.Bool().Draw(t, "named") {
						announce(t)
					}
					c.Step(b.Unconfirmed - b.Unconfirmed/2)
					r.StoreCallSucceeded()
					r.Apply(b)
				}
			},
			"tell": func(t *rapid.T) {
				from, to := rs[process.Draw(t, "from")], rs[process.Draw(t, "to")]
				at, _, _ := to.Revision()
				if _, _, known := from.Revision(); known {
					to.Apply(from.ChangesSince(at))
				}
			},
			// A process that found a version requests its age.
			"date": func(t *rapid.T) {
				from, to := rs[process.Draw(t, "from")], rs[process.Draw(t, "to")]
				at, _, known := to.Revision()
				if _, _, ready := from.Revision(); ready && known && to.NeedsAges() {
					to.Apply(from.ChangesSinceWithAges(at))
				}
			},
			// The store is unreachable for all, and a version is announced meanwhile: it may count
			// from any time up to the end, and so may one announced just before, which no process
			// need have received. Outages closer than that may count as one. Some processes make
			// failing calls, the others are suspended.
			"outage": func(t *rapid.T) {
				running := rapid.SliceOfN(rapid.Bool(), len(rs), len(rs)).Draw(t, "awake")
				version++
				o.change("weights/m", strconv.FormatUint(version, 10), false)
				start := c.Now()
				for range rapid.IntRange(1, 20).Draw(t, "half seconds") {
					for i, r := range rs {
						if running[i] {
							r.StoreCallStarted()
							r.StoreCallFailed()
						}
					}
					c.Step(500 * time.Millisecond)
				}
				for i := range truth {
					if start.Sub(truth[i].Learned) <= maxCallGap {
						truth[i].Learned = c.Now()
					}
				}
				truth = append(truth, registrar.Announcement{Version: version, Learned: c.Now()})
				revisions[version] = o.revision
			},
			"restart": func(t *rapid.T) { rs[process.Draw(t, "process")] = newRegistrarAt(c) },
			"": func(t *rapid.T) {
				for i, r := range rs {
					at, _, known := r.Revision()
					if !known {
						continue
					}
					for held := uint64(1); held <= version; held++ {
						var next *registrar.Announcement
						for j := range truth {
							if truth[j].Version > held && revisions[truth[j].Version] <= at {
								next = &truth[j]
								break
							}
						}
						got, ok := supersededAt(r, held)
						if ok != (next != nil) {
							t.Fatalf("process %d at revision %d: version %d superseded: got %v, want %v", i, at, held, ok, next)
						}
						if !ok {
							continue
						}
						if got.After(next.Learned) {
							t.Fatalf("process %d: version %d superseded %v too late", i, held, got.Sub(next.Learned))
						}
					}
				}
			},
		})
	})
}
