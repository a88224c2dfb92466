package gossiper_test

import (
	"errors"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
)

// The store goes down and stays down for ten minutes, at first answering 503 and
// later swallowing calls without an answer. If entries took that for being cut
// off, they would all refuse work seconds later, and growers and residents would
// get no answer for as long as it lasts.
func TestServesThroughLongOutage(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.inForce(1, 5*time.Second)
		pass(3 * time.Second)
		f.faults(`{"down":true}`)
		f.during(5*time.Minute, f.serves)
		f.faults(`{}`)
		f.during(10*time.Second, f.serves)
		f.link.Cut.Store(true)
		f.during(5*time.Minute, f.serves)
		f.link.Cut.Store(false)
		f.publish(2)
		f.inForce(2, 10*time.Second)
	})
}

// The store fails right after one entry has told another that it reaches it, and
// the word that it no longer does comes late. The second entry holds the votes of
// all others by the time its confirmation lapses; if it went on believing the
// success, it would refuse work for up to a second. A failure from before the
// success, passed on by a third entry, must still not count in its place.
func TestSuccessEndsBeforeItsConfirmation(t *testing.T) {
	must.NoError(t, afterSuccess(t, "b", "c", "d"))
	must.Error(t, afterSuccess(t, "b", "c"))
}

// afterSuccess is whether an entry of five serves just after its confirmation
// lapsed, if b reached the store once more after its last failure that a third
// entry tells of, beside those of the others in silent.
func afterSuccess(t *testing.T, silent ...string) error {
	c := testclock.NewFakePassiveClock(start)
	s := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 5, ID: "a"}
	_, err := s.Observe(signed(1, "c1"), start)
	must.NoError(t, err)
	word := s.Word()
	c.SetTime(start.Add(s.ReachFor()))
	word.AgeMS = s.ReachFor().Milliseconds()
	s.HearAnswer(messenger.EntryState{ID: "b", StoreReachable: true, Freshness: word}, c.Now())
	c.SetTime(start.Add(gossiper.DefaultFreshFor - 100*time.Millisecond))
	s.Fail()
	s.Word() // goes through the votes, and forgets those that lapsed
	word.AgeMS = c.Now().Sub(start).Milliseconds()
	var v messenger.DisconnectedEntries
	for _, name := range silent {
		v.IDs = append(v.IDs, uint32(xxhash.Sum64String(name)))
		v.AgesMS = append(v.AgesMS, 1500)
	}
	word.Disconnected = []messenger.DisconnectedEntries{v}
	s.HearAnswer(messenger.EntryState{ID: "c", Freshness: word}, c.Now())
	c.SetTime(start.Add(gossiper.DefaultFreshFor + 20*time.Millisecond))
	return s.MayServe()
}

// The store takes a second and a half for each call, then four seconds, which is
// longer than a confirmation lasts and longer than the timeout. Users would
// notice entries that refuse work now and then although nothing has changed.
func TestServesWithSlowStore(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.inForce(1, 5*time.Second)
		pass(3 * time.Second)
		f.faults(`{"delayMs":1500}`)
		f.during(time.Minute, f.serves)
		f.publish(2)
		f.inForce(2, 5*time.Second)
		f.faults(`{"delayMs":4000}`)
		f.during(time.Minute, f.serves)
	})
}

// An entry is replaced while the store is down. It can learn the bundle only
// from the other entries; without them the replaced entries would refuse all
// work until the store is back, and after a rolling restart that is everyone.
func TestStartsWhileStoreIsDown(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.inForce(1, 5*time.Second)
		f.faults(`{"down":true}`)
		for i := range f.nodes {
			f.start(i)
			pass(10 * time.Second)
			f.serves(f.nodes[i])
		}
	})
}

