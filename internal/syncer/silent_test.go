package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The links between entries are cut, so that nobody answers and nobody refuses. Then the store
// fails for a moment. Whoever went through all of the silent entries before it asked the store
// again would go on by old records for as long as that takes, 0.75 s for each of them: a key
// that was revoked meanwhile still opens the door.
func TestStoreIsAskedAgainBeforeAllSilentPeersAre(t *testing.T) {
	const (
		silent = 12
		// within is the stable window after which changes bind again.
		within = 3 * time.Second
	)
	inFleet(t, silent, 1, 0, func(t *testing.T, f *fleet) {
		agent := f.members[silent]
		for _, n := range f.members[:silent] {
			n.deaf.Store(true)
		}
		// The agent has found out, and goes by the store.
		time.Sleep(5 * time.Second)
		agent.cut.Store(true)
		for !agent.StoreUnreachable() {
			time.Sleep(time.Millisecond)
		}
		agent.cut.Store(false)
		f.store.put("drained/a", nil)
		must.LessEq(t, within, f.knows(t, "a", 20*time.Second))
	})
}

// Most entries are silent and the store is out of reach; one that answers still knows what the
// others can't tell. Whoever asked the same few silent ones again and again would never come
// to it.
func TestAllPeersAreTriedWhileTheStoreIsDown(t *testing.T) {
	const entries = 13
	for alive := range entries {
		t.Run(fmt.Sprint(alive), func(t *testing.T) {
			inFleet(t, entries, 1, 0, func(t *testing.T, f *fleet) {
				for i, n := range f.members[:entries] {
					n.deaf.Store(i != alive)
				}
				f.members[entries].cut.Store(true)
				f.store.put("drained/a", nil)
				f.knows(t, "a", 20*time.Second)
			})
		})
	}
}
