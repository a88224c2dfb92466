package registrar_test

import (
	"testing"
	"time"

	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// callPartial is call for a store that limits its answers to some records.
func (u *flakyStore) callPartial(r *registrar.Registrar, records int) {
	at, _, known := r.Revision()
	if !u.downSince.IsZero() || !known {
		u.call(r, true)
		return
	}
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	b := u.watch(at)
	if len(b.Records) > 0 {
		b.Partial = true
		b.Records = b.Records[:min(records, len(b.Records))]
		b.At = b.Records[len(b.Records)-1].Revision
	}
	r.Apply(b)
}

// The same as TestSupersessionIsNeverLateAcrossOutages, with other changes and partial answers.
func TestSupersessionIsNeverLateWithPartialAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		u := &flakyStore{oracle: oracle{live: map[string]registrar.Record{}}, clock: c}
		rs := []*registrar.Registrar{newRegistrarAt(c), newRegistrarAt(c)}
		version := uint64(1)
		u.change("weights/m", "1", false)
		for _, r := range rs {
			u.call(r, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"name": func(*rapid.T) {
				version++
				u.announce(version)
			},
			"change": func(*rapid.T) { u.change("up/u", "1", false) },
			"store": func(*rapid.T) {
				if u.downSince.IsZero() {
					u.startOutage()
				} else {
					u.recover()
				}
			},
			"call": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					for _, r := range rs {
						u.callPartial(r, rapid.IntRange(1, 3).Draw(t, "records"))
					}
					c.Step(time.Duration(rapid.IntRange(10, 1000).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"tell": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "from")
				at, _, _ := rs[1-i].Revision()
				rs[1-i].Apply(rs[i].ChangesSince(at))
			},
			"": func(t *rapid.T) { u.check(t, rs, version) },
		})
	})
}
