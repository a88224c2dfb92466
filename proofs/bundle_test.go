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

// TestAcceptedBundleIsInForceAndNeverReverts rolls bundles while the store loses
// its answers, its watches are dead, it is slow, or goes out right after it has
// accepted; then the store is restored from an old copy, and each process is
// replaced in turn. An operator would notice machines that still work by the old
// bundle minutes later, or fall back to it: a drained failure domain gets work
// again, a withdrawn version answers.
func TestAcceptedBundleIsInForceAndNeverReverts(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 3, services: 3})
	w := d.watchRevisions()
	d.store.post("/admin/snapshot", nil, nil)

	for _, f := range []faults{{LoseAnswers: 1}, {DeadWatches: true}, {DelayMS: 500}, {}} {
		r := d.next("v1", nil)
		d.store.fault(f)
		must.NoError(t, d.accept(r))
		d.mustBeInForce()
	}

	r := d.next("v1", nil)
	must.NoError(t, d.accept(r))
	d.store.fault(faults{Down: true})
	// What `bundle roll` does next, with the one entry that it reaches.
	must.NoError(t, inspector.Inspector{}.SendBundle(t.Context(), d.entries[1].operators, r))
	d.mustBeInForce()
	d.store.fault(faults{})

	d.store.post("/admin/restore", nil, nil)
	w.mustNotRevert(t, quiet)
	for _, p := range d.processes() {
		w.forget(p.name)
		p.replace()
		d.mustBeInForce()
	}
	w.mustNotRevert(t, quiet)
}

// TestBundleOutlivesAllEntries replaces all entries at the same time while the
// store is out, so that only agents still have the bundle. Without it the system
// serves nobody until the store is back, and an operator would notice that a
// machine that happened to be replaced in an outage has stopped the service.
func TestBundleOutlivesAllEntries(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 3, engines: 1, services: 3})
	d.publish("v1", drain(domains[1]))
	d.mustBeInForce()
	d.store.fault(faults{Down: true})
	for _, e := range d.entries {
		e.kill()
	}
	for _, e := range d.entries {
		e.run()
	}
	d.mustBeInForce()
	work := d.work(domains[1])
	b := startBookings(t, 4, d, minted)
	b.moves(t, 10)
	b.stop()
	b.mustBeTrue(t)
	must.Eq(t, work, d.work(domains[1]), must.Sprint("work in a drained failure domain"))
}

// TestLateJoinerTakesTheNewestBundle starts an entry and an agent when the store
// has just been restored from an old copy: what they read there is older than
// what the others hold. A user would notice that requests through the new entry
// land in a failure domain that operators had drained.
func TestLateJoinerTakesTheNewestBundle(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, shape{entries: 3, services: 3})
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
	eventually(t, patience, "drain in force", func() bool {
		return d.entries[0].revision() == 2 && d.entries[1].revision() == 2 && d.services[1].revision() == 2
	})
	d.store.post("/admin/restore", nil, nil)
	for _, p := range late {
		p.launch()
	}
	work := d.work(domains[1])
	joiner := d.entries[2].callers
	eventually(t, promptly, "late joiners hold the newest bundle", func() bool {
		d.bookAll(t.Context(), "late", 3)
		return d.entries[2].revision() == 2 && d.services[2].revision() == 2
	})
	eventually(t, patience, "the late entry serves", func() bool {
		return book(t.Context(), joiner, "", "", "served").outcome == ran
	})
	must.Eq(t, work, d.work(domains[1]), must.Sprint("work in a drained failure domain"))
}

// TestRacingOperatorsGetOneBundle has two operators roll different bundles as the
// same revision, again and again, while the store loses answers. Were both told
// that theirs was accepted, each would believe its own limits and drains in
// force.
func TestRacingOperatorsGetOneBundle(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 3, services: 1})
	d.store.fault(faults{LoseAnswers: 0.3})
	for n := range 5 {
		base := d.bundle
		winners, changes := d.race(n)
		must.Eq(t, 1, len(winners), must.Sprintf("round %d: accepted %v", n, changes))
		d.bundle = winners[0]
		must.Eq(t, base.Revision+1, d.bundle.Revision)
		d.mustBeInForce()
	}
}

// race has two operators publish at once and gives the bundles that were
// accepted.
func (d *deployment) race(round int) (winners []bundler.Bundle, changes []string) {
	d.t.Helper()
	var g sync.WaitGroup
	var mu sync.Mutex
	for _, name := range []string{"anna", "ben"} {
		b := d.bundle
		b.Revision++
		b.ChangeID = name + "-" + strconv.Itoa(round)
		r := d.sign(&b)
		g.Go(func() {
			err := d.accept(r)
			var lost *publisher.RaceError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				winners = append(winners, b)
				changes = append(changes, b.ChangeID)
			case !errors.As(err, &lost):
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

// mustBeInForce checks that everybody holds the newest bundle within seconds.
func (d *deployment) mustBeInForce() {
	d.t.Helper()
	eventually(d.t, promptly, "revision "+strconv.FormatUint(d.bundle.Revision, 10)+" in force everywhere", func() bool {
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

// revisions follows what all processes hold.
type revisions struct {
	deployment *deployment
	highest    map[string]uint64
}

func (d *deployment) watchRevisions() *revisions {
	return &revisions{deployment: d, highest: map[string]uint64{}}
}

// forget is for a process that is replaced: it has to learn anew.
func (r *revisions) forget(name string) { delete(r.highest, name) }

// mustNotRevert checks for a while that no process goes back to a lower revision,
// and that all of them still answer with the newest at the end.
func (r *revisions) mustNotRevert(t *testing.T, span time.Duration) {
	t.Helper()
	d := r.deployment
	throughout(t, span, "no process reverts", func() bool {
		for _, e := range d.entries {
			s, err := inspector.Inspector{}.Status(t.Context(), e.operators)
			if err == nil && !r.note(e.id, s.State.Freshness.Revision) {
				return false
			}
		}
		for _, v := range d.agents() {
			if s, ok := v.status(); ok && !r.note(v.id, s.State.Revision) {
				return false
			}
		}
		return true
	})
	d.mustBeInForce()
}

// note tells whether a process that answered holds no less than before.
func (r *revisions) note(id string, revision uint64) bool {
	if revision < r.highest[id] {
		return false
	}
	r.highest[id] = revision
	return true
}
