package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// outOfReach has a process ask the store in vain for a time, each half a second.
func outOfReach(r *registrar.Registrar, c *clocktest.FakeClock, d time.Duration) {
	for end := c.Now().Add(d); c.Now().Before(end); {
		c.Step(100 * time.Millisecond)
		if c.Now().Sub(end)%(500*time.Millisecond) == 0 {
			r.StoreLost()
		}
	}
}

func watched(r *registrar.Registrar) {
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
}

// The store is out of reach for all, and a version is named meanwhile. Nobody can have
// heard of it, and nobody can have fetched it. Counted from the last word of the store, the
// time of the old weights would be over as soon as the store is back, and all callers would
// be refused until the new ones are there, seconds later.
func TestNamingInAnOutageCountsFromItsEnd(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	outOfReach(r, c, 7*time.Second)
	// Another process had a slightly later word of the store, and tells of it now.
	r.Apply(registrar.Batch{After: 1, At: 1, Age: 6500 * time.Millisecond})
	outOfReach(r, c, time.Second)
	back := c.Now()
	c.Step(300 * time.Millisecond)
	r.StoreFound()
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, back, got, must.Sprint("the last time that the store was asked in vain"))
}

// A process stands still over a naming, and the store fails it once as it wakes. The store
// answered all others meanwhile: were the naming taken for new, old weights would begin
// replies that much beyond their time.
func TestNamingWhileStandingStillCountsFromBefore(t *testing.T) {
	// Each gives the latest moment from which the naming may count.
	for name, asleep := range map[string]func(*registrar.Registrar, *clocktest.FakeClock) time.Time{
		"all the while": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			before := c.Now()
			c.Step(8 * time.Second)
			r.StoreLost()
			return before
		},
		"after a while": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			before := c.Now()
			outOfReach(r, c, 2*time.Second)
			c.Step(6 * time.Second)
			outOfReach(r, c, 500*time.Millisecond)
			return before
		},
		"long after an outage": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			outOfReach(r, c, 2*time.Second)
			c.Step(time.Second)
			r.StoreFound()
			r.Apply(registrar.Batch{After: 1, At: 1})
			before := c.Now()
			c.Step(6 * time.Second)
			return before
		},
		"at the end": func(r *registrar.Registrar, c *clocktest.FakeClock) time.Time {
			outOfReach(r, c, 2*time.Second)
			before := c.Now()
			c.Step(6 * time.Second)
			return before
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, c := newRegistrar()
			r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
			want := asleep(r, c)
			watched(r)
			got, ok := superseded(r, 1)
			must.True(t, ok)
			must.Eq(t, want, got)
		})
	}
}

// A process waits for silent peers, turns to the store at last, and fails once. The store
// answered others all the while, so that the naming is as old as the last word.
func TestNamingMissedBehindSilentPeersCountsFromBefore(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	before := c.Now()
	for range 40 {
		c.Step(100 * time.Millisecond)
	}
	outOfReach(r, c, 500*time.Millisecond)
	watched(r)
	got, ok := superseded(r, 1)
	must.True(t, ok)
	must.Eq(t, before, got)
}
