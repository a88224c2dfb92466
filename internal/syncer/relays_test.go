package syncer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against readers that send each update to all entries of a region, here to 60 entries in
// three regions: the same updates would cross the links between regions as often as there are
// entries, and at some hundred entries the readers would have no time left for callers.
func TestReadersServeEachRegionOnce(t *testing.T) {
	const entries, regions = 60, 3
	withFleet(t, entries, regions, 100, func(t *testing.T, f *fleet) {
		f.store.put("drained/a", nil)
		must.Less(t, 100*time.Millisecond, f.waitUntilDrained(t, "a", time.Second))
		time.Sleep(30 * time.Second)
		fromOtherRegions, maxRequesters := 0, 0
		for _, n := range f.members {
			n.mu.Lock()
			maxRequesters = max(maxRequesters, len(n.requesters))
			for id := range n.requesters {
				if f.regionOf(id) != n.Member.Region {
					fromOtherRegions++
				}
			}
			n.mu.Unlock()
		}
		must.LessEq(t, 2*regions, fromOtherRegions, must.Sprint("two relays of each region ask other regions"))
		must.LessEq(t, entries/regions+2*regions, maxRequesters)
	})
}

// Guards against a change that doesn't take effect everywhere within two seconds while some readers
// and relays are killed, or accept connections without answering, as suspended VMs do: both
// readers, both relays of a region, or some at both levels.
func TestUpdatesBypassUnresponsiveRelays(t *testing.T) {
	for name, fail := range map[string]func(*node){
		"frozen": func(n *node) { n.unresponsive.Store(true) },
		"killed": func(n *node) { n.stop() },
	} {
		for seed := range 6 {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				withFleet(t, 40, 2, 20, func(t *testing.T, f *fleet) {
					r := rand.New(rand.NewPCG(uint64(seed), 1))
					ranked := f.rankedEntries(40)
					time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
					for range 3 {
						fail(ranked[r.IntN(5)])
					}
					time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
					f.store.put("drained/a", nil)
					f.waitUntilDrained(t, "a", 2*time.Second)
				})
			})
		}
	}
}

// Guards against relays whose updates are stale on arrival: all processes would turn to the store,
// each with a call that the operators pay for.
func TestRelayedUpdatesAreFreshEnough(t *testing.T) {
	withFleet(t, 60, 3, 20, func(t *testing.T, f *fleet) {
		before := f.store.watchCount()
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range f.members {
				_, age, _ := n.Revision()
				must.LessEq(t, 2*time.Second, age)
			}
		}
		must.LessEq(t, 2*(20+1), f.store.watchCount()-before, must.Sprint("two readers, each one call a second"))
	})
}

// Guards against readers and relays that exceed the 12 kB a second that each process has for
// control, with 60 entries, 3,000 upstreams and a change each second: they would limit the growth
// of the deployment.
func TestUpdateBytesStayWithinBudget(t *testing.T) {
	const (
		seconds = 20
		// budget is the limit of bytes a second, sent and received, at the users' two-year size.
		budget = 12_000
	)
	withFleet(t, 60, 5, 3000, func(t *testing.T, f *fleet) {
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
