package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an entry that dates an announcement by its inferred outage as an agent that has just started, and doesn't
// know when it was made, reports it: the entry's next call fails, so the store answers others all the while.
func TestReportWithoutADateIsNotDatedByAnOutage(t *testing.T) {
	for name, answered := range map[string]time.Duration{
		"before the last failed call": -200 * time.Millisecond,
		"after the last failed call":  200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			c, entry, _ := outageBesideAgent()
			announced := c.Now().Add(-5 * time.Second)
			started := newRegistrarAt(c)
			listed := registrar.Batch{Whole: true, At: 2, Age: -min(0, answered), Records: []registrar.Record{record("weights/m", "2", 2)}}
			listed.Records[0].Age = registrar.UnknownAge
			c.Step(max(0, answered))
			started.Apply(listed)
			for range 6 {
				reply := entry.ChangesSince(2)
				reply.AsOf = c.Now()
				must.True(t, reply.Lost)
				if report, ok := started.WeightsBeyond(reply); ok {
					entry.ApplyWeights(report, 0)
				}
				c.Step(500 * time.Millisecond)
				entry.StoreCallFailed()
				started.Apply(registrar.Batch{After: 2, At: 2})
			}
			at, known := supersededAt(entry, 1)
			must.True(t, known)
			must.False(t, at.After(announced), must.Sprint(at.Sub(announced)))
		})
	}
}

// Guards against an announcement that counts from before an outage, as an agent that has just started reports it at the
// outage's end, and a call of the entry fails a little later: old weights would expire before the new ones are loaded.
func TestReportWithoutADateAtTheEndOfAnOutageDatesNothingEarly(t *testing.T) {
	c, entry, _ := outageBesideAgent()
	end := c.Now()
	started := newRegistrarAt(c)
	listed := registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}}
	listed.Records[0].Age = registrar.UnknownAge
	c.Step(100 * time.Millisecond)
	started.Apply(listed)
	reply := entry.ChangesSince(2)
	reply.AsOf = c.Now()
	for range 2 {
		report, ok := started.WeightsBeyond(reply)
		must.True(t, ok)
		must.False(t, entry.ApplyWeights(report, 0))
		c.Step(400 * time.Millisecond)
		entry.StoreCallFailed()
	}
	applyVersion2(entry)
	at, known := supersededAt(entry, 1)
	must.True(t, known)
	must.False(t, at.Before(end))
}