// All entries are replaced at once while the store is down: only agents still
// hold the bundle, one of them an older one. Entries that did not take it from
// them would refuse all work; entries that served by the first one they hear
// would send work into a failure domain that was drained since.
func TestAllRestartedWhileStoreIsDown(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.faults(`{"down":true}`)
		f.startAll()
		pass(3 * time.Second)
		report := func(i int, revision uint64) {
			_, err := f.nodes[i].state.Offer(signed(revision, "c"))
			must.NoError(f.t, err)
		}
		report(0, 1)
		f.during(2*time.Second, func(n *node) { must.Error(f.t, n.state.MayServe()) })
		report(3, 2)
		f.during(10*time.Second, func(n *node) {
			must.True(f.t, n.state.MayServe() != nil || holds(n.state, 2))
		})
		f.during(time.Second, f.serves)
	})
}

// A long poll can die without an error: the service forgets it, or a device on
// the path drops the connection. The entry would wait in it for a change that
// came and went, and send work to a drained failure domain for up to half a
// minute.
func TestNoticesDeadWatch(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.publish(1)
		f.faults(`{"deadWatches":true}`)
		f.startAll()
		f.inForce(1, 5*time.Second)
		pass(5 * time.Second)
		f.publish(2)
		f.inForce(2, 2*time.Second)
		pass(2 * time.Second)
		must.Positive(f.t, f.nodes[0].watcher.DeadWatches())
	})
}

// A failure domain is drained while one entry is cut off from everything but its
// callers and its own agents. It would go on sending them work into the drained
// domain until someone noticed; it has to stop by itself.
func TestCutOffEntryStopsDuringDrain(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.inForce(1, 5*time.Second)
		pass(3 * time.Second)
		agent := &gossiper.State{Keyring: keyring(), Clock: clock.RealClock{}}
		_, err := agent.Offer(signed(1, "c1"))
		must.NoError(f.t, err)
		report := func(i int) { agent.HearWord(f.nodes[i].state.Word(), time.Now()) }
		report(4)
		must.NoError(f.t, agent.MayServe())
		f.nodes[4].cut.Store(true)
		f.publish(2)
		pass(gossiper.DefaultFreshFor + time.Millisecond)
		f.during(20*time.Second, func(n *node) {
			report(4)
			must.Eq(f.t, n.cut.Load(), n.state.MayServe() != nil)
			must.Error(f.t, agent.MayServe())
		})
		f.nodes[4].cut.Store(false)
		f.inForce(2, 5*time.Second)
	})
}

// The platform restores its service from an old copy, which holds revision 1
// while 2 is in force everywhere. Entries that believed it would bring a drained
// failure domain back; one that is replaced just then does not know better until
// it hears a peer. Service goes on, and an operator is told.
func TestStoreRestoredOlder(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.publish(1)
		f.admin("/admin/snapshot", "{}")
		f.publish(2)
		f.startAll()
		f.inForce(2, 5*time.Second)
		pass(3 * time.Second)
		f.admin("/admin/restore", "{}")
		f.during(20*time.Second, func(n *node) { f.serves(n); must.True(f.t, holds(n.state, 2)) })
		must.Positive(f.t, alarms(f.nodes[0].state, gossiper.AlarmRolledBack))
		f.start(4)
		f.during(20*time.Second, func(n *node) {
			if n != f.nodes[4] {
				f.serves(n)
			}
		})
		must.True(f.t, holds(f.nodes[4].state, 2))
		_, r := f.nodes[0].state.Current()
		p := &publisher.Publisher{Store: f.store(nil), Keyring: keyring()}
		must.NoError(f.t, p.Restore(f.t.Context(), r))
		f.publish(3)
		f.inForce(3, 5*time.Second)
		f.during(10*time.Second, f.serves)
	})
}

