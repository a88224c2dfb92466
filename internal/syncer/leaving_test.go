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
