package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against reservations that wait until a large route table is decoded: entries take an agent that doesn't answer
// within 40 ms for unresponsive, and a table of 6,000 routes takes longer.
func TestReservationDoesNotWaitForARouteTable(t *testing.T) {
	l, c := openLedger()
	entered, release := make(chan struct{}), make(chan struct{})
	r := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		if key == "weights" {
			return registrar.Weights{Model: "m", Version: 1}, nil
		}
		close(entered)
		<-release
		return registrar.Table{Table: &matcher.Table{}}, nil
	}}
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "weights", Revision: 1}}})
	l.Expiry = func() time.Time {
		at, _ := r.SupersededSince("m", 1)
		return at.Add(8*time.Second - scheduler.OldWeightsMargin)
	}
	go r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{{Key: "table", Revision: 2}}})
	<-entered
	reserved := make(chan scheduler.Decision, 1)
	go func() { reserved <- l.Reserve(job(1, time.Second), 0) }()
	defer close(release)
	select {
	case v := <-reserved:
		must.True(t, v.Granted)
	case <-time.After(time.Second):
		t.Fatal("the reservation waits for the table")
	}
}
