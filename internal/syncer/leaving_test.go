package syncer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against agents that all watch the store, and saturate the link to it with the next
// change, when several entries of their region leave together.
func TestAgentsAskTheEntriesThatAreLeft(t *testing.T) {
	const entries = 12
	inFleet(t, entries, 1, 0, func(t *testing.T, f *fleet) {
		agent := f.members[entries]
		agent.watches.Store(0)
		for range 4 {
			time.Sleep(time.Second)
			for _, n := range f.members[2:entries] {
				n.mu.Lock()
				asked := n.askers[agent.ID]
				n.mu.Unlock()
				if asked {
					n.stop()
				}
			}
		}
		time.Sleep(5 * time.Second)
		must.Zero(t, agent.watches.Load())
		f.store.put("drained/a", nil)
		must.LessEq(t, 2*time.Second, f.knows(t, "a", 20*time.Second))
	})
}

// Guards against news that come late when both readers lose the store and say so: another entry
// must read it at once instead of asking further peers, which know nothing newer.
func TestLostReadersAreReplacedAtOnce(t *testing.T) {
	const entries = 12
	inFleet(t, entries, 1, 0, func(t *testing.T, f *fleet) {
		for _, n := range f.ranked(entries)[:2] {
			n.cut.Store(true)
		}
		time.Sleep(1100 * time.Millisecond)
		f.store.put("drained/a", nil)
		must.LessEq(t, 500*time.Millisecond, f.knows(t, "a", 20*time.Second))
	})
}
