package relayer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against an entry that gives up a request which waits at its engine by the confirmation at its grant, though
// the store has confirmed the weights ever since, and nothing was announced.
func TestWaitingRequestOutlivesTheConfirmationAtItsGrant(t *testing.T) {
	waits := newWaitsForClose(t)
	ledger := openLedger(12)
	w := entryWithLedgers(t, clock.RealClock{}, []*scheduler.Ledger{ledger}, waits.answer, directAddress)
	ledger.Expiry = func() time.Time {
		at, _ := w.registrar.SupersededSince("", 1)
		return at.Add(weightsBound - scheduler.OldWeightsMargin)
	}
	g := &granter.Granter{Ledger: ledger, Holds: func(string) uint64 { return 1 }, Clock: clock.RealClock{}}
	w.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent { return granterAgent{g} }
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				w.registrar.Apply(registrar.Batch{After: 10, At: 10})
			}
		}
	}()
	sent := time.Now()
	w.request(t, "/draft/", "r1")
	closed := <-waits.closed
	must.GreaterEq(t, weightsBound+time.Second, closed.Sub(sent), must.Sprint("nothing was announced, and the route's time isn't over"))
}
