package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against a deleted upstream that stays in use too long at a process that couldn't reach the
// store recently, as when a watch was interrupted, and receives the deletion from another one. If
// the time counted from the arrival, each hop would extend it, and a request would reach an
// upstream that reported its shutdown.
func TestDelayedDeletionDoesNotExtendLinger(t *testing.T) {
	witness, c := newRegistrar()
	witness.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 5)}})
	late := &registrar.Registrar{Clock: c, Decode: decode, Linger: 1600 * time.Millisecond}
	late.Apply(witness.ChangesSince(0))
	c.Step(5 * time.Second)
	witness.Apply(registrar.Batch{After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}})
	c.Step(time.Second)
	late.StoreCallFailed()
	late.Apply(witness.ChangesSince(5))
	c.Step(700 * time.Millisecond)
	late.Tick()
	must.Len(t, 0, late.View().Service("s"), must.Sprint("1.7 s after its deletion"))
}
