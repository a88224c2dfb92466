package proofs_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRepliesThatEndWithTheirConnection has engines and services answer without a length or chunks, then
// break off. A user would notice bookings and rosters that are refused though they were made, or a part that
// passes for the whole.
func TestRepliesThatEndWithTheirConnection(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, engines: 2, services: 1})
	d.faultServices(faults{Unframed: true})
	for _, v := range d.engines {
		v.upstream.fault(faults{Unframed: true})
	}
	f := startTraffic(t, 4, inTurn(d.callers()))
	b := startBookings(t, 4, d, minted)
	f.moves(t, 20)
	b.moves(t, 20)
	b.stop()
	b.mustBeTrue(t)
	for _, v := range d.engines {
		v.upstream.fault(faults{Unframed: true, Torn: true})
	}
	f.moves(t, 20)
	f.stop()
	f.mustBeHonest(t, d.weights)
	d.faultServices(faults{Unframed: true, ResetReplies: true})
	for range 5 {
		got := book(t.Context(), d.entries[0].callers, minted.header, mint(t.Context(), d.entries[0].callers), "cut")
		must.NotEq(t, ran, got.outcome)
		must.NotEq(t, notRun, got.outcome)
	}
}
