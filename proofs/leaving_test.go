package proofs_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// TestLeavingUpstreamGetsNoNewWork has the platform's list say that a VM leaves,
// whose agent knows nothing of it, and ends the agent of another VM with SIGTERM,
// which the list learns nothing of. A user would notice requests that die with
// the VM a moment later.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, engines: 3, services: 2})
	f := startTraffic(t, 6, inTurn(d.callers()))
	b := startBookings(t, 4, d, minted)
	f.moves(t, 20)

	d.show(d.engines[0], "leaving")
	d.show(d.services[0], "leaving")
	for _, v := range []*vm{d.engines[0], d.services[0]} {
		d.mustBecomeQuiet(v, f)
	}
	d.show(d.engines[0], "live")
	before := d.engines[0].upstream.counts().work()
	eventually(t, patience, "work after the VM stays on", func() bool {
		return d.engines[0].upstream.counts().work() > before
	})

	// Replies that outlast the watch keep the agent from ending before.
	long := startLongTraffic(t, 9, outlasting, inTurn(d.callers()))
	eventually(t, patience, "long replies on all engines", func() bool {
		return all(d.engines, func(v *vm) bool { return v.running() > 1 })
	})
	d.engines[1].leave()
	long.cancel()
	d.mustBecomeQuiet(d.engines[1], f)
	// The agent waits for its replies, which take longer than its end on a busy machine.
	long.stop()
	d.engines[1].wait()
	f.moves(t, 20)
	b.stop()
	f.stop()
	f.mustBeHonest(t, d.weights)
	long.mustBeHonest(t, d.weights)
	must.Eq(t, len(long.answers), long.count(func(a answer) bool { return a.whole || a.outcome == notRun }))
	b.mustBeTrue(t)
}

// show puts a VM on the list of VMs.
func (d *deployment) show(v *vm, state string) {
	d.t.Helper()
	d.list.put("/admin/vms/"+v.id, imitator.VM{
		Role: "upstream", Address: v.address, FailureDomain: v.domain, State: state,
	})
}

// mustBecomeQuiet checks that an upstream gets no new work after a few seconds,
// while the others do. How long these need for their answers is no part of the bound: on
// a busy machine they alone take seconds.
func (d *deployment) mustBecomeQuiet(v *vm, f *traffic) {
	d.t.Helper()
	began, last, since := time.Now(), v.upstream.counts().work(), f.whole()
	worked := time.Duration(0)
	eventually(d.t, patience, "others serve while "+v.id+" is quiet", func() bool {
		if now := v.upstream.counts().work(); now != last {
			worked, last, since = time.Since(began), now, f.whole()
		}
		return worked > promptly || f.whole() >= since+quietAnswers
	})
	must.LessEq(d.t, promptly, worked, must.Sprintf("%s gets no new work within %v", v.id, promptly))
	throughout(d.t, quiet, v.id+" gets no new work", func() bool { return v.upstream.counts().work() == last })
	must.Positive(d.t, f.whole())
}

// outlasting is the length of a reply that takes longer than an upstream is
// watched.
const outlasting = 1700

// running is how many requests an agent has let through to its upstream.
func (v *vm) running() int {
	s, _ := v.status()
	return s.State.Running
}

// quietAnswers is how many answers from elsewhere show that an upstream without
// new work is passed over.
const quietAnswers = 20
