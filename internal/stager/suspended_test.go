package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

// The chunks of an announced version are unavailable, and the VM is suspended until the old weights
// have expired, which its steady clock doesn't count. The first request after the VM resumes must
// get no slot: the reply would come from weights that the operators replaced seconds ago.
func TestSuspensionCountsForOldWeights(t *testing.T) {
	e := &engine{startedAt: 1}
	vm := &suspender.VM{Steady: clock.RealClock{}}
	f := newFixtureWithClock(t, vm.Clock(), e, time.Minute)
	eventually(t, f.isOpen)
	f.origin.mu.Lock()
	f.origin.withheld = map[int]bool{2: true}
	f.origin.mu.Unlock()
	f.announce(2)
	must.True(t, f.isOpen(), must.Sprint("the old weights must still serve"))
	// A chunk staged ahead shows that the agent has processed the announcement.
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return string(e.staged[0]) == string(chunkOf(2, 0))
	})
	vm.Suspend(time.Minute)
	must.False(t, f.isOpen())
	must.Eq(t, 1, e.holds())
}
