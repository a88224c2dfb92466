package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

// Guards against entries that date an announcement by their inferred outage as an agent reports it that has just started
// and doesn't know when it was made, although the store answers that agent and no other process.
func TestAgentThatStartsInAnInferredOutageDatesNothingByIt(t *testing.T) {
	for _, started := range [][]int{{18}, {18, 19, 20}, {18, 19, 20, 21, 22, 23, 24, 25, 26}} {
		startInAnInferredOutage(t, started)
	}
}

// Guards against the same as an entry starts.
func TestEntryThatStartsInAnInferredOutageDatesNothingByIt(t *testing.T) {
	for _, started := range [][]int{{0}, {5}, {17}, {1, 2, 3}, {0, 5, 10, 15}} {
		startInAnInferredOutage(t, started)
	}
}

// startInAnInferredOutage restarts members of a fleet, which the store answers from then on as the only ones, after a
// version was announced. The announcement must not count from later.
func startInAnInferredOutage(t *testing.T, started []int) {
	const entries = 18
	for how, setLost := range map[string]func(*node, bool){
		"refusing":     func(n *node, lost bool) { n.partitioned.Store(lost) },
		"unresponsive": func(n *node, lost bool) { n.storeUnresponsive.Store(lost) },
	} {
		t.Run(fmt.Sprint(started, " ", how), func(t *testing.T) {
			withShapedFleet(t, shape{entries: entries, regions: 3, agents: 9}, func(t *testing.T, f *fleet) {
				f.store.put("weights/m", 1)
				time.Sleep(5 * time.Second)
				for _, n := range f.members {
					setLost(n, true)
				}
				time.Sleep(time.Second)
				f.store.put("weights/m", 2)
				announced := time.Now()
				time.Sleep(4 * time.Second)
				for _, i := range started {
					f.members[i].stop()
				}
				time.Sleep(500 * time.Millisecond)
				for _, i := range started {
					n := f.members[i]
					setLost(n, false)
					n.mu.Lock()
					n.listener, n.stopped = connectortest.NewListener(n.Peers), false
					n.mu.Unlock()
					f.start(t, n, i < entries)
				}
				time.Sleep(8 * time.Second)
				for _, n := range f.members {
					at, known := n.SupersededSince("m", 1)
					must.True(t, known, must.Sprint(n.ID))
					must.LessEq(t, 0, at.Sub(announced), must.Sprint(n.ID))
				}
			})
		})
	}
}
