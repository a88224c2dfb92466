package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against refusing callers whose replies were cut by a restart although slots come free within a second.
func TestLateWaitsContinueWhileTheyGetSlots(t *testing.T) {
	var w scheduler.LateWaits
	now := time.Unix(1000, 0)
	for i := range 100 {
		must.True(t, w.Begin("s", now))
		w.End("s", i%2 == 0, now)
	}
	must.True(t, w.Begin("s", now))
}

// Guards against late requests that wait in a lasting overload without getting a slot, and against a service
// whose late requests never wait again after one.
func TestLateWaitsAreSuspendedWithoutSlots(t *testing.T) {
	var w scheduler.LateWaits
	now := time.Unix(1000, 0)
	waited := 0
	for ; w.Begin("s", now); waited++ {
		w.End("s", false, now)
	}
	must.Between(t, 2, waited, 8)
	must.True(t, w.Begin("other", now), must.Sprint("another service"))

	probes := 0
	for range 100 {
		now = now.Add(time.Second)
		if w.Begin("s", now) {
			must.False(t, w.Begin("s", now), must.Sprint("one probe at a time"))
			w.End("s", false, now)
			probes++
		}
	}
	must.Between(t, 5, probes, 10, must.Sprint("in 100 s"))

	now = now.Add(time.Minute)
	must.True(t, w.Begin("s", now))
	w.Abandon("s")
	must.True(t, w.Begin("s", now), must.Sprint("the caller of the first probe has left"))
	w.End("s", true, now)
	must.True(t, w.Begin("s", now))
	must.True(t, w.Begin("s", now))
}
