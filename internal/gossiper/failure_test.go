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

// The store is down for ten minutes, first answering 503 and later not at all.
// Entries that took this for their own partition would all refuse work within
// seconds, and callers would get no answer during the whole outage.
func TestServesThroughLongOutage(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.awaitRevision(1, 5*time.Second)
		advance(3 * time.Second)
		f.faults(`{"down":true}`)
		f.checkDuring(5*time.Minute, f.mustServe)
		f.faults(`{}`)
		f.checkDuring(10*time.Second, f.mustServe)
		f.storeLink.Cut.Store(true)
		f.checkDuring(5*time.Minute, f.mustServe)
		f.storeLink.Cut.Store(false)
		f.publish(2)
		f.awaitRevision(2, 10*time.Second)
	})
}

// The store fails right after one entry reported it reachable to another, and
// the report of the failure arrives late. By the time its confirmation expires
// the second entry has the failure reports of all others; if the success still
// counted, it would refuse work for up to a second. A failure from before the
// success, forwarded by a third entry, must not count in its place.
func TestStoreSuccessExpiresBeforeConfirmation(t *testing.T) {
	must.NoError(t, serveAfterSuccess(t, "b", "c", "d"))
	must.Error(t, serveAfterSuccess(t, "b", "c"))
}

// serveAfterSuccess returns the MayServe error of one of five entries just after
// its confirmation expired. Entry b reached the store after the failure that a
// third entry forwards for it along with those of the others in failed.
func serveAfterSuccess(t *testing.T, failed ...string) error {
	c := testclock.NewFakePassiveClock(start)
	s := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 5, ID: "a"}
	_, err := s.Observe(signed(1, "c1"), start)
	must.NoError(t, err)
	update := s.StatusUpdate()
	c.SetTime(start.Add(s.ReachableFor()))
	update.AgeMS = s.ReachableFor().Milliseconds()
	s.ReceiveAnswer(messenger.EntryState{ID: "b", StoreReachable: true, Freshness: update}, c.Now())
	c.SetTime(start.Add(gossiper.DefaultFreshFor - 100*time.Millisecond))
	s.MarkStoreFailed()
	s.StatusUpdate() // counts the reports and deletes the expired ones
	update.AgeMS = c.Now().Sub(start).Milliseconds()
	var v messenger.DisconnectedEntries
	for _, name := range failed {
		v.IDs = append(v.IDs, uint32(xxhash.Sum64String(name)))
		v.AgesMS = append(v.AgesMS, 1500)
	}
	update.Disconnected = []messenger.DisconnectedEntries{v}
	s.ReceiveAnswer(messenger.EntryState{ID: "c", Freshness: update}, c.Now())
	c.SetTime(start.Add(gossiper.DefaultFreshFor + 20*time.Millisecond))
	return s.MayServe()
}

// The store takes 1.5 seconds for each call, then four, which exceeds both the
// lifetime of a confirmation and the timeout. Entries must not refuse work from
// time to time although nothing has changed.
func TestServesWithSlowStore(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.awaitRevision(1, 5*time.Second)
		advance(3 * time.Second)
		f.faults(`{"delayMs":1500}`)
		f.checkDuring(time.Minute, f.mustServe)
		f.publish(2)
		f.awaitRevision(2, 5*time.Second)
		f.faults(`{"delayMs":4000}`)
		f.checkDuring(time.Minute, f.mustServe)
	})
}

// An entry is replaced while the store is down. It can get the bundle only from
// the other entries; without them replaced entries would refuse all work until
// the store is back, and after a rolling restart that is all of them.
func TestStartsWhileStoreIsDown(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.awaitRevision(1, 5*time.Second)
		f.faults(`{"down":true}`)
		for i := range f.nodes {
			f.start(i)
			advance(10 * time.Second)
			f.mustServe(f.nodes[i])
		}
	})
}

