package syncer_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/platform/standin"
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
	store := standin.NewStore()
	defer store.Close()
	for i := range silent {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer l.Close()
		id, a := fmt.Sprint("silent-", i), netip.MustParseAddrPort(l.Addr().String())
		store.PutEntry(registrar.Member{ID: id, Region: "r", FailureDomain: "a", Callers: a, Peers: a})
	}
	p := start(t, "agent", false, store.Address())
	eventually(t, func() bool { v := p.registrar.View(); return v != nil && len(v.Members) == silent })
	before := store.Watches()
	store.SetFault(standin.Busy)
	eventually(t, func() bool { return store.Watches() > before })
	store.SetFault(standin.None)
	store.Drain("a")
	began := time.Now()
	eventually(t, p.drained("a"))
	must.Less(t, within, time.Since(began))
}

// Most entries are silent and the store is down; one that answers still knows what the others
// can't tell. Whoever asked the same few silent ones again and again would never come to it.
func TestAllPeersAreTriedWhileTheStoreIsDown(t *testing.T) {
	const silent = 6
	store, other := standin.NewStore(), standin.NewStore()
	defer store.Close()
	defer other.Close()
	for i := range silent {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer l.Close()
		id, a := fmt.Sprint("silent-", i), netip.MustParseAddrPort(l.Addr().String())
		store.PutEntry(registrar.Member{ID: id, Region: "r", FailureDomain: "a", Callers: a, Peers: a})
	}
	p := start(t, "agent", false, store.Address())
	// By its name it is the last in the agent's order.
	alive := start(t, "alive-63", true, other.Address())
	store.PutEntry(member("alive-63", alive))
	eventually(t, func() bool { v := p.registrar.View(); return v != nil && len(v.Members) == silent+1 })
	store.SetFault(standin.Busy)
	// The one that is alive hears of revisions beyond those that the process knows.
	for i := range 2 * silent {
		other.Drain(fmt.Sprint("later-", i))
	}
	other.Drain("b")
	limit := time.Now().Add(40 * time.Second)
	for !p.drained("b")() {
		must.True(t, time.Now().Before(limit), must.Sprint("40 s for 7 peers"))
		time.Sleep(10 * time.Millisecond)
	}
}
