package syncer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankedEntries returns a fleet's entries in the order in which they take on roles.
func (f *fleet) rankedEntries(entries int) []*node {
	ns := slices.Clone(f.members[:entries])
	slices.SortFunc(ns, func(a, b *node) int { return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)) })
	return ns
}

// mixedFaultRuns is the number of fleets with mixed faults.
const mixedFaultRuns = 30

// faultKinds are the faults of a process of a fleet; peer is one that it communicates with.
var faultKinds = []struct {
	name   string
	inject func(t testing.TB, f *fleet, n, peer *node)
}{
	{"frozen", func(_ testing.TB, _ *fleet, n, _ *node) { n.unresponsive.Store(true) }},
	{"killed", func(_ testing.TB, _ *fleet, n, _ *node) { n.stop() }},
	{"refused", func(_ testing.TB, _ *fleet, n, _ *node) { n.storeUnresponsive.Store(true) }},
	{"squeezed", func(_ testing.TB, _ *fleet, n, _ *node) { n.slowLink.Store(true) }},
	{"unheard", func(_ testing.TB, _ *fleet, n, peer *node) { n.dropWritesTo(peer) }},
	{"lapsed", func(_ testing.TB, f *fleet, n, _ *node) { f.store.remove("entry/" + n.ID) }},
}

// Guards against processes that rely on a reader with corrupted memory. Its records can't be
// unpacked, but its confirmation is fresh: they would miss all changes and ask it repeatedly
// without a pause.
func TestUpdatesBypassCorruptedPeers(t *testing.T) {
	const entries = 24
	for i := range 4 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			withFleet(t, entries, 2, 20, func(t *testing.T, f *fleet) {
				f.rankedEntries(entries)[i].corrupted.Store(true)
				f.store.put("drained/a", nil)
				t.Log("received after", f.waitUntilDrained(t, "a", 2*time.Second))
			})
		})
	}
}

// Guards against a change that doesn't take effect everywhere within two seconds while two or three
// readers and relays fail at about the same time: suspended, killed, refused by the store, behind a
// slow link, unable to reach one peer, or running with an expired lease. Callers would be served by
// configuration that the operators removed.
func TestUpdatesSpreadDespiteMixedFaults(t *testing.T) {
	const entries, faulty = 24, 8
	for seed := range mixedFaultRuns {
		r := rand.New(rand.NewPCG(uint64(seed), 7))
		regions := 1 + r.IntN(3)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, entries, regions, 20, func(t *testing.T, f *fleet) {
				ns := f.rankedEntries(entries)
				time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
				for range 2 + r.IntN(2) {
					k := faultKinds[r.IntN(len(faultKinds))]
					n, peer := ns[r.IntN(faulty)], ns[r.IntN(faulty)]
					t.Log(k.name, n.ID, peer.ID)
					k.inject(t, f, n, peer)
				}
				time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
				f.store.put("drained/a", nil)
				t.Log("received after", f.waitUntilDrained(t, "a", 2*time.Second))
			})
		})
	}
}

// Guards against a process that understates the age of another's confirmation. While no process
// reaches the store, updates that circulate between readers, relays and the others would count as
// fresh forever, and callers would be denied what the operators added meanwhile.
func TestNoProcessUnderstatesAges(t *testing.T) {
	for _, entries := range []int{3, 24, 40} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			withFleet(t, entries, 3, 20, func(t *testing.T, f *fleet) {
				for i, n := range f.members {
					n.storeUnresponsive.Store(true)
					n.slowLink.Store(i%5 == 0)
				}
				lost := time.Now()
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					for _, n := range f.members {
						if _, age, _ := n.Revision(); age < time.Since(lost) {
							t.Fatalf("%s reports an age of %v, %v after the store was lost", n.ID, age, time.Since(lost))
						}
					}
				}
			})
		})
	}
}
