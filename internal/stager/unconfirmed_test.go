package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

// Guards against an agent that grants slots on weights that were superseded by an announcement it never received.
func TestAgentGrantsNothingOnUnconfirmedWeights(t *testing.T) {
	vm := &suspender.VM{Steady: clock.RealClock{}}
	f := newFixtureWithClock(t, vm.Clock(), &engine{startedAt: 1}, time.Minute)
	eventually(t, f.isOpen)
	for _, announced := range []bool{false, true} {
		vm.Suspend(30 * time.Second)
		must.True(t, f.isOpen())
		vm.Suspend(30 * time.Second)
		must.False(t, f.isOpen(), must.Sprint("a version may have been announced a minute ago"))
		eventually(t, func() bool {
			_, _, closed := f.stager.Gate()
			return closed == "unconfirmed weights"
		})
		f.registrar.Apply(registrar.Batch{After: f.revision, At: f.revision})
		eventually(t, f.isOpen)
		if !announced {
			f.announce(1)
		}
	}
}
