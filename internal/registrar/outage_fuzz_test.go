package registrar_test

import (
	"strconv"
	"testing"
	"time"

	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// flakyStore simulates a store that fails and recovers.
type flakyStore struct {
	oracle
	clock *clocktest.FakeClock
	// downSince is when the outage started; zero while the store answers.
	downSince time.Time
	announced []announcement
}

// announcement is an announced version and the latest time from which it may count.
type announcement struct {
	version, revision uint64
	countsFrom        time.Time
	// endsWithOutage is set if this time is the end of the current outage.
	endsWithOutage bool
}

func (u *flakyStore) announce(version uint64) {
	u.change("weights/m", strconv.FormatUint(version, 10), false)
	u.announced = append(u.announced, announcement{version: version, revision: u.revision, countsFrom: u.clock.Now(), endsWithOutage: !u.downSince.IsZero()})
}

// startOutage starts an outage. Recent announcements may count from its end too.
func (u *flakyStore) startOutage() {
	u.downSince = u.clock.Now()
	for i, n := range u.announced {
		u.announced[i].endsWithOutage = u.downSince.Sub(n.countsFrom) <= maxCallGap
	}
}

func (u *flakyStore) recover() {
	u.downSince = time.Time{}
	for i, n := range u.announced {
		if n.endsWithOutage {
			u.announced[i].countsFrom, u.announced[i].endsWithOutage = u.clock.Now(), false
		}
	}
}

// call makes a process call the store, which returns a list if found is set, or else changes.
func (u *flakyStore) call(r *registrar.Registrar, found bool) {
	r.StoreCallStarted()
	at, _, known := r.Revision()
	switch {
	case !u.downSince.IsZero():
		r.StoreCallFailed()
	case found || !known:
		r.StoreCallSucceeded()
		r.Apply(withoutAges(u.list()))
	default:
		r.StoreCallSucceeded()
		r.Apply(u.watch(at))
	}
}

// latestSupersession returns the latest time from which a process at a revision may count a version
// as superseded; false while no newer one is known there.
func (u *flakyStore) latestSupersession(held, revision uint64) (time.Time, bool) {
	for _, n := range u.announced {
		if n.version <= held || n.revision > revision {
			continue
		}
		if n.endsWithOutage {
			return u.clock.Now(), true
		}
		return n.countsFrom, true
	}
	return time.Time{}, false
}

// check fails if a process counts a version up to the newest as superseded from later than it may.
func (u *flakyStore) check(t *rapid.T, rs []*registrar.Registrar, newest uint64) {
	for i, r := range rs {
		at, _, known := r.Revision()
		if !known {
			continue
		}
		for held := uint64(1); held <= newest; held++ {
			latest, announced := u.latestSupersession(held, at)
			got, ok := supersededAt(r, held)
			if ok != announced {
				t.Fatalf("process %d: version %d superseded: got %v, want %v", i, held, ok, announced)
			}
			if ok && got.After(latest) {
				t.Fatalf("process %d: version %d superseded %v too late", i, held, got.Sub(latest))
			}
		}
	}
}

// The store fails and recovers, and processes call it, exchange updates, restart and are suspended
// in any order, in outages too. Observations of an outage are passed on; if they covered more than
// was observed, old weights would start replies beyond their time limit.
func TestSupersessionIsNeverLateAcrossOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		u := &flakyStore{oracle: oracle{live: map[string]registrar.Record{}}, clock: c}
		rs := []*registrar.Registrar{newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)}
		process := rapid.IntRange(0, len(rs)-1)
		version := uint64(1)
		u.change("weights/m", "1", false)
		for _, r := range rs {
			u.call(r, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"name": func(t *rapid.T) {
				version += rapid.Uint64Range(1, 2).Draw(t, "gap")
				u.announce(version)
			},
			"store": func(*rapid.T) {
				if u.downSince.IsZero() {
					u.startOutage()
				} else {
					u.recover()
				}
			},
			"pass": func(t *rapid.T) {
				c.Step(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			// Processes that aren't drawn are suspended.
			"call": func(t *rapid.T) {
				running := rapid.SliceOfN(rapid.Bool(), len(rs), len(rs)).Draw(t, "awake")
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					for i, r := range rs {
						if running[i] {
							u.call(r, rapid.Bool().Draw(t, "found"))
						}
					}
					c.Step(time.Duration(rapid.IntRange(10, 1000).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"tell": func(t *rapid.T) {
				from, to := rs[process.Draw(t, "from")], rs[process.Draw(t, "to")]
				at, _, _ := to.Revision()
				if _, _, known := from.Revision(); known {
					b, unread := from.ChangesSince(at), time.Duration(rapid.IntRange(0, 3).Draw(t, "unread"))*time.Second
					c.Step(unread)
					to.Apply(b.Older(unread))
				}
			},
			// A process that found a version requests its age.
			"date": func(t *rapid.T) {
				from, to := rs[process.Draw(t, "from")], rs[process.Draw(t, "to")]
				at, _, known := to.Revision()
				if _, _, ready := from.Revision(); ready && known && to.NeedsAges() {
					b, unread := from.ChangesSinceWithAges(at), time.Duration(rapid.IntRange(0, 3).Draw(t, "unread"))*time.Second
					c.Step(unread)
					to.Apply(b.Older(unread))
				}
			},
			"restart": func(t *rapid.T) { rs[process.Draw(t, "process")] = newRegistrarAt(c) },
			"":        func(t *rapid.T) { u.check(t, rs, version) },
		})
	})
}

// One process is partitioned from the store for good, while the store fails and recovers for the
// others; these are suspended at times, and the first call after that may fail. The failed calls
// that the partitioned one reports must not cover the time of their suspension, or stale versions
// would start replies for as much longer.
func TestPartitionedProcessCoversNoSuspension(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		u := &flakyStore{oracle: oracle{live: map[string]registrar.Record{}}, clock: c}
		partitioned := newRegistrarAt(c)
		rs := []*registrar.Registrar{newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)}
		lastRun := make([]time.Time, len(rs))
		u.change("weights/m", "1", false)
		u.call(partitioned, true)
		for i, r := range rs {
			u.call(r, true)
			lastRun[i] = c.Now()
		}
		version := uint64(1)
		send := func(from, to *registrar.Registrar) {
			at, _, _ := to.Revision()
			to.Apply(from.ChangesSince(at))
		}
		// call makes a process call the store; the first call after a suspension may fail.
		call := func(t *rapid.T, i int) {
			if c.Now().Sub(lastRun[i]) > maxCallGap && rapid.Bool().Draw(t, "fails") {
				rs[i].StoreCallFailed()
			} else {
				u.call(rs[i], rapid.Bool().Draw(t, "found"))
			}
			lastRun[i] = c.Now()
		}
		t.Repeat(map[string]func(*rapid.T){
			"name": func(*rapid.T) {
				version++
				u.announce(version)
			},
			"store": func(*rapid.T) {
				if u.downSince.IsZero() {
					u.startOutage()
				} else {
					u.recover()
				}
			},
			"call": func(t *rapid.T) {
				running := rapid.SliceOfN(rapid.Bool(), len(rs), len(rs)).Draw(t, "awake")
				for range rapid.IntRange(1, 8).Draw(t, "times") {
					partitioned.StoreCallFailed()
					for i, r := range rs {
						if !running[i] {
							continue
						}
						call(t, i)
						if rapid.Bool().Draw(t, "hears") {
							send(partitioned, r)
						}
					}
					c.Step(time.Duration(rapid.IntRange(10, 1000).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"tell": func(t *rapid.T) {
				process := rapid.IntRange(0, len(rs)-1)
				to := process.Draw(t, "to")
				send(rs[process.Draw(t, "from")], rs[to])
				lastRun[to] = c.Now()
			},
			"": func(t *rapid.T) {
				for i, r := range rs {
					at, _, _ := r.Revision()
					for held := uint64(1); held <= version; held++ {
						latest, _ := u.latestSupersession(held, at)
						got, ok := supersededAt(r, held)
						// A suspension up to maxCallGap isn't detected.
						if late := got.Sub(latest); ok && late > maxCallGap {
							t.Fatalf("process %d: version %d superseded %v too late", i, held, late)
						}
					}
				}
			},
		})
	})
}