// Somebody with access to the store, but without the operators' keys, overwrites
// the bundle. Entries that took it would run what nobody signed off; entries that
// gave up their own would refuse all work.
func TestGarbageInStore(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.inForce(1, 5*time.Second)
		pass(3 * time.Second)
		i, err := f.store(nil).Get(f.t.Context(), gossiper.BundleKey)
		must.NoError(f.t, err)
		forged, err := record(2, "forged", operators[2]).Encode()
		must.NoError(f.t, err)
		for _, value := range [][]byte{forged, []byte("garbage")} {
			i.Version, err = f.store(nil).Put(f.t.Context(), gossiper.BundleKey, value, i.Version, "")
			must.NoError(f.t, err)
			f.during(10*time.Second, func(n *node) { f.serves(n); must.True(f.t, holds(n.state, 1)) })
		}
		must.Positive(f.t, alarms(f.nodes[0].state, gossiper.AlarmBadRecord))
	})
}

// More than half of the entries, but none of those beside the store, lose the
// store and the rest together, and operators beside the store drain a failure
// domain. Counting a majority alone takes that for an outage, and the cut-off
// part would serve by the old bundle as long as the cut lasts.
func TestMajorityCutOffFromStore(t *testing.T) {
	for _, c := range []struct {
		storeRegion string
		serves      bool
	}{{"", true}, {"huon", false}} {
		m := newModel(5, 0, c.storeRegion)
		m.settle(t)
		m.cutStore = map[int]bool{2: true, 3: true, 4: true}
		for i := range 2 {
			for j := range 5 {
				m.cut[[2]int{i, j}] = true
			}
		}
		m.publish()
		for range 20 {
			m.step(200 * time.Millisecond)
		}
		must.Eq(t, c.serves, m.nodes[2].MayServe() == nil)
	}
}

// An entry's VM is frozen while two revisions go by, and wakes up with old words
// still unread in its sockets. If it took them for new, or went by a monotonic
// clock that stood still, it would send work by a bundle two revisions old.
func TestPausedOverTwoRevisions(t *testing.T) {
	c := testclock.NewFakePassiveClock(start)
	s := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 3, ID: "e0"}
	_, err := s.Observe(signed(1, "c1"), c.Now())
	must.NoError(t, err)
	must.NoError(t, s.MayServe())
	asked := c.Now()
	c.SetTime(start.Add(20 * time.Second))
	word := messenger.Freshness{Revision: 1, Digest: signed(1, "c1").Digest(), AgeMS: 5}
	word.Disconnected = silence("e1", "e2")
	s.Hear(messenger.EntryState{ID: "e1", Freshness: word})
	s.HearAnswer(messenger.EntryState{ID: "e1", Freshness: word}, asked)
	var stale *gossiper.StaleError
	must.True(t, errors.As(s.MayServe(), &stale))
	must.Eq(t, 20*time.Second, stale.Age)
	_, err = s.Observe(signed(3, "c3"), c.Now())
	must.NoError(t, err)
	must.NoError(t, s.MayServe())
}

// silence is the word of some entries that the store failed them just now.
func silence(ids ...string) []messenger.DisconnectedEntries {
	var v messenger.DisconnectedEntries
	for _, id := range ids {
		v.IDs = append(v.IDs, uint32(xxhash.Sum64String(id)))
		v.AgesMS = append(v.AgesMS, 0)
	}
	return []messenger.DisconnectedEntries{v}
}

// outageEntry is one of three entries, holds revision 2 and counts the store out.
func outageEntry(t *testing.T) (*gossiper.State, *testclock.FakePassiveClock, messenger.Freshness) {
	c := testclock.NewFakePassiveClock(start)
	s := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 3, ID: "e0"}
	_, err := s.Observe(signed(2, "c2"), c.Now())
	must.NoError(t, err)
	c.SetTime(start.Add(20 * time.Second))
	s.Fail()
	w := messenger.Freshness{Revision: 2, Digest: signed(2, "c2").Digest(), AgeMS: 20000, Disconnected: silence("e1")}
	s.HearAnswer(messenger.EntryState{ID: "e1", Freshness: w}, c.Now())
	must.NoError(t, s.MayServe())
	return s, c, w
}

