package registrar_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// weightsAnswer is the store's answer on weights only.
func weightsAnswer(after, at uint64, records ...registrar.Record) registrar.Batch {
	return registrar.Batch{WeightsOnly: true, After: after, At: at, Records: records}
}

// Guards against changes that are missed for good, as an answer without them moved the revision past them, and against
// a process that passes for fresh without them.
func TestAnswerOnWeightsMovesNoRevision(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	must.False(t, r.Apply(weightsAnswer(0, 3, record("weights/m", "2", 3))), must.Sprint("no other record is known"))
	must.Nil(t, r.View())
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	c.Step(registrar.ConfirmationTimeout)
	must.True(t, r.Apply(weightsAnswer(1, 3, record("weights/m", "2", 3))))
	at, age, _ := r.Revision()
	must.Eq(t, 1, at)
	must.Eq(t, registrar.ConfirmationTimeout, age)
	must.False(t, r.Fresh())
	r.Apply(registrar.Batch{After: 1, At: 3, Records: []registrar.Record{record("table", "7", 2), record("weights/m", "2", 3)}})
	must.Eq(t, 7, r.View().Table.Version)
	must.True(t, r.Fresh())
}

// Guards against engines that stop though the store confirms their weights, because a large table is still on its way.
func TestAnswerOnWeightsConfirmsThem(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, _ := newPair(c)
	c.Step(9 * time.Second)
	confirmed := c.Now()
	r.Apply(weightsAnswer(1, 2))
	c.Step(time.Second)
	at, known := r.SupersededSince("m", 1)
	must.False(t, known)
	must.Eq(t, confirmed, at)
	r.Apply(weightsAnswer(1, 3, record("weights/m", "2", 3)))
	at, known = r.SupersededSince("m", 1)
	must.True(t, known)
	must.Eq(t, confirmed, at)
	must.False(t, r.NeedsAges(), must.Sprint("no outage dates it"))
}

// Guards against processes that take a store for down which answers on weights, as its larger answers don't arrive: old
// weights would count as confirmed meanwhile.
func TestAnswerOnWeightsRefutesAnOutage(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 4 {
		c.Step(500 * time.Millisecond)
		for _, p := range []*registrar.Registrar{r, other} {
			p.StoreCallStarted()
			p.StoreCallFailed()
		}
	}
	must.Positive(t, r.ChangesSince(1).OutageFor)
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	r.Apply(weightsAnswer(1, 1))
	answered := c.Now()
	must.Zero(t, r.ChangesSince(1).OutageFor)
	c.Step(500 * time.Millisecond)
	other.Apply(r.ChangesSince(1))
	r.Apply(other.ChangesSince(1))
	for _, p := range []*registrar.Registrar{r, other} {
		b := p.ChangesSince(1)
		must.Zero(t, b.OutageFor)
		for _, o := range b.Outages {
			must.GreaterEq(t, c.Since(answered), o.Until, must.Sprint("an outage beyond the answer"))
		}
		at, _ := p.SupersededSince("m", 1)
		must.Between(t, answered.Add(-time.Microsecond).UnixNano(), at.UnixNano(), answered.UnixNano())
	}
}

// callWeights makes a process read only the weights from the store.
func (u *flakyStore) callWeights(r *registrar.Registrar) {
	at, _, known := r.Revision()
	if !u.downSince.IsZero() || !known {
		u.call(r, true)
		return
	}
	r.StoreCallStarted()
	r.StoreCallSucceeded()
	b := u.watch(at)
	var weights []registrar.Record
	for _, rec := range b.Records {
		if strings.HasPrefix(rec.Key, "weights/") {
			weights = append(weights, rec)
		}
	}
	r.Apply(weightsAnswer(at, b.At, weights...))
}

// The same as TestSupersessionIsNeverLateAcrossOutages, with other changes and answers on weights only, for processes
// that haven't received an announcement, too.
func TestSupersessionIsNeverLateWithAnswersOnWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		u := &flakyStore{oracle: oracle{live: map[string]registrar.Record{}}, clock: c}
		rs := []*registrar.Registrar{newRegistrarAt(c), newRegistrarAt(c), newRegistrarAt(c)}
		process := rapid.IntRange(0, len(rs)-1)
		version := uint64(1)
		u.change("weights/m", "1", false)
		for _, r := range rs {
			u.call(r, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) {
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
			"pass": func(t *rapid.T) {
				c.Step(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"call": func(t *rapid.T) {
				kinds := rapid.SliceOfN(rapid.IntRange(0, 2), len(rs), len(rs)).Draw(t, "kinds")
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					for i, r := range rs {
						switch kinds[i] {
						case 0:
							u.call(r, false)
						case 1:
							u.callWeights(r)
						}
					}
					c.Step(time.Duration(rapid.IntRange(10, 1000).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"query": func(t *rapid.T) {
				from, to := rs[process.Draw(t, "from")], rs[process.Draw(t, "to")]
				at, _, _ := to.Revision()
				b, unread := from.ChangesSince(at), time.Duration(rapid.IntRange(0, 3).Draw(t, "unread"))*time.Second
				c.Step(unread)
				to.Apply(b.Older(unread))
			},
			"": func(t *rapid.T) {
				for i, r := range rs {
					for held := uint64(1); held < version; held++ {
						latest, _ := u.latestSupersession(held, u.revision)
						if at, _ := r.SupersededSince("m", held); at.After(latest) {
							t.Fatalf("process %d: version %d superseded %v too late", i, held, at.Sub(latest))
						}
					}
				}
			},
		})
	})
}