// All entries are replaced at once while the store is down: only agents still
// hold the bundle, one of them an older one. Entries that ignored it would
// refuse all work; entries that served by the first one they receive would send
// work into a failure domain drained since.
func TestAllRestartedWhileStoreIsDown(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.faults(`{"down":true}`)
		f.startAll()
		advance(3 * time.Second)
		report := func(i int, revision uint64) {
			_, err := f.nodes[i].state.Offer(signed(revision, "c"))
			must.NoError(f.t, err)
		}
		report(0, 1)
		f.checkDuring(2*time.Second, func(n *node) { must.Error(f.t, n.state.MayServe()) })
		report(3, 2)
		f.checkDuring(10*time.Second, func(n *node) {
			must.True(f.t, n.state.MayServe() != nil || holds(n.state, 2))
		})
		f.checkDuring(time.Second, f.mustServe)
	})
}

// A long poll can die without an error: the service loses it, or a device on the
// path drops the connection. The entry would miss a change and send work into a
// drained failure domain for up to half a minute.
func TestDetectsDeadWatch(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.publish(1)
		f.faults(`{"deadWatches":true}`)
		f.startAll()
		f.awaitRevision(1, 5*time.Second)
		advance(5 * time.Second)
		f.publish(2)
		f.awaitRevision(2, 2*time.Second)
		advance(2 * time.Second)
		must.Positive(f.t, f.nodes[0].watcher.DeadWatches())
	})
}

// A failure domain is drained while one entry is partitioned from everything but
// its callers and its own agents. Unless it stops by itself, it keeps sending
// them work into the drained domain.
func TestPartitionedEntryStopsDuringDrain(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.awaitRevision(1, 5*time.Second)
		advance(3 * time.Second)
		agent := &gossiper.State{Keyring: keyring(), Clock: clock.RealClock{}}
		_, err := agent.Offer(signed(1, "c1"))
		must.NoError(f.t, err)
		reportFrom := func(i int) { agent.ReceiveUpdate(f.nodes[i].state.StatusUpdate(), time.Now()) }
		reportFrom(4)
		must.NoError(f.t, agent.MayServe())
		f.nodes[4].partitioned.Store(true)
		f.publish(2)
		advance(gossiper.DefaultFreshFor + time.Millisecond)
		f.checkDuring(20*time.Second, func(n *node) {
			reportFrom(4)
			must.Eq(f.t, n.partitioned.Load(), n.state.MayServe() != nil)
			must.Error(f.t, agent.MayServe())
		})
		f.nodes[4].partitioned.Store(false)
		f.awaitRevision(2, 5*time.Second)
	})
}

// The store is restored from an old copy with revision 1 while all processes
// hold 2. Entries that relied on it would reinstate a drained failure domain; an
// entry replaced meanwhile holds revision 1 until it reaches a peer. Service
// continues, and an alarm is raised.
func TestStoreRestoredFromOldCopy(t *testing.T) {
	inFleet(t, 5, func(f *fleet) {
		f.publish(1)
		f.admin("/admin/snapshot", "{}")
		f.publish(2)
		f.startAll()
		f.awaitRevision(2, 5*time.Second)
		advance(3 * time.Second)
		f.admin("/admin/restore", "{}")
		f.checkDuring(20*time.Second, func(n *node) { f.mustServe(n); must.True(f.t, holds(n.state, 2)) })
		must.Positive(f.t, alarms(f.nodes[0].state, gossiper.AlarmRolledBack))
		f.start(4)
		f.checkDuring(20*time.Second, func(n *node) {
			if n != f.nodes[4] {
				f.mustServe(n)
			}
		})
		must.True(f.t, holds(f.nodes[4].state, 2))
		_, r := f.nodes[0].state.Current()
		p := &publisher.Publisher{Store: f.store(nil), Keyring: keyring()}
		must.NoError(f.t, p.Restore(f.t.Context(), r))
		f.publish(3)
		f.awaitRevision(3, 5*time.Second)
		f.checkDuring(10*time.Second, f.mustServe)
	})
}

