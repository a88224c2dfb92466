package proofs_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// impatience is after how long callers of TestEachCallerGetsItsOwnAnswer give up.
const impatience = 300 * time.Millisecond

// TestEachCallerGetsItsOwnAnswer stalls the links between entries and agents in
// the middle of replies while callers give up and others ask, and lets everything
// that was under way arrive late; breaks the links in the middle of replies; and
// crosses pairs of connections, so that each brings the answer to the other's
// request. A user would notice a roster for somebody else's shed, one with a part
// twice or missing, or a confirmation of somebody else's booking.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, engines: 2, services: 1, inside: agentsOnly})
	f := startTraffic(t, 8, inTurn(d.callers()))
	b := startBookings(t, 4, d, minted)
	for range 3 {
		f.moves(t, 20)
		d.partition.stall()
		d.giveUp(8)
		d.partition.release()
		f.moves(t, 20)
		d.partition.cut()
		d.partition.mend()
	}
	for _, v := range []*vm{d.engines[0], d.engines[1], d.services[0]} {
		for range 3 {
			d.partition.relayTo(v.address).crossOnce(t)
		}
		f.moves(t, 10)
		b.moves(t, 10)
	}
	f.stop()
	b.stop()
	f.mustBeHonest(t, d.weights)
	b.mustBeTrue(t)
	must.Zero(t, b.count(crossed), must.Sprint("confirmations of another booking"))
}

func agentsOnly(k kind, _ int) bool { return k != kindEntry }

// giveUp has callers ask that do not wait for the end of the answer.
func (d *deployment) giveUp(callers int) {
	ctx, cancel := context.WithTimeout(d.t.Context(), impatience)
	defer cancel()
	var g sync.WaitGroup
	for i := range callers {
		at := d.entries[i%len(d.entries)].callers
		g.Go(func() {
			ask(ctx, at, question{Prompt: fmt.Sprintf("Impatient caller %d", i), RequestID: "roster"}, nil)
		})
	}
	g.Wait()
}

// crossOnce waits until a pair of new connections was crossed. Old ones are broken
// first, since they would go on being used.
func (r *relay) crossOnce(t *testing.T) {
	t.Helper()
	before := r.crossings()
	r.crossNext()
	r.cut()
	r.mend()
	eventually(t, patience, "answers crossed", func() bool { return r.crossings() > before })
}

// relayTo is the relay before one of our processes.
func (n *partition) relayTo(to netip.AddrPort) *relay {
	n.t.Helper()
	for _, r := range n.in {
		if r.to == to {
			return r
		}
	}
	n.t.Fatalf("no relay before %v", to)
	return nil
}
