package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an upstream that gets requests for too long after its record went: a failed call of this
// process alone, in which that happened, kept it from the arrival of the next answer.
func TestLapseBehindAFailedCallCountsFromTheLastConfirmation(t *testing.T) {
	// bound is how long an upstream that left may get requests.
	const bound = 2 * time.Second
	for name, b := range map[string]registrar.Batch{
		"change": {After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}},
		"list":   {Whole: true, At: 6, Records: []registrar.Record{record("up/b", "1", 5)}},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Heartbeat = 1200 * time.Millisecond
			r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 4), record("up/b", "1", 5)}})
			lapsed := c.Now()
			r.StoreAsked()
			c.Step(1900 * time.Millisecond)
			r.StoreLost()
			c.Step(300 * time.Millisecond)
			r.StoreAsked()
			r.StoreFound()
			reported := c.Since(lapsed)
			r.Apply(b)
			for len(r.View().Service("s")) > 1 {
				c.Step(100 * time.Millisecond)
				r.Tick()
			}
			// What is left of the bound is over, too, once it is reported.
			must.LessEq(t, max(bound, reported), c.Since(lapsed), must.Sprintf("kept for %v after it lapsed", c.Since(lapsed)))
		})
	}
}

// Guards against an upstream that is out of use at once although it lives: its record lapsed in an outage.
func TestUpstreamThatLapsedInAnOutageStaysForAWhile(t *testing.T) {
	answer := func(r *registrar.Registrar, c *clocktest.FakeClock) {
		r.Apply(registrar.Batch{After: 5, At: 5})
		c.Step(600 * time.Millisecond)
	}
	for name, between := range map[string]func(*registrar.Registrar, *clocktest.FakeClock){
		"first answer": func(*registrar.Registrar, *clocktest.FakeClock) {},
		"later answer": answer,
		"answer after another failed call": func(r *registrar.Registrar, c *clocktest.FakeClock) {
			answer(r, c)
			r.StoreAsked()
			r.StoreLost()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Heartbeat = 1200 * time.Millisecond
			r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 4)}})
			c.Step(1900 * time.Millisecond)
			r.StoreLost()
			c.Step(600 * time.Millisecond)
			r.StoreAsked()
			r.StoreFound()
			between(r, c)
			r.Apply(registrar.Batch{After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}})
			must.Len(t, 1, r.View().Service("s"))
			c.Step(1500 * time.Millisecond)
			r.Tick()
			must.Len(t, 1, r.View().Service("s"))
		})
	}
}
