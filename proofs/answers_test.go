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

// abandonAfter is the time after which callers of TestEachCallerGetsItsOwnAnswer give up.
const abandonAfter = 300 * time.Millisecond

// TestEachCallerGetsItsOwnAnswer guards against replies that reach the wrong caller: a
// roster for another prompt, one with a part repeated or missing, or the confirmation
// of another booking. It stalls the links between entries and agents in the middle of
// replies while callers give up and others send requests, so that all pending data
// arrives late; it breaks the links in the middle of replies; and it crosses pairs of
// connections, so that each delivers the answer to the other's request.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 2, engines: 2, services: 1, inside: agentsOnly})
	f := startTraffic(t, 8, roundRobin(d.callerAddresses()))
	b := startBookings(t, 4, d, entryKeys)
	for range 3 {
		f.awaitComplete(t, 20)
		d.partition.stall()
		d.abandonRequests(8)
		d.partition.release()
		f.awaitComplete(t, 20)
		d.partition.disconnect()
		d.partition.reconnect()
	}
	for _, v := range []*vm{d.engines[0], d.engines[1], d.services[0]} {
		for range 3 {
			d.partition.relayTo(v.address).crossConnections(t)
		}
		f.awaitComplete(t, 10)
		b.awaitConfirmed(t, 10)
	}
	f.stop()
	b.stop()
	f.mustHaveNoDefects(t, d.weights)
	b.mustMatchRuns(t)
	must.Zero(t, b.countFate(outcomeCrossed), must.Sprint("confirmations of another booking"))
}

func agentsOnly(k processKind, _ int) bool { return k != kindEntry }

// abandonRequests sends requests whose callers don't wait for the end of the answer.
func (d *deployment) abandonRequests(callers int) {
	ctx, cancel := context.WithTimeout(d.t.Context(), abandonAfter)
	defer cancel()
	var g sync.WaitGroup
	for i := range callers {
		addr := d.entries[i%len(d.entries)].callers
		g.Go(func() {
			generate(ctx, addr, modelRequest{Prompt: fmt.Sprintf("Impatient caller %d", i), RequestID: "roster"}, nil)
		})
	}
	g.Wait()
}

// crossConnections waits until a pair of new connections has been crossed. It breaks
// existing connections first, since they would be reused otherwise.
func (r *relay) crossConnections(t *testing.T) {
	t.Helper()
	before := r.crossings()
	r.crossNext()
	r.disconnect()
	r.reconnect()
	eventually(t, waitTimeout, "answers crossed", func() bool { return r.crossings() > before })
}

// relayTo returns the relay in front of one of the system's processes.
func (n *partition) relayTo(target netip.AddrPort) *relay {
	n.t.Helper()
	for _, r := range n.incoming {
		if r.target == target {
			return r
		}
	}
	n.t.Fatalf("no relay in front of %v", target)
	return nil
}
