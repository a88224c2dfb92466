package syncer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The operators drain a failure domain in a deployment of 60 entries. Were each of them to
// hear of it from the two that read the store, these would send the same news across the
// links between regions as often as there are entries, and at some hundred entries they
// would have no time left for callers.
func TestReadersTellARegionOnce(t *testing.T) {
	const entries, regions = 60, 3
	inFleet(t, entries, regions, 100, func(t *testing.T, f *fleet) {
		f.store.put("drained/a", nil)
		must.Less(t, 100*time.Millisecond, f.knows(t, "a", time.Second))
		time.Sleep(30 * time.Second)
		fromAfar, askers := 0, 0
		for _, n := range f.members {
			n.mu.Lock()
			askers = max(askers, len(n.askers))
			for id := range n.askers {
				if f.region(id) != n.Member.Region {
					fromAfar++
				}
			}
			n.mu.Unlock()
		}
		must.LessEq(t, 2*regions, fromAfar, must.Sprint("two relays of a region ask across"))
		must.LessEq(t, entries/regions+2*regions, askers)
	})
}

// A change must be in force everywhere within two seconds while some of those that pass
// news on take connections and say nothing, as frozen VMs do, or are killed: both readers,
// both of a region, or some at both levels.
func TestNewsPassSilentRelays(t *testing.T) {
	for name, fail := range map[string]func(*node){
		"frozen": func(n *node) { n.deaf.Store(true) },
		"killed": func(n *node) { n.stop() },
	} {
		for seed := range 6 {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				inFleet(t, 40, 2, 20, func(t *testing.T, f *fleet) {
					r := rand.New(rand.NewPCG(uint64(seed), 1))
					ranked := f.ranked(40)
					time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
					for range 3 {
						fail(ranked[r.IntN(5)])
					}
					time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
					f.store.put("drained/a", nil)
					f.knows(t, "a", 2*time.Second)
				})
			})
		}
	}
}

// News that pass one more process are older when they arrive. Were they too old for those
// who ask, all would turn to the store, each with a call that the operators pay for.
func TestNewsOfRelaysAreFreshEnough(t *testing.T) {
	inFleet(t, 60, 3, 20, func(t *testing.T, f *fleet) {
		before := f.store.watched()
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range f.members {
				_, age, _ := n.Revision()
				must.LessEq(t, 2*time.Second, age)
			}
		}
		must.LessEq(t, 2*(20+1), f.store.watched()-before, must.Sprint("two readers, each one call a second"))
	})
}

// A deployment of 60 entries and 3,000 upstreams, with a change each second. Each process has
// 12 kB a second for control; those that tell the others must keep to it as well, or they
// are what the deployment stops growing at.
func TestBytesOfNews(t *testing.T) {
	const (
		seconds = 20
		// budget is bytes a second, sent and received, of the users' two-year size.
		budget = 12_000
	)
	inFleet(t, 60, 5, 3000, func(t *testing.T, f *fleet) {
		value := strings.Repeat("a", 85)
		for i := range seconds {
			f.store.put(fmt.Sprint("upstream/", i), value)
			time.Sleep(time.Second)
		}
		for _, n := range f.members {
			must.LessEq(t, budget*seconds, n.bytes.Load(), must.Sprint(n.ID))
		}
	})
}
