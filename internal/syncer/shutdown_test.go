package syncer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against agents that all watch the store when several entries of their region shut down
// together: the next change would saturate the link to it.
func TestAgentsAskRemainingEntries(t *testing.T) {
	const entries = 12
	withFleet(t, entries, 1, 0, func(t *testing.T, f *fleet) {
		agent := f.members[entries]
		agent.watches.Store(0)
		for range 4 {
			time.Sleep(time.Second)
			for _, n := range f.members[2:entries] {
				n.mu.Lock()
				asked := n.requesters[agent.ID]
				n.mu.Unlock()
				if asked {
					n.stop()
				}
			}
		}
		time.Sleep(5 * time.Second)
		must.Zero(t, agent.watches.Load())
		f.store.put("drained/a", nil)
		must.LessEq(t, 2*time.Second, f.waitUntilDrained(t, "a", 20*time.Second))
	})
}

// Guards against late updates when both readers lose the store and report that: another entry must
// read it at once instead of asking further peers, which have nothing newer.
func TestReadersThatLoseTheStoreAreReplacedAtOnce(t *testing.T) {
	const entries = 12
	withFleet(t, entries, 1, 0, func(t *testing.T, f *fleet) {
		for _, n := range f.rankedEntries(entries)[:2] {
			n.partitioned.Store(true)
		}
		time.Sleep(1100 * time.Millisecond)
		f.store.put("drained/a", nil)
		must.LessEq(t, 500*time.Millisecond, f.waitUntilDrained(t, "a", 20*time.Second))
	})
}