// The bundle is overwritten by a party with access to the store but without the
// operators' keys. Entries that accepted it would run unsigned changes; entries
// that dropped their own bundle would refuse all work.
func TestGarbageInStore(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.publish(1)
		f.startAll()
		f.awaitRevision(1, 5*time.Second)
		advance(3 * time.Second)
		i, err := f.store(nil).Get(f.t.Context(), gossiper.BundleKey)
		must.NoError(f.t, err)
		forged, err := record(2, "forged", operators[2]).Encode()
		must.NoError(f.t, err)
		for _, value := range [][]byte{forged, []byte("garbage")} {
			i.Version, err = f.store(nil).Put(f.t.Context(), gossiper.BundleKey, value, i.Version, "")
			must.NoError(f.t, err)
			f.checkDuring(10*time.Second, func(n *node) { f.mustServe(n); must.True(f.t, holds(n.state, 1)) })
		}
		must.Positive(f.t, alarms(f.nodes[0].state, gossiper.AlarmBadRecord))
	})
}

// More than half of the entries, but none beside the store, are partitioned
// together from the store and the other entries, and a failure domain is
// drained. Counting a majority alone mistakes that for an outage, and the
// partitioned entries would serve by the old bundle until the partition ends.
func TestMajorityPartitionedFromStore(t *testing.T) {
	for _, c := range []struct {
		storeRegion string
		serves      bool
	}{{"", true}, {"huon", false}} {
		m := newModel(5, 0, c.storeRegion)
		m.converge(t)
		m.cutStore = map[int]bool{2: true, 3: true, 4: true}
		for i := range 2 {
			for j := range 5 {
				m.cutLinks[[2]int{i, j}] = true
			}
		}
		m.publish()
		for range 20 {
			m.step(200 * time.Millisecond)
		}
		must.Eq(t, c.serves, m.nodes[2].MayServe() == nil)
	}
}

// An entry's VM is suspended during two revisions and resumes with old messages
// unread in its sockets. If it took them for new, or relied on a monotonic clock,
// which stops meanwhile, it would serve two revisions behind.
func TestSuspendedDuringTwoRevisions(t *testing.T) {
	c := testclock.NewFakePassiveClock(start)
	s := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 3, ID: "e0"}
	_, err := s.Observe(signed(1, "c1"), c.Now())
	must.NoError(t, err)
	must.NoError(t, s.MayServe())
	asked := c.Now()
	c.SetTime(start.Add(20 * time.Second))
	update := messenger.Freshness{Revision: 1, Digest: signed(1, "c1").Digest(), AgeMS: 5}
	update.Disconnected = failureReports("e1", "e2")
	s.ReceiveUnsolicited(messenger.EntryState{ID: "e1", Freshness: update})
	s.ReceiveAnswer(messenger.EntryState{ID: "e1", Freshness: update}, asked)
	var stale *gossiper.StaleError
	must.True(t, errors.As(s.MayServe(), &stale))
	must.Eq(t, 20*time.Second, stale.Age)
	_, err = s.Observe(signed(3, "c3"), c.Now())
	must.NoError(t, err)
	must.NoError(t, s.MayServe())
}

// failureReports returns store failures of the given entries with age zero.
func failureReports(ids ...string) []messenger.DisconnectedEntries {
	var v messenger.DisconnectedEntries
	for _, id := range ids {
		v.IDs = append(v.IDs, uint32(xxhash.Sum64String(id)))
		v.AgesMS = append(v.AgesMS, 0)
	}
	return []messenger.DisconnectedEntries{v}
}

// entryDuringOutage is one of three, holds revision 2 and detects an outage.
func entryDuringOutage(t *testing.T) (*gossiper.State, *testclock.FakePassiveClock, messenger.Freshness) {
	c := testclock.NewFakePassiveClock(start)
	s := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 3, ID: "e0"}
	_, err := s.Observe(signed(2, "c2"), c.Now())
	must.NoError(t, err)
	c.SetTime(start.Add(20 * time.Second))
	s.MarkStoreFailed()
	update := messenger.Freshness{Revision: 2, Digest: signed(2, "c2").Digest(), AgeMS: 20000, Disconnected: failureReports("e1")}
	s.ReceiveAnswer(messenger.EntryState{ID: "e1", Freshness: update}, c.Now())
	must.NoError(t, s.MayServe())
	return s, c, update
}

