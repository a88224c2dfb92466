package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// newRegionRegistrars returns processes of regions a, b and c that have an entry in each, and version 1 of model m.
func newRegionRegistrars(c *clocktest.FakeClock) []*registrar.Registrar {
	var rs []*registrar.Registrar
	for _, region := range []string{"a", "b", "c"} {
		r := newRegistrarAt(c)
		r.Region = region
		r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{
			record("weights/m", "1", 1), record("entry/a", "", 1), record("entry/b", "", 1), record("entry/c", "", 1)}})
		rs = append(rs, r)
	}
	return rs
}

// Guards against processes that take saturated links from the store's region for an outage of the store, and count an
// announcement from its end.
func TestOutageNeedsAllRegions(t *testing.T) {
	for name, test := range map[string]struct {
		// lost are the regions whose calls fail, and answered one whose process then gets an answer.
		lost     []int
		answered int
		outage   bool
	}{
		"all":                    {lost: []int{0, 1, 2}, answered: -1, outage: true},
		"not the store's region": {lost: []int{0, 1}, answered: -1},
		"one has an answer then": {lost: []int{0, 1, 2}, answered: 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			rs := newRegionRegistrars(c)
			r, before := rs[0], c.Now()
			for range 10 {
				c.Step(500 * time.Millisecond)
				for _, i := range test.lost {
					rs[i].StoreCallFailed()
				}
				// The third one's observations arrive by way of the second one.
				rs[1].Apply(rs[2].ChangesSince(1))
				r.Apply(rs[1].ChangesSince(1))
			}
			want := before
			if test.outage {
				want = c.Now()
			}
			c.Step(300 * time.Millisecond)
			if test.answered >= 0 {
				rs[test.answered].StoreCallSucceeded()
				rs[test.answered].Apply(registrar.Batch{After: 1, At: 2, Partial: true, Records: []registrar.Record{record("other", "1", 2)}})
				c.Step(300 * time.Millisecond)
				r.StoreCallFailed()
				rs[1].StoreCallFailed()
				r.Apply(rs[test.answered].ChangesSince(1))
				c.Step(300 * time.Millisecond)
				r.StoreCallFailed()
				rs[1].StoreCallFailed()
				r.Apply(rs[1].ChangesSince(1))
			}
			r.StoreCallSucceeded()
			r.Apply(registrar.Batch{After: 1, At: 3, Records: []registrar.Record{record("weights/m", "2", 3)}})
			got, ok := supersededAt(r, 1)
			must.True(t, ok)
			must.Eq(t, want, got)
		})
	}
}
