package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

// A version is named, and its chunks can't be had. The VM is suspended until the time of
// the old weights is over, and its steady clock doesn't count that. The first entry that
// asks after it woke must get no place: a caller would get a reply from weights that the
// operators replaced seconds ago.
func TestSuspensionCountsForOldWeights(t *testing.T) {
	e := &engine{born: 1}
	vm := &suspender.VM{Steady: clock.RealClock{}}
	w := newWorldOn(t, vm.Clock(), e, time.Minute)
	eventually(t, w.open)
	w.origin.mu.Lock()
	w.origin.withheld = map[int]bool{2: true}
	w.origin.mu.Unlock()
	w.name(2)
	must.True(t, w.open(), must.Sprint("the old weights still serve"))
	// A chunk staged ahead tells that the agent has taken the naming in.
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return string(e.staged[0]) == string(chunkOf(2, 0))
	})
	vm.Suspend(time.Minute)
	must.False(t, w.open())
	must.Eq(t, 1, e.holds())
}
