package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

// The VM of an entry is suspended, and its steady clock doesn't count that. Until it has
// asked anew it must neither deny a caller a route that was added meanwhile, nor tell
// others that its news is young, or that a version was named only just now: they would
// let old weights serve for longer.
func TestSuspensionMakesNewsOld(t *testing.T) {
	steady := clocktest.NewFakeClock(time.Unix(1000, 0))
	vm := &suspender.VM{Steady: steady}
	r := &registrar.Registrar{Clock: vm.Clock(), Decode: decode}
	r.Apply(registrar.Batch{Whole: true, At: 1})
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	must.True(t, r.Fresh())
	vm.Suspend(9 * time.Second)
	steady.Step(time.Second)
	must.False(t, r.Fresh())
	b := r.Since(0)
	must.Eq(t, 10*time.Second, b.Age)
	must.Len(t, 1, b.Records)
	must.Eq(t, 10*time.Second, b.Records[0].Age)
}
