package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

// Guards against an entry whose VM was suspended, which its steady clock doesn't count. Until its
// next call it must neither deny a caller a route that was added meanwhile, nor report a fresh
// confirmation or a recent announcement to others, which would let old weights serve for longer.
func TestSuspensionAgesConfirmation(t *testing.T) {
	steady := clocktest.NewFakeClock(time.Unix(1000, 0))
	vm := &suspender.VM{Steady: steady}
	r := &registrar.Registrar{Clock: vm.Clock(), Decode: decode}
	r.Apply(registrar.Batch{Whole: true, At: 1})
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	must.True(t, r.Fresh())
	vm.Suspend(9 * time.Second)
	steady.Step(time.Second)
	must.False(t, r.Fresh())
	b := r.ChangesSince(0)
	must.Eq(t, 10*time.Second, b.Age)
	must.Len(t, 1, b.Records)
	must.Eq(t, 10*time.Second, b.Records[0].Age)
}
