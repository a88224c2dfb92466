package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against processes that go through all unresponsive peers before they ask the store again
// after a short failure, while the links between entries are cut. At 0.75 s per entry, they would
// use old records for as long and accept a key that was revoked meanwhile.
func TestStoreIsRetriedBeforeAllUnresponsivePeers(t *testing.T) {
	const (
		unresponsive = 12
		// within is the stable window after which changes take effect again.
		within = 3 * time.Second
	)
	withFleet(t, unresponsive, 1, 0, func(t *testing.T, f *fleet) {
		agent := f.members[unresponsive]
		for _, n := range f.members[:unresponsive] {
			n.unresponsive.Store(true)
		}
		// By this time the agent has detected that and reads the store.
		time.Sleep(5 * time.Second)
		agent.partitioned.Store(true)
		for !agent.StoreUnreachable() {
			time.Sleep(time.Millisecond)
		}
		agent.partitioned.Store(false)
		f.store.put("drained/a", nil)
		must.LessEq(t, within, f.waitUntilDrained(t, "a", 20*time.Second))
	})
}

// Guards against asking the same few unresponsive peers again and again while the store is
// unreachable: the one entry that answers and has the update would never be asked.
func TestAllPeersAreTriedWhileTheStoreIsDown(t *testing.T) {
	const entries = 13
	for alive := range entries {
		t.Run(fmt.Sprint(alive), func(t *testing.T) {
			withFleet(t, entries, 1, 0, func(t *testing.T, f *fleet) {
				for i, n := range f.members[:entries] {
					n.unresponsive.Store(i != alive)
				}
				f.members[entries].partitioned.Store(true)
				f.store.put("drained/a", nil)
				f.waitUntilDrained(t, "a", 20*time.Second)
			})
		})
	}
}
