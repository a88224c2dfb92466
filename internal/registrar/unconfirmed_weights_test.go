package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against a grant that combines the facts from before a batch with the confirmation that the batch brings: old
// weights, superseded 9 s ago, would count as confirmed just now.
func TestSupersededSinceDuringAnnouncementCountsFromBefore(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	entered, release := make(chan struct{}), make(chan struct{})
	r := newRegistrarAt(c)
	r.Decode = func(key string, value []byte) (registrar.Fact, error) {
		if key == "table" {
			close(entered)
			<-release
		}
		return decode(key, value)
	}
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	announced := c.Now()
	c.Step(9 * time.Second)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		r.Apply(registrar.Batch{After: 1, At: 3, Records: []registrar.Record{record("weights/m", "2", 2), record("table", "1", 3)}})
	}()
	<-entered
	got := make(chan time.Time)
	go func() {
		at, _ := r.SupersededSince("m", 1)
		got <- at
	}()
	time.Sleep(100 * time.Millisecond) // The batch is still being applied.
	close(release)
	at := <-got
	<-applied
	must.False(t, at.After(announced), must.Sprintf("%v after the announcement", at.Sub(announced)))
}

// Guards against engines that stop for good as the record of their weights was deleted: nothing newer was announced.
func TestDeletedWeightsRecordStopsNoEngine(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	c.Step(time.Second)
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{{Key: "weights/m", Revision: 2, Deleted: true}}})
	for range 60 {
		c.Step(time.Second)
		r.Apply(registrar.Batch{After: 2, At: 2})
	}
	must.False(t, r.Outdated("m", 1, bound))
}

// Guards against a process that starts in an outage of the store and never takes weights for confirmed: its engine
// would stay closed until the end. An outage confirms weights for ten seconds, for it as for the others.
func TestProcessThatStartsInAnOutageConfirmsWeights(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	rs := newRegionRegistrars(c)
	step := func(rs []*registrar.Registrar) {
		c.Step(500 * time.Millisecond)
		for _, r := range rs {
			r.Tick()
			r.StoreCallStarted()
			r.StoreCallFailed()
		}
		for _, r := range rs {
			for _, other := range rs {
				if other != r {
					r.Apply(other.ChangesSinceWithAges(1))
				}
			}
		}
	}
	for range 16 {
		step(rs)
	}
	must.False(t, rs[0].Outdated("m", 1, bound), must.Sprint("a process that ran before"))
	started := newRegistrarAt(c)
	started.Region = "a"
	started.Apply(rs[1].ChangesSinceWithAges(0))
	rs = append(rs, started)
	for range 19 {
		step(rs)
		must.False(t, rs[0].Outdated("m", 1, bound), must.Sprint("a process that ran before"))
	}
	must.False(t, started.Outdated("m", 1, bound), must.Sprint("the one that started"))
	for range 4 {
		step(rs)
	}
	must.True(t, rs[0].Outdated("m", 1, bound), must.Sprint("a process that ran before"))
	must.True(t, started.Outdated("m", 1, bound), must.Sprint("the one that started"))
}

// Guards against a process that starts beside an unreadable record of weights and takes what its engine holds for
// confirmed, without limit: the record may stand for a newer version.
func TestUnreadableWeightsAtStartConfirmNothing(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(withoutAges(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "?", 1)}}))
	for range 60 {
		c.Step(time.Second)
		r.Apply(registrar.Batch{After: 1, At: 1})
	}
	must.True(t, r.Outdated("m", 1, bound))
}

// Guards against engines that stop at once for an unreadable record of weights, or never: the record may stand for a
// newer version, announced since the last confirmation before it. So may the first record of a model.
func TestUnreadableWeightsStopEnginesAfterTheBound(t *testing.T) {
	const bound = 8 * time.Second
	for name, known := range map[string][]registrar.Record{
		"version known": {record("weights/m", "1", 1)},
		"no record":     nil,
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			r := newRegistrarAt(c)
			r.Apply(withoutAges(registrar.Batch{Whole: true, At: 1, Records: known}))
			c.Step(time.Minute)
			r.Apply(registrar.Batch{After: 1, At: 1})
			for n := range 12 {
				// It is written again and again.
				at := uint64(n + 1)
				r.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{record("weights/m", "?", at+1)}})
				must.Eq(t, time.Duration(n)*time.Second > bound, r.Outdated("m", 1, bound), must.Sprint(n, " s"))
				c.Step(time.Second)
			}
			r.Apply(registrar.Batch{After: 13, At: 14, Records: []registrar.Record{record("weights/m", "1", 14)}})
			must.False(t, r.Outdated("m", 1, bound), must.Sprint("readable again"))
		})
	}
}

// Guards against engines that stay closed after the record of weights has become readable, and against old weights that
// count as superseded only since then.
func TestWeightsReadableAfterAnUnreadableStart(t *testing.T) {
	const bound = 8 * time.Second
	for version, outdated := range map[string]bool{"1": false, "2": true, "3": true} {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		r := newRegistrarAt(c)
		r.Apply(withoutAges(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "?", 1)}}))
		c.Step(time.Second)
		r.Apply(registrar.Batch{After: 1, At: 1})
		c.Step(time.Second)
		r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", version, 2)}})
		must.Eq(t, outdated, r.Outdated("m", 1, bound), must.Sprint("version ", version))
	}
}

// Guards against engines that stop for an unreadable record of another model or kind.
func TestOtherUnreadableRecordsStopNoEngine(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := newRegistrarAt(c)
	r.Apply(withoutAges(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{
		record("weights/m", "1", 1), record("weights/n", "?", 2), record("up/m", "?", 3), record("table", "?", 4), record("drained/m", "?", 5)}}))
	for range 60 {
		c.Step(time.Second)
		r.Apply(registrar.Batch{After: 5, At: 5})
	}
	must.False(t, r.Outdated("m", 1, bound))
	must.True(t, r.Outdated("n", 1, bound))
	must.False(t, r.Outdated("without a record", 1, bound))
}

// Guards against an announcement that counts from before a short outage, as a process that follows its peers and calls
// the store in outages only counts as partitioned by earlier outages.
func TestProcessThatCallsStoreOnlyInOutagesShowsShortOnes(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	for range 3 {
		failCallsOfBoth(r, other, c, 4*time.Second)
		c.Step(300 * time.Millisecond)
		for range 10 {
			answerOne(r, other)
			c.Step(400 * time.Millisecond)
		}
		answerOne(r, other)
	}
	must.Zero(t, outageShortfall(t, r, other, c, 2500*time.Millisecond))
}

// Guards against engines that stop one bound into an outage of the store because one region has no process left: only
// its members' records remain, which can't expire in the outage.
func TestOutageCountsThoughOneRegionIsDead(t *testing.T) {
	const bound = 8 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	rs := newRegionRegistrars(c)
	for range 40 {
		c.Step(500 * time.Millisecond)
		rs[0].StoreCallFailed()
		rs[1].StoreCallFailed()
		rs[0].Apply(rs[1].ChangesSince(1))
	}
	must.False(t, rs[0].Outdated("m", 1, bound))
}
