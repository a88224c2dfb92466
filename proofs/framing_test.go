package proofs_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRepliesThatEndWithTheirConnection has engines and services answer without a
// length or chunks, then break off replies. It guards against bookings and rosters that
// are refused although they were made, and against partial replies passed on as complete.
func TestRepliesThatEndWithTheirConnection(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 2, engines: 2, services: 1})
	d.faultServices(faults{Unframed: true})
	for _, v := range d.engines {
		v.upstream.injectFaults(faults{Unframed: true})
	}
	f := startTraffic(t, 4, roundRobin(d.callerAddresses()))
	b := startBookings(t, 4, d, entryKeys)
	f.awaitComplete(t, 20)
	b.awaitConfirmed(t, 20)
	b.stop()
	b.mustMatchRuns(t)
	for _, v := range d.engines {
		v.upstream.injectFaults(faults{Unframed: true, Torn: true})
	}
	f.awaitComplete(t, 20)
	f.stop()
	f.mustHaveNoDefects(t, d.weights)
	d.faultServices(faults{Unframed: true, ResetReplies: true})
	for range 5 {
		got := book(t.Context(), d.entries[0].callers, entryKeys.header, fetchKey(t.Context(), d.entries[0].callers), "cut")
		must.NotEq(t, outcomeRan, got.outcome)
		must.NotEq(t, outcomeNotRun, got.outcome)
	}
}
