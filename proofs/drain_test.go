package proofs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/inspector"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// quiet is for how long a place that was taken out is watched for new work.
const quiet = 2 * time.Second

// TestCutOffFailureDomainStops cuts one failure domain off, its entry and agents
// together, from the store and from everybody else, and then operators drain it.
// Nobody can tell its entry, and callers that reach it go on asking. A user would
// notice work being done in a place that is being shut off: drafts that vanish
// with it, bookings on a machine that is about to go.
func TestCutOffFailureDomainStops(t *testing.T) {
	t.Parallel()
	links := []struct {
		name       string
		fail, mend func(n *partition)
	}{
		{"cut", (*partition).cut, (*partition).mend},
		{"stalled", (*partition).stall, (*partition).release},
	}
	for _, l := range links {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, shape{entries: 3, engines: 3, services: 3, inside: firstDomain})
			f := startTraffic(t, 6, inTurn(d.callers()))
			b := startBookings(t, 3, d, minted)
			f.moves(t, 30)
			l.fail(d.partition)
			d.publish("v1", drain(domains[0]))
			d.mustStop(domains[0])
			f.moves(t, 30)
			l.mend(d.partition)
			eventually(t, promptly, "drain known inside", func() bool { return d.entries[0].revision() == d.bundle.Revision })
			d.mustStayQuiet(domains[0])
			d.publish("v1", undrain)
			d.awaitReady()
			b.stop()
			f.stop()
			f.mustBeHonest(t, d.weights)
			b.mustBeTrue(t)
		})
	}
}

// firstDomain has everything of the first failure domain inside the partition.
func firstDomain(_ kind, i int) bool { return i%len(domains) == 0 }

func secondDomain(_ kind, i int) bool { return i%len(domains) == 1 }

// TestFrozenProcessesDoNotWorkInDrainedDomain freezes the only agent in use while
// requests wait in its socket, and then the entry that sent them; operators drain
// the failure domain, and later both wake with the old bundle in memory and a
// link to the others that is stalled. A user would notice that the requests are
// run in a place that operators took out long ago.
func TestFrozenProcessesDoNotWorkInDrainedDomain(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, engines: 2, inside: secondDomain})
	d.publish("v1", drain(domains[0], domains[2]))
	d.mustBeInForce()
	d.awaitWide(domains[1], waiting)
	d.engines[1].pause()
	f := startTraffic(t, waiting, inTurn(d.callers()[1:]))
	eventually(t, patience, "requests wait for the agent", func() bool {
		s, err := inspector.Inspector{}.Status(t.Context(), d.entries[1].operators)
		return err == nil && s.Running >= waiting
	})
	d.entries[1].pause()
	d.partition.stall()
	work := d.work(domains[1])
	d.publish("v1", func(b *bundler.Bundle) {
		undrain(b)
		drain(domains[1], domains[2])(b)
	})
	accepted := time.Now()
	eventually(t, patience, "long after the drain", func() bool { return time.Since(accepted) > promptly })
	d.engines[1].resume()
	d.entries[1].resume()
	throughout(t, quiet, "no work in "+domains[1], func() bool { return d.work(domains[1]) == work })
	d.partition.release()
	f.moves(t, waiting)
	must.Eq(t, work, d.work(domains[1]))
	f.stop()
	f.mustBeHonest(t, d.weights)
}

// waiting is how many requests wait for the frozen agent.
const waiting = 6

func undrain(b *bundler.Bundle) {
	b.FailureDomains = slices.Clone(b.FailureDomains)
	for i := range b.FailureDomains {
		b.FailureDomains[i].Drained = false
	}
}

// mustStop checks that a failure domain takes no new work after a few seconds.
func (d *deployment) mustStop(domain string) {
	d.t.Helper()
	eventually(d.t, promptly, "entry and agents of "+domain+" take no work", func() bool {
		return d.closed(domain)
	})
	d.mustStayQuiet(domain)
}

// closed tells whether all agents of a failure domain refuse and its entries
// either refuse too or know a bundle by which they send nothing there.
func (d *deployment) closed(domain string) bool {
	for _, e := range d.entries {
		s, err := inspector.Inspector{}.Status(d.t.Context(), e.operators)
		if err != nil || e.domain == domain && s.Fresh && s.State.Freshness.Revision < d.bundle.Revision {
			return false
		}
	}
	for _, v := range d.agents() {
		s, ok := v.status()
		if v.domain == domain && (!ok || len(s.Holds) == 0) {
			return false
		}
	}
	return true
}

// mustStayQuiet checks that the upstreams of a failure domain get no new work.
func (d *deployment) mustStayQuiet(domain string) {
	d.t.Helper()
	work := d.work(domain)
	throughout(d.t, quiet, "no new work in "+domain, func() bool { return d.work(domain) == work })
}

// work is how many requests the upstreams of a failure domain were given.
func (d *deployment) work(domain string) int64 {
	d.t.Helper()
	n := int64(0)
	for _, v := range d.agents() {
		if v.domain == domain {
			n += v.upstream.counts().work()
		}
	}
	return n
}
