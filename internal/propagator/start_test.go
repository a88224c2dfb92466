package propagator_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/propagator"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an entry that refuses prompts long after it got its route table, or accepts them without the others'
// blames, because it pulls from one peer at a time and the first ones are unresponsive or don't listen yet.
func TestStartedEntryPullsFromAllSeedsConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		c := clock.RealClock{}
		var n connectortest.Network
		other := &localizer.Localizer{Entry: "other", Clock: c, WallClock: c}
		listener := n.Listen()
		server := &messenger.Server{Listener: listener, OnEvidence: other.Handle}
		go func() { _ = server.Serve(ctx) }()
		for range 5 {
			other.Crashed(time.Now().String(), []string{"fatal"}, time.Now())
			time.Sleep(250 * time.Millisecond)
			other.Tick()
		}
		must.Error(t, other.Check("r", []string{"fatal"}))
		responsive := netip.MustParseAddrPort(listener.Addr().String())
		seeds := []netip.AddrPort{netip.MustParseAddrPort("10.9.0.1:1"), netip.MustParseAddrPort("10.9.0.2:1"), netip.MustParseAddrPort("10.9.0.3:1"), responsive}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if address != responsive.String() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return n.Dial(ctx, network, address)
		}
		started := &localizer.Localizer{Entry: "started", Clock: c, WallClock: c}
		r := &registrar.Registrar{Clock: c, Decode: decode}
		p := &propagator.Propagator{Localizer: started, Registrar: r, Member: registrar.Member{ID: "started"}, Seeds: seeds, Clock: c,
			Store: &fakeStore{}, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a, Dial: dial} }}
		go func() { _ = p.Serve(ctx) }()
		time.Sleep(200 * time.Millisecond)
		must.False(t, p.Synced(), must.Sprint("synced without a view of the store"))
		r.Apply(registrar.Batch{Whole: true, At: 1})
		time.Sleep(time.Millisecond)
		must.True(t, p.Synced())
		must.Error(t, started.Check("r", []string{"fatal"}))
	})
}
