package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
)

// Guards against a process that was suspended and dates an announcement by an outage that others inferred meanwhile, while
// the store answered all but them.
func TestSuspendedProcessDatesNothingByAForeignOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	suspended := newRegistrarAt(c)
	suspended.Apply(r.ChangesSince(0))
	suspended.StoreCallStarted()
	before := c.Now()
	failCallsOfBoth(r, other, c, 8*time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	applyVersion2(r)
	got, ok := supersededAt(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("a process that observed the outage"))
	suspended.Apply(r.ChangesSince(1))
	got, ok = supersededAt(suspended, 1)
	must.True(t, ok)
	must.Eq(t, before, got, must.Sprint("the suspended one"))
}
