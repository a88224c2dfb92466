package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutOff drops all that two groups of processes send each other.
func cutOff(as, bs []*node) {
	for _, a := range as {
		for _, b := range bs {
			a.dropWritesTo(b)
			b.dropWritesTo(a)
		}
	}
}

// Guards against processes that the store turns away and that reach only each other, some in each region: they take
// their own failed calls for an outage and old weights for confirmed, without limit, while the store serves the others.
func TestIslandAcrossRegionsTrustsNoOldWeights(t *testing.T) {
	for name, setLost := range map[string]func(*node){
		"refusing":     func(n *node) { n.partitioned.Store(true) },
		"unresponsive": func(n *node) { n.storeUnresponsive.Store(true) },
	} {
		for _, served := range []int{3, 9} {
			t.Run(fmt.Sprint(name, " ", served), func(t *testing.T) {
				withShapedFleet(t, shape{entries: 18, regions: 3, agents: 9}, func(t *testing.T, f *fleet) {
					f.store.put("weights/m", 1)
					time.Sleep(5 * time.Second)
					rest, island := f.members[:served], f.members[served:]
					cutOff(island, rest)
					for _, m := range island {
						setLost(m)
					}
					time.Sleep(3 * time.Second)
					f.store.put("weights/m", 2)
					time.Sleep(20 * time.Second)
					trusting, youngest := 0, time.Hour
					for _, m := range island {
						at, known := m.SupersededSince("m", 1)
						must.False(t, known)
						youngest = min(youngest, time.Since(at))
						if time.Since(at) < weightsBound {
							trusting++
						}
					}
					must.Zero(t, trusting, must.Sprintf("of %d; youngest confirmation %v, 20 s after the announcement", len(island), youngest))
				})
			})
		}
	}
}

// Guards against engines of all regions that stop in an outage of the store because one region is cut off or dead
// since then: nothing can be announced, and the records of its members can't expire.
func TestWeightsStayConfirmedInAnOutageWithADeadRegion(t *testing.T) {
	for name, before := range map[string]time.Duration{"at once": 0, "later": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withShapedFleet(t, shape{entries: 24, regions: 3, agents: 12}, func(t *testing.T, f *fleet) {
				f.store.put("weights/m", 1)
				time.Sleep(8 * time.Second)
				var dead, alive []*node
				for _, n := range f.members {
					if n.Member.Region == regionName(2) {
						dead = append(dead, n)
					} else {
						alive = append(alive, n)
					}
				}
				for _, n := range f.members {
					n.partitioned.Store(true)
				}
				time.Sleep(before)
				cutOff(dead, alive)
				time.Sleep(20 * time.Second)
				late := 0
				oldest := time.Duration(0)
				for _, n := range alive {
					at, _ := n.SupersededSince("m", 1)
					oldest = max(oldest, time.Since(at))
					if time.Since(at) > weightsBound {
						late++
					}
				}
				must.Zero(t, late, must.Sprintf("of %d agents and entries of the other regions; oldest confirmation %v", len(alive), oldest))
			})
		})
	}
}
