package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an upstream that gets requests for too long: its record was deleted during a failed call of this
// process alone, and its use was extended from the arrival of the next answer.
func TestExpiryDuringFailedCallCountsFromLastConfirmation(t *testing.T) {
	// bound is how long an upstream that shut down may get requests.
	const bound = 2 * time.Second
	for name, b := range map[string]registrar.Batch{
		"change": {After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}},
		"list":   {Whole: true, At: 6, Records: []registrar.Record{record("up/b", "1", 5)}},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Heartbeat = 1200 * time.Millisecond
			r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 4), record("up/b", "1", 5)}})
			expired := c.Now()
			r.StoreCallStarted()
			c.Step(1900 * time.Millisecond)
			r.StoreCallFailed()
			c.Step(300 * time.Millisecond)
			r.StoreCallStarted()
			r.StoreCallSucceeded()
			reported := c.Since(expired)
			r.Apply(b)
			for len(r.View().Service("s")) > 1 {
				c.Step(100 * time.Millisecond)
				r.Tick()
			}
			// If the deletion is reported after the bound, the use must end at once.
			must.LessEq(t, max(bound, reported), c.Since(expired), must.Sprintf("kept for %v after its record expired", c.Since(expired)))
		})
	}
}

// Guards against dropping a running upstream at once because its record expired in an outage.
func TestUpstreamExpiredInOutageLingers(t *testing.T) {
	answer := func(r *registrar.Registrar, c *clocktest.FakeClock) {
		r.Apply(registrar.Batch{After: 5, At: 5})
		c.Step(600 * time.Millisecond)
	}
	for name, between := range map[string]func(*registrar.Registrar, *clocktest.FakeClock){
		"first answer": func(*registrar.Registrar, *clocktest.FakeClock) {},
		"later answer": answer,
		"answer after another failed call": func(r *registrar.Registrar, c *clocktest.FakeClock) {
			answer(r, c)
			r.StoreCallStarted()
			r.StoreCallFailed()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Heartbeat = 1200 * time.Millisecond
			r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 4)}})
			c.Step(1900 * time.Millisecond)
			r.StoreCallFailed()
			c.Step(600 * time.Millisecond)
			r.StoreCallStarted()
			r.StoreCallSucceeded()
			between(r, c)
			r.Apply(registrar.Batch{After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}})
			must.Len(t, 1, r.View().Service("s"))
			c.Step(1500 * time.Millisecond)
			r.Tick()
			must.Len(t, 1, r.View().Service("s"))
		})
	}
}
