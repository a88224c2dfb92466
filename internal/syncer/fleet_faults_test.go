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

// ranked are a fleet's entries in the order in which they take on roles.
func (f *fleet) ranked(entries int) []*node {
	ns := slices.Clone(f.members[:entries])
	slices.SortFunc(ns, func(a, b *node) int { return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)) })
	return ns
}

// mixedSeeds is how many fleets meet mixed faults.
const mixedSeeds = 30

// faultKinds are what befalls a process of a fleet, and from is one that it talks to.
var faultKinds = []struct {
	name string
	fail func(t testing.TB, f *fleet, n, from *node)
}{
	{"frozen", func(_ testing.TB, _ *fleet, n, _ *node) { n.deaf.Store(true) }},
	{"killed", func(_ testing.TB, _ *fleet, n, _ *node) { n.stop() }},
	{"refused", func(_ testing.TB, _ *fleet, n, _ *node) { n.refused.Store(true) }},
	{"squeezed", func(_ testing.TB, _ *fleet, n, _ *node) { n.squeezed.Store(true) }},
	{"unheard", func(_ testing.TB, _ *fleet, n, from *node) { n.loseTo(from) }},
	{"lapsed", func(_ testing.TB, f *fleet, n, _ *node) { f.store.remove("entry/" + n.ID) }},
}

// The memory of a process that reads the store has gone bad, and what it packs can't be
// unpacked. Its word is young all the same: who keeps to it for that never hears of a change,
// and asks it again and again without a pause.
func TestNewsPassWhoTellsNonsense(t *testing.T) {
	const entries = 24
	for i := range 4 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			inFleet(t, entries, 2, 20, func(t *testing.T, f *fleet) {
				f.ranked(entries)[i].spoilt.Store(true)
				f.store.put("drained/a", nil)
				t.Log("known after", f.knows(t, "a", 2*time.Second))
			})
		})
	}
}

// Of those that read the store and pass news on, two or three are hit at about the same time:
// frozen, killed, refused by the store, behind a narrow link, heard by one of the others no
// more, or with a lease that lapsed although they live. A change that the operators make then
// must be in force within two seconds everywhere, or callers are served by what it took away.
func TestNewsPassMixedFaults(t *testing.T) {
	const entries, struck = 24, 8
	for seed := range mixedSeeds {
		r := rand.New(rand.NewPCG(uint64(seed), 7))
		regions := 1 + r.IntN(3)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inFleet(t, entries, regions, 20, func(t *testing.T, f *fleet) {
				ns := f.ranked(entries)
				time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
				for range 2 + r.IntN(2) {
					k := faultKinds[r.IntN(len(faultKinds))]
					n, from := ns[r.IntN(struck)], ns[r.IntN(struck)]
					t.Log(k.name, n.ID, from.ID)
					k.fail(t, f, n, from)
				}
				time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
				f.store.put("drained/a", nil)
				t.Log("known after", f.knows(t, "a", 2*time.Second))
			})
		})
	}
}

// The store is out of reach for all, and what they know goes round between readers, relays and
// the rest. If any of them made another's word younger than it is, they would take it for fresh
// for good, and deny callers what the operators added meanwhile.
func TestNobodyMakesNewsYounger(t *testing.T) {
	for _, entries := range []int{3, 24, 40} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			inFleet(t, entries, 3, 20, func(t *testing.T, f *fleet) {
				for i, n := range f.members {
					n.refused.Store(true)
					n.squeezed.Store(i%5 == 0)
				}
				lost := time.Now()
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					for _, n := range f.members {
						if _, age, _ := n.Revision(); age < time.Since(lost) {
							t.Fatalf("%s takes its news for %v old, %v after the store was lost", n.ID, age, time.Since(lost))
						}
					}
				}
			})
		})
	}
}
