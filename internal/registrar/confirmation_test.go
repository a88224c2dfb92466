package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against logs that don't tell the store's word from an inferred outage, or lose whom the store answered when
// processes pass its word on.
func TestConfirmationTellsWhoseWordItIs(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	c.Step(100 * time.Millisecond)
	other.Apply(registrar.Batch{After: 1, At: 1, ConfirmedBy: "reader"})
	r.Apply(other.ChangesSince(1))
	must.Eq(t, registrar.Confirmation{By: "reader"}, r.Confirmation())
	c.Step(300 * time.Millisecond)
	r.Apply(other.ChangesSince(1))
	must.Eq(t, registrar.Confirmation{Age: 300 * time.Millisecond, StoreAge: 300 * time.Millisecond, By: "reader"}, r.Confirmation())
	failCallsOfBoth(r, other, c, 4*time.Second)
	got := r.Confirmation()
	must.Eq(t, 4300*time.Millisecond, got.StoreAge)
	must.Less(t, time.Second, got.Age)
	must.Eq(t, "reader", got.By)
}
