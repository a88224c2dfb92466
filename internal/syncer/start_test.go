package syncer_test

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// Guards against waiting long for seeds that are dead or have not read the store themselves: a
// process would answer no callers, although the store has all records.
func TestDeadSeedsAreNotWaitedFor(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	store.Drain("a")
	unresponsive := standin.NewStore()
	defer unresponsive.Close()
	unresponsive.SetFault(standin.Unresponsive)
	uninformed := start(t, "ignorant", true, unresponsive.Address())
	p := start(t, "agent", false, store.Address(), netip.MustParseAddrPort("127.0.0.1:1"), uninformed.peers)
	eventually(t, p.drained("a"))
}

// Guards against processes that list all records again when their peers are gone, as when many are
// killed at once, although they lack only the last changes: the lists would saturate the links to
// the store for seconds, and callers would be refused.
func TestProcessWithRecordsReadsOnlyChanges(t *testing.T) {
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
