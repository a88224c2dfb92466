package proofs_test

import (
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/inspector"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// TestAcceptedBundleIsInForceAndNeverReverts guards against machines that still apply
// an old bundle minutes after a newer one was accepted, or revert to it, so that a
// drained failure domain gets work or a withdrawn version answers. It rolls bundles
// while the store loses its answers, its watches are dead, it is slow, or it fails right
// after accepting; then it restores the store from an old copy and replaces each
// process in turn.
func TestAcceptedBundleIsInForceAndNeverReverts(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 3, services: 3})
	w := d.watchRevisions()
	d.store.post("/admin/snapshot", nil, nil)

	for _, f := range []faults{{LoseAnswers: 1}, {DeadWatches: true}, {DelayMS: 500}, {}} {
		r := d.nextBundle("v1", nil)
		d.store.injectFaults(f)
		must.NoError(t, d.publishRecord(r))
		d.mustBeInForce()
	}

	r := d.nextBundle("v1", nil)
	must.NoError(t, d.publishRecord(r))
	d.store.injectFaults(faults{Down: true})
	// This is the next step of `bundle roll`, with the one entry that it reaches.
	must.NoError(t, inspector.Inspector{}.SendBundle(t.Context(), d.entries[1].operators, r))
	d.mustBeInForce()
	d.store.injectFaults(faults{})

	d.store.post("/admin/restore", nil, nil)
	w.mustNotRevert(t, quietPeriod)
	for _, p := range d.processes() {
		w.reset(p.name)
		p.replace()
		d.mustBeInForce()
	}
	w.mustNotRevert(t, quietPeriod)
}

// TestBundleOutlivesAllEntries replaces all entries at the same time while the store
// is down, so that only agents still have the bundle. If the entries didn't get it from
// them, replacing machines during an outage of the store would stop the service.
func TestBundleOutlivesAllEntries(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 3, engines: 1, services: 3})
	d.publish("v1", drain(domains[1]))
	d.mustBeInForce()
	d.store.injectFaults(faults{Down: true})
	for _, e := range d.entries {
		e.kill()
	}
	for _, e := range d.entries {
		e.start()
	}
	d.mustBeInForce()
	work := d.workIn(domains[1])
	b := startBookings(t, 4, d, entryKeys)
	b.awaitConfirmed(t, 10)
	b.stop()
	b.mustMatchRuns(t)
	must.Eq(t, work, d.workIn(domains[1]), must.Sprint("work in a drained failure domain"))
}

// TestLateJoinerTakesTheNewestBundle starts an entry and an agent right after the store
// was restored from an old copy, so that the bundle they read there is older than the
// one the other processes hold. It guards against requests through the new entry that
// reach a drained failure domain.
func TestLateJoinerTakesTheNewestBundle(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, topology{entries: 3, services: 3})
	for i := range 3 {
		d.addEntry(i)
		d.addService(i)
	}
	late := []*process{d.entries[2].process, d.services[2].process}
	for _, p := range d.processes() {
		if !slices.Contains(late, p) {
			p.launch()
		}
	}
	d.publish("v1", nil)
	d.store.post("/admin/snapshot", nil, nil)
	d.publish("v1", drain(domains[1]))
	eventually(t, waitTimeout, "drain in force", func() bool {
		return d.entries[0].revision() == 2 && d.entries[1].revision() == 2 && d.services[1].revision() == 2
	})
	d.store.post("/admin/restore", nil, nil)
	for _, p := range late {
		p.launch()
	}
	work := d.workIn(domains[1])
	joiner := d.entries[2].callers
	eventually(t, reactionLimit, "late joiners have the newest bundle", func() bool {
		d.bookAll(t.Context(), "late", 3)
		return d.entries[2].revision() == 2 && d.services[2].revision() == 2
	})
	eventually(t, waitTimeout, "the late entry serves", func() bool {
		return book(t.Context(), joiner, "", "", "served").outcome == outcomeRan
	})
	must.Eq(t, work, d.workIn(domains[1]), must.Sprint("work in a drained failure domain"))
}

// TestRacingOperatorsGetOneBundle has two operators repeatedly roll different bundles
// as the same revision while the store loses answers. If both were accepted, each
// operator would assume that their own limits and drains are in force.
func TestRacingOperatorsGetOneBundle(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 3, services: 1})
	d.store.injectFaults(faults{LoseAnswers: 0.3})
	for n := range 5 {
		base := d.bundle
		winners, changes := d.raceOperators(n)
		must.Eq(t, 1, len(winners), must.Sprintf("round %d: accepted %v", n, changes))
		d.bundle = winners[0]
		must.Eq(t, base.Revision+1, d.bundle.Revision)
		d.mustBeInForce()
	}
}

// raceOperators has two operators publish at once and returns the bundles that were
// accepted.
func (d *deployment) raceOperators(round int) (winners []bundler.Bundle, changes []string) {
	d.t.Helper()
	var g sync.WaitGroup
	var mu sync.Mutex
	for _, name := range []string{"anna", "ben"} {
		b := d.bundle
		b.Revision++
		b.ChangeID = name + "-" + strconv.Itoa(round)
		r := d.sign(&b)
		g.Go(func() {
			err := d.publishRecord(r)
			var raceErr *publisher.RaceError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				winners = append(winners, b)
				changes = append(changes, b.ChangeID)
			case !errors.As(err, &raceErr):
				d.t.Errorf("%s: %v", b.ChangeID, err)
			}
		})
	}
	g.Wait()
	return winners, changes
}

func (d *deployment) processes() []*process {
	var ps []*process
	for _, e := range d.entries {
		ps = append(ps, e.process)
	}
	for _, v := range d.agents() {
		ps = append(ps, v.process)
	}
	return ps
}

// mustBeInForce checks that all processes hold the newest bundle within reactionLimit.
func (d *deployment) mustBeInForce() {
	d.t.Helper()
	eventually(d.t, reactionLimit, "revision "+strconv.FormatUint(d.bundle.Revision, 10)+" in force everywhere", func() bool {
		for _, e := range d.entries {
			if e.revision() != d.bundle.Revision {
				return false
			}
		}
		for _, v := range d.agents() {
			if v.revision() != d.bundle.Revision {
				return false
			}
		}
		return true
	})
}

// revisionWatch records the highest revision seen at each process.
type revisionWatch struct {
	deployment *deployment
	highest    map[string]uint64
}

func (d *deployment) watchRevisions() *revisionWatch {
	return &revisionWatch{deployment: d, highest: map[string]uint64{}}
}

// reset clears the record of a process that is replaced, which starts without a bundle.
func (r *revisionWatch) reset(name string) { delete(r.highest, name) }

// mustNotRevert checks during span that no process goes back to a lower revision,
// and that all of them answer with the newest at the end.
func (r *revisionWatch) mustNotRevert(t *testing.T, span time.Duration) {
	t.Helper()
	d := r.deployment
	throughout(t, span, "no process reverts", func() bool {
		for _, e := range d.entries {
			s, err := inspector.Inspector{}.Status(t.Context(), e.operators)
			if err == nil && !r.observe(e.id, s.State.Freshness.Revision) {
				return false
			}
		}
		for _, v := range d.agents() {
			if s, ok := v.status(); ok && !r.observe(v.id, s.State.Revision) {
				return false
			}
		}
		return true
	})
	d.mustBeInForce()
}

// observe records the revision of a process. It returns false if the revision is lower
// than the highest one recorded.
func (r *revisionWatch) observe(id string, revision uint64) bool {
	if revision < r.highest[id] {
		return false
	}
	r.highest[id] = revision
	return true
}
