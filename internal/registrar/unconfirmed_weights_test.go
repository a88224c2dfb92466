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
	time.Sleep(100 * time.Millisecond) // It has loaded the view, and waits for the lock.
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