// While the store is rolled back an entry is replaced, reads the old revision
// from it and says that it reaches the store. Were that counted, all the others
// would refuse work: the store does not confirm what they hold.
func TestEntryAtRolledBackStoreIsNotCounted(t *testing.T) {
	s, c, _ := outageEntry(t)
	replaced := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 3, ID: "e2"}
	_, err := replaced.Observe(signed(1, "c1"), c.Now())
	must.NoError(t, err)
	hear := func() {
		c.SetTime(c.Now().Add(time.Millisecond))
		s.HearAnswer(messenger.EntryState{ID: "e2", StoreReachable: replaced.StoreReachable(), Freshness: replaced.Word()}, c.Now())
	}
	hear()
	must.NoError(t, s.MayServe())
	_, err = replaced.Offer(signed(2, "c2"))
	must.NoError(t, err)
	hear()
	must.NoError(t, s.MayServe())
}

// An entry hears that revision 3 exists, but its record does not come. The store
// is out, or rolled back to 2. Whatever the others say, 2 is not the newest, and
// serving by it would be work sent to where it was taken away.
func TestKnownHigherRevisionStopsService(t *testing.T) {
	s, c, w := outageEntry(t)
	s.Hear(messenger.EntryState{ID: "e2", Freshness: messenger.Freshness{Revision: 3, AgeMS: -1}})
	must.Error(t, s.MayServe())
	must.SliceEmpty(t, s.Word().Disconnected)
	c.SetTime(c.Now().Add(time.Millisecond))
	s.Confirm(2, w.Digest, c.Now())
	must.Error(t, s.MayServe())
	_, err := s.Observe(signed(3, "c3"), c.Now())
	must.NoError(t, err)
	must.NoError(t, s.MayServe())
}

// Two revisions with the same number can only come from a store that was rolled
// back and written again. Processes that changed over by chance would serve by
// different bundles without anyone knowing.
func TestForkIsAnAlarm(t *testing.T) {
	s := &gossiper.State{Keyring: keyring(), Clock: testclock.NewFakePassiveClock(start)}
	_, err := s.Observe(signed(1, "ours"), start)
	must.NoError(t, err)
	_, err = s.Offer(signed(1, "theirs"))
	var fork *gossiper.ForkError
	must.True(t, errors.As(err, &fork))
	s.HearWord(messenger.Freshness{Revision: 1, Digest: fork.Found}, start)
	s.Confirm(0, "", start)
	must.Eq(t, 2, alarms(s, gossiper.AlarmFork))
	must.Eq(t, 1, alarms(s, gossiper.AlarmEmptyStore))
	b, _ := s.Current()
	must.Eq(t, "ours", b.ChangeID)
}

// After an outage that took all entries with it, 380 of them start within the
// same instant before a store that takes 2,000 reads a second. If each asked at
// once and again on each failure, the store would go down under them and a burst
// of changes would follow late everywhere.
func TestRestartOfAllStaysWithinStoreRates(t *testing.T) {
	const reads = 2000
	inFleet(t, 380, func(f *fleet) {
		f.publish(1)
		f.faults(`{"down":true}`)
		f.startAll()
		worst := f.worstSecond(6)
		f.faults(`{}`)
		before := f.link.Calls.Load()
		took := f.inForce(1, 5*time.Second)
		worst = max(worst, f.link.Calls.Load()-before, f.worstSecond(3))
		f.publish(2)
		worst = max(worst, f.worstSecond(5))
		calm := f.link.Calls.Load()
		pass(10 * time.Second)
		calm = (f.link.Calls.Load() - calm) / 10
		f.t.Logf("380 entries: at most %d calls in a second, %d a second when calm, in force %v", worst, calm, took)
		must.Less(f.t, reads/2, worst)
		must.Less(f.t, reads/10, calm)
	})
}

// worstSecond is the most calls to the store in one of the next n seconds.
func (f *fleet) worstSecond(n int) int64 {
	worst := int64(0)
	for range n {
		before := f.link.Calls.Load()
		pass(time.Second)
		worst = max(worst, f.link.Calls.Load()-before)
	}
	return worst
}
