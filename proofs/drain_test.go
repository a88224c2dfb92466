package proofs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/inspector"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// quietPeriod is how long a failure domain or upstream that was taken out is watched
// for new work.
const quietPeriod = 2 * time.Second

// TestCutOffFailureDomainStops disconnects one failure domain, its entry and agents
// together, from the store and all other processes, and then operators drain it. The
// drain can't reach its entry, and callers go on sending requests there. The test guards
// against new work in a failure domain that is being shut down, which would be lost.
func TestCutOffFailureDomainStops(t *testing.T) {
	t.Parallel()
	links := []struct {
		name       string
		fail, mend func(n *partition)
	}{
		{"cut", (*partition).disconnect, (*partition).reconnect},
		{"stalled", (*partition).stall, (*partition).release},
	}
	for _, l := range links {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, topology{entries: 3, engines: 3, services: 3, inside: inFirstDomain})
			f := startTraffic(t, 6, roundRobin(d.callerAddresses()))
			b := startBookings(t, 3, d, entryKeys)
			f.awaitComplete(t, 30)
			l.fail(d.partition)
			d.publish("v1", drain(domains[0]))
			d.mustStopWork(domains[0])
			f.awaitComplete(t, 30)
			l.mend(d.partition)
			eventually(t, reactionLimit, "drain received inside", func() bool { return d.entries[0].revision() == d.bundle.Revision })
			d.mustGetNoWork(domains[0])
			d.publish("v1", undrain)
			d.awaitReady()
			b.stop()
			f.stop()
			f.mustHaveNoDefects(t, d.weights)
			b.mustMatchRuns(t)
		})
	}
}

// inFirstDomain puts all processes of the first failure domain inside the partition.
func inFirstDomain(_ processKind, i int) bool { return i%len(domains) == 0 }

func inSecondDomain(_ processKind, i int) bool { return i%len(domains) == 1 }

// TestFrozenProcessesDoNotWorkInDrainedDomain suspends the only agent in use while
// requests wait in its socket, and then the entry that sent them. Operators drain the
// failure domain; later both processes resume with the old bundle in memory while their
// link to the others is stalled. The test guards against requests that run in a failure
// domain drained long before.
func TestFrozenProcessesDoNotWorkInDrainedDomain(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 2, engines: 2, inside: inSecondDomain})
	d.publish("v1", drain(domains[0], domains[2]))
	d.mustBeInForce()
	d.awaitLimit(domains[1], waitingRequests)
	d.engines[1].suspend()
	f := startTraffic(t, waitingRequests, roundRobin(d.callerAddresses()[1:]))
	eventually(t, waitTimeout, "requests wait for the agent", func() bool {
		s, err := inspector.Inspector{}.Status(t.Context(), d.entries[1].operators)
		return err == nil && s.Running >= waitingRequests
	})
	d.entries[1].suspend()
	d.partition.stall()
	work := d.workIn(domains[1])
	d.publish("v1", func(b *bundler.Bundle) {
		undrain(b)
		drain(domains[1], domains[2])(b)
	})
	accepted := time.Now()
	eventually(t, waitTimeout, "long after the drain", func() bool { return time.Since(accepted) > reactionLimit })
	d.engines[1].resume()
	d.entries[1].resume()
	throughout(t, quietPeriod, "no work in "+domains[1], func() bool { return d.workIn(domains[1]) == work })
	d.partition.release()
	f.awaitComplete(t, waitingRequests)
	must.Eq(t, work, d.workIn(domains[1]))
	f.stop()
	f.mustHaveNoDefects(t, d.weights)
}

// waitingRequests is the number of requests that wait for the suspended agent.
const waitingRequests = 6

func undrain(b *bundler.Bundle) {
	b.FailureDomains = slices.Clone(b.FailureDomains)
	for i := range b.FailureDomains {
		b.FailureDomains[i].Drained = false
	}
}

// mustStopWork checks that a failure domain gets no new work after reactionLimit.
func (d *deployment) mustStopWork(domain string) {
	d.t.Helper()
	eventually(d.t, reactionLimit, "entry and agents of "+domain+" accept no work", func() bool {
		return d.refusesWork(domain)
	})
	d.mustGetNoWork(domain)
}

// refusesWork reports whether all agents of a failure domain refuse requests and its
// entries either refuse too or have a bundle by which they send nothing there.
func (d *deployment) refusesWork(domain string) bool {
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

// mustGetNoWork checks that the upstreams of a failure domain get no new work.
func (d *deployment) mustGetNoWork(domain string) {
	d.t.Helper()
	work := d.workIn(domain)
	throughout(d.t, quietPeriod, "no new work in "+domain, func() bool { return d.workIn(domain) == work })
}

// workIn returns the number of requests sent to the upstreams of a failure domain.
func (d *deployment) workIn(domain string) int64 {
	d.t.Helper()
	n := int64(0)
	for _, v := range d.agents() {
		if v.domain == domain {
			n += v.upstream.counts().work()
		}
	}
	return n
}
