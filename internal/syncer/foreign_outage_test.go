package syncer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

// Guards against agents that restart and date an announcement by the outage that all entries inferred, although the
// store answered the agents all the while.
func TestStartedAgentDatesNothingByTheEntriesOutage(t *testing.T) {
	const entries = 18
	for how, setLost := range map[string]func(*node, bool){
		"refusing":     func(n *node, lost bool) { n.partitioned.Store(lost) },
		"unresponsive": func(n *node, lost bool) { n.storeUnresponsive.Store(lost) },
	} {
		t.Run(how, func(t *testing.T) {
			withShapedFleet(t, shape{entries: entries, regions: 3, agents: 9}, func(t *testing.T, f *fleet) {
				f.store.put("weights/m", 1)
				time.Sleep(5 * time.Second)
				for _, n := range f.members[:entries] {
					setLost(n, true)
				}
				time.Sleep(2 * time.Second)
				f.store.put("weights/m", 2)
				announced := time.Now()
				time.Sleep(3 * time.Second)
				agents := f.members[entries:]
				for _, n := range agents[:6] {
					n.stop()
				}
				time.Sleep(500 * time.Millisecond)
				for _, n := range agents[:6] {
					n.mu.Lock()
					n.listener, n.stopped = connectortest.NewListener(n.Peers), false
					n.mu.Unlock()
					f.start(t, n, false)
				}
				time.Sleep(3 * time.Second)
				for _, n := range f.members[:entries] {
					setLost(n, false)
				}
				time.Sleep(6 * time.Second)
				for _, n := range f.members {
					at, known := n.SupersededSince("m", 1)
					must.True(t, known, must.Sprint(n.ID))
					must.LessEq(t, 0, at.Sub(announced), must.Sprint(n.ID))
				}
			})
		})
	}
}
