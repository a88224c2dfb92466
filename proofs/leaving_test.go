package proofs_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// TestLeavingUpstreamGetsNoNewWork guards against requests that are sent to a VM about
// to shut down and fail with it. The platform's list reports one VM as leaving without
// its agent being notified; the agent of another VM gets SIGTERM, which the list
// doesn't show.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 2, engines: 3, services: 2})
	f := startTraffic(t, 6, roundRobin(d.callerAddresses()))
	b := startBookings(t, 4, d, entryKeys)
	f.awaitComplete(t, 20)

	d.listVM(d.engines[0], "leaving")
	d.listVM(d.services[0], "leaving")
	for _, v := range []*vm{d.engines[0], d.services[0]} {
		d.mustStopGettingWork(v, f)
	}
	d.listVM(d.engines[0], "live")
	before := d.engines[0].upstream.counts().work()
	eventually(t, waitTimeout, "work after the VM is live again", func() bool {
		return d.engines[0].upstream.counts().work() > before
	})

	// Replies that take longer than the watch keep the agent from exiting earlier.
	long := startLongTraffic(t, 9, outlastingTokens, roundRobin(d.callerAddresses()))
	eventually(t, waitTimeout, "long replies on all engines", func() bool {
		return all(d.engines, func(v *vm) bool { return v.running() > 1 })
	})
	d.engines[1].terminate()
	long.cancel()
	d.mustStopGettingWork(d.engines[1], f)
	// The agent waits for its replies, which on a busy machine may take longer than wait allows.
	long.stop()
	d.engines[1].wait()
	f.awaitComplete(t, 20)
	b.stop()
	f.stop()
	f.mustHaveNoDefects(t, d.weights)
	long.mustHaveNoDefects(t, d.weights)
	must.Eq(t, len(long.answers), long.count(func(a answer) bool { return a.complete || a.outcome == outcomeNotRun }))
	b.mustMatchRuns(t)
}

// listVM sets the state of a VM in the platform's list of VMs.
func (d *deployment) listVM(v *vm, state string) {
	d.t.Helper()
	d.vmList.put("/admin/vms/"+v.id, imitator.VM{
		Role: "upstream", Address: v.address, FailureDomain: v.domain, State: state,
	})
}

// mustStopGettingWork checks that an upstream gets no new work after reactionLimit,
// while the others do. The time that the others need for their answers isn't part of
// the bound: on a busy machine it amounts to seconds.
func (d *deployment) mustStopGettingWork(v *vm, f *traffic) {
	d.t.Helper()
	began, lastWork, answersThen := time.Now(), v.upstream.counts().work(), f.completeAnswers()
	workedFor := time.Duration(0)
	eventually(d.t, waitTimeout, "others serve while "+v.id+" is quiet", func() bool {
		if now := v.upstream.counts().work(); now != lastWork {
			workedFor, lastWork, answersThen = time.Since(began), now, f.completeAnswers()
		}
		return workedFor > reactionLimit || f.completeAnswers() >= answersThen+minOtherAnswers
	})
	must.LessEq(d.t, reactionLimit, workedFor, must.Sprintf("%s gets no new work within %v", v.id, reactionLimit))
	throughout(d.t, quietPeriod, v.id+" gets no new work", func() bool { return v.upstream.counts().work() == lastWork })
	must.Positive(d.t, f.completeAnswers())
}

// outlastingTokens is the length of a reply that takes longer than an upstream is
// watched.
const outlastingTokens = 1700

// running returns the number of requests that an agent has admitted to its upstream.
func (v *vm) running() int {
	s, _ := v.status()
	return s.State.Running
}

// minOtherAnswers is the number of answers from other upstreams that shows that an
// upstream without new work is skipped.
const minOtherAnswers = 20
