package syncer_test

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// The seeds are dead, or have not read the store themselves. Whoever waited for them for
// long would answer nobody, although the store could tell it all.
func TestDeadSeedsAreNotWaitedFor(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	store.Drain("a")
	silent := standin.NewStore()
	defer silent.Close()
	silent.SetFault(standin.Unresponsive)
	ignorant := start(t, "ignorant", true, silent.Address())
	p := start(t, "agent", false, store.Address(), netip.MustParseAddrPort("127.0.0.1:1"), ignorant.peers)
	eventually(t, p.drained("a"))
}

// The peers that a process heard from are gone, as when many are killed at once. It has
// all records but for the last changes. Were it to read them all again, with everybody
// else, the links to the store would be full for seconds, and callers refused.
func TestWhoKnowsReadsOnlyWhatChanged(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	store.Drain("a")
	seed := start(t, "seed", true, store.Address())
	eventually(t, seed.drained("a"))
	p := start(t, "agent", false, store.Address(), seed.peers)
	eventually(t, p.drained("a"))
	before := store.Lists()
	seed.stop()
	store.Drain("b")
	eventually(t, p.drained("b"))
	must.Eq(t, before, store.Lists())
}
