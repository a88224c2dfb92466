package syncer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an announcement that counts from the end of an inferred outage of the store, although an agent received
// it from the store before.
func TestAnnouncementToldToOneAgentCountsFromBefore(t *testing.T) {
	const agent = 20
	for how, setLost := range map[string]func(*node, bool){
		"refusing":     func(n *node, lost bool) { n.partitioned.Store(lost) },
		"unresponsive": func(n *node, lost bool) { n.storeUnresponsive.Store(lost) },
	} {
		t.Run(how, func(t *testing.T) {
			withShapedFleet(t, shape{entries: 18, regions: 3, agents: 9}, func(t *testing.T, f *fleet) {
				f.store.put("weights/m", 1)
				time.Sleep(5 * time.Second)
				for i, n := range f.members {
					setLost(n, i != agent)
				}
				time.Sleep(2 * time.Second)
				f.store.put("weights/m", 2)
				announced := time.Now()
				time.Sleep(7 * time.Second)
				for _, n := range f.members {
					setLost(n, false)
				}
				time.Sleep(6 * time.Second)
				late := -time.Hour
				for _, n := range f.members {
					at, known := n.SupersededSince("m", 1)
					must.True(t, known)
					late = max(late, at.Sub(announced))
				}
				must.LessEq(t, 0, late)
			})
		})
	}
}