// While the store is rolled back, an entry is replaced, reads the old revision
// and reports that it reaches the store. If that counted, all other entries
// would refuse work, because the store does not confirm what they hold.
func TestEntryAtRolledBackStoreIsNotCounted(t *testing.T) {
	s, c, _ := entryDuringOutage(t)
	replaced := &gossiper.State{Keyring: keyring(), Clock: c, Entries: 3, ID: "e2"}
	_, err := replaced.Observe(signed(1, "c1"), c.Now())
	must.NoError(t, err)
	exchange := func() {
		c.SetTime(c.Now().Add(time.Millisecond))
		s.ReceiveAnswer(messenger.EntryState{ID: "e2", StoreReachable: replaced.StoreReachable(), Freshness: replaced.StatusUpdate()}, c.Now())
	}
	exchange()
	must.NoError(t, s.MayServe())
	_, err = replaced.Offer(signed(2, "c2"))
	must.NoError(t, err)
	exchange()
	must.NoError(t, s.MayServe())
}

// An entry learns that revision 3 exists but doesn't receive its record. The
// store is down, or rolled back to 2. Whatever the others report, 2 is not the
// newest, and serving by it could send work into a drained failure domain.
func TestKnownHigherRevisionStopsService(t *testing.T) {
	s, c, update := entryDuringOutage(t)
	s.ReceiveUnsolicited(messenger.EntryState{ID: "e2", Freshness: messenger.Freshness{Revision: 3, AgeMS: -1}})
	must.Error(t, s.MayServe())
	must.SliceEmpty(t, s.StatusUpdate().Disconnected)
	c.SetTime(c.Now().Add(time.Millisecond))
	s.Confirm(2, update.Digest, c.Now())
	must.Error(t, s.MayServe())
	_, err := s.Observe(signed(3, "c3"), c.Now())
	must.NoError(t, err)
	must.NoError(t, s.MayServe())
}

// Two revisions with the same number arise only from a store that was rolled
// back and written again. Processes that switched between them would serve by
// different bundles unnoticed.
func TestForkRaisesAlarm(t *testing.T) {
	s := &gossiper.State{Keyring: keyring(), Clock: testclock.NewFakePassiveClock(start)}
	_, err := s.Observe(signed(1, "ours"), start)
	must.NoError(t, err)
	_, err = s.Offer(signed(1, "theirs"))
	var fork *gossiper.ForkError
	must.True(t, errors.As(err, &fork))
	s.ReceiveUpdate(messenger.Freshness{Revision: 1, Digest: fork.Found}, start)
	s.Confirm(0, "", start)
	must.Eq(t, 2, alarms(s, gossiper.AlarmFork))
	must.Eq(t, 1, alarms(s, gossiper.AlarmEmptyStore))
	b, _ := s.Current()
	must.Eq(t, "ours", b.ChangeID)
}

// After an outage of all entries, 380 of them start at the same instant with a
// store that handles 2,000 reads per second. If each read at once and again on
// each failure, they would overload the store and delay later changes
// everywhere.
func TestRestartOfAllEntriesStaysWithinStoreRates(t *testing.T) {
	const reads = 2000
	inFleet(t, 380, func(f *fleet) {
		f.publish(1)
		f.faults(`{"down":true}`)
		f.startAll()
		maxCalls := f.maxCallsPerSecond(6)
		f.faults(`{}`)
		before := f.storeLink.Calls.Load()
		took := f.awaitRevision(1, 5*time.Second)
		maxCalls = max(maxCalls, f.storeLink.Calls.Load()-before, f.maxCallsPerSecond(3))
		f.publish(2)
		maxCalls = max(maxCalls, f.maxCallsPerSecond(5))
		idleCalls := f.storeLink.Calls.Load()
		advance(10 * time.Second)
		idleCalls = (f.storeLink.Calls.Load() - idleCalls) / 10
		f.t.Logf("380 entries: at most %d calls per second, %d per second when idle, in force after %v", maxCalls, idleCalls, took)
		must.Less(f.t, reads/2, maxCalls)
		must.Less(f.t, reads/10, idleCalls)
	})
}

// maxCallsPerSecond is the most store calls in one of the next n seconds.
func (f *fleet) maxCallsPerSecond(n int) int64 {
	maxCalls := int64(0)
	for range n {
		before := f.storeLink.Calls.Load()
		advance(time.Second)
		maxCalls = max(maxCalls, f.storeLink.Calls.Load()-before)
	}
	return maxCalls
}
