package registrar_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// outageBesideAgent returns an entry that has inferred an outage of 6 s, and an agent with its records that the store
// answered last at the start of it.
func outageBesideAgent() (c *clocktest.FakeClock, entry, agent *registrar.Registrar) {
	c = clocktest.NewFakeClock(time.Unix(1000, 0))
	entry, other := newPair(c)
	agent = newRegistrarAt(c)
	agent.Apply(entry.ChangesSince(0))
	failCallsOfBoth(entry, other, c, 6*time.Second)
	return c, entry, agent
}

// Guards against an entry that goes on to infer an outage of the store although it gets the report of an agent that the
// store has answered meanwhile.
func TestReportOfWeightsRefutesAnOutage(t *testing.T) {
	c, entry, agent := outageBesideAgent()
	must.Less(t, time.Second, entry.ConfirmedAge())
	reply := entry.ChangesSince(1)
	reply.AsOf = c.Now()
	announced := c.Now().Add(-2 * time.Second)
	agent.Apply(registrar.Batch{After: 1, At: 1, Age: 2500 * time.Millisecond})
	agent.Apply(registrar.Batch{After: 1, At: 2, Age: time.Second, Unconfirmed: time.Millisecond, Records: []registrar.Record{record("weights/m", "2", 2)}})
	report, ok := agent.WeightsBeyond(reply)
	must.True(t, ok)
	must.True(t, entry.ApplyWeights(report, 0))
	at, known := supersededAt(entry, 1)
	must.True(t, known)
	must.False(t, at.After(announced))
	must.Less(t, 2*time.Second, entry.Confirmation().StoreAge)
}

// Guards against an agent that reports an answer of the store from before an outage, and an entry that ends its belief in
// the outage for it: engines would stop in each outage.
func TestReportOfAnEarlierAnswerRefutesNoOutage(t *testing.T) {
	for name, later := range map[string]time.Duration{"same answer": 0, "earlier": -300 * time.Millisecond, "a little later": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c, entry, agent := outageBesideAgent()
			before := entry.ConfirmedAge()
			reply := entry.ChangesSince(1)
			reply.AsOf = c.Now()
			agent.Apply(registrar.Batch{After: 1, At: 1, Age: entry.Confirmation().StoreAge - later})
			report, ok := agent.WeightsBeyond(reply)
			must.False(t, ok)
			entry.ApplyWeights(report, 0)
			must.Eq(t, before, entry.ConfirmedAge())
		})
	}
}

// Guards against a faulty process whose report confirms weights for a time to come, dates an announcement into the future,
// brings back a version from a restored store, or changes other records.
func TestFaultyReportOfWeightsChangesNothing(t *testing.T) {
	weights := func(n registrar.AnnouncementReport) registrar.Batch {
		rec := record("weights/m", "2", 2)
		n.Version = 2
		rec.Announcements = []registrar.AnnouncementReport{n}
		return registrar.Batch{After: 1, At: 2, Records: []registrar.Record{rec}}
	}
	for name, report := range map[string]registrar.Batch{
		"negative age":               {After: 1, At: 1, Age: -time.Hour},
		"negative unconfirmed":       {After: 1, At: 1, Unconfirmed: -time.Hour},
		"unknown unconfirmed":        {After: 1, At: 1, Unconfirmed: registrar.UnknownAge},
		"greatest age":               {After: 1, At: 1, Age: math.MaxInt64},
		"least age":                  {After: 1, At: 1, Age: math.MinInt64},
		"announcement of the future": weights(registrar.AnnouncementReport{Age: -time.Hour}),
		"since the future":           weights(registrar.AnnouncementReport{SinceAge: -time.Hour}),
		"greatest announcement age":  weights(registrar.AnnouncementReport{Age: math.MaxInt64}),
		"negative known age":         weights(registrar.AnnouncementReport{KnownAge: -time.Hour}),
		"greatest confirmed age":     weights(registrar.AnnouncementReport{ConfirmedAge: math.MaxInt64}),
		"revisions not known here":   {After: 7, At: 7},
		"lower version":              {After: 1, At: 9, Age: 24 * time.Hour, Records: []registrar.Record{record("weights/m", "0", 9)}},
		"other records":              {After: 1, At: 2, Records: []registrar.Record{record("table", "9", 2)}},
		"deletion of others":         {After: 1, At: 2, Records: []registrar.Record{{Key: "entry/e", Revision: 2, Deleted: true}}},
		"can't be unpacked":          {After: 1, At: 2, Records: []registrar.Record{{Key: "weights/m", Revision: 2, Packed: []byte("?")}}},
	} {
		t.Run(name, func(t *testing.T) {
			c, entry, _ := outageBesideAgent()
			before := entry.Confirmation()
			report.AsOf = c.Now()
			entry.ApplyWeights(report, 0)
			must.Eq(t, before, entry.Confirmation())
			_, known := supersededAt(entry, 1)
			must.False(t, known)
			must.Nil(t, entry.View().Table)
		})
	}
}

// Guards against a report that dates an announcement before the end of an outage, as it arrives while a call of the entry
// is about to fail: old weights would expire early.
func TestReportAtTheEndOfAnOutageDatesNothingEarly(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	entry, agent := newPair(c)
	other := newRegistrarAt(c)
	other.Apply(entry.ChangesSince(0))
	failCalls := func(d time.Duration, failing ...*registrar.Registrar) {
		for end := c.Now().Add(d); c.Now().Before(end); {
			c.Step(500 * time.Millisecond)
			for _, r := range failing {
				r.StoreCallFailed()
			}
			for _, r := range failing {
				r.Apply(other.ChangesSince(1))
				other.Apply(r.ChangesSince(1))
			}
		}
	}
	failCalls(6*time.Second, entry, agent, other)
	reply := entry.ChangesSince(1)
	reply.AsOf = c.Now()
	entry.StoreCallStarted()
	failCalls(1500*time.Millisecond, agent, other)
	agent.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	want, known := supersededAt(agent, 1)
	must.True(t, known)
	must.Eq(t, c.Now(), want)
	for _, accepted := range []bool{false, true} {
		report, ok := agent.WeightsBeyond(reply)
		must.True(t, ok)
		must.Eq(t, accepted, entry.ApplyWeights(report, 0))
		c.Step(300 * time.Millisecond)
		entry.StoreCallFailed()
	}
	got, known := supersededAt(entry, 1)
	must.True(t, known)
	must.Eq(t, want, got)
}

// Guards against an entry that refuses all reports for good, as a model that it never knew was announced and withdrawn.
func TestReportWithTheDeletionOfAnUnknownModelIsUsed(t *testing.T) {
	c, entry, agent := outageBesideAgent()
	reply := entry.ChangesSince(1)
	reply.AsOf = c.Now()
	agent.Apply(registrar.Batch{After: 1, At: 2, Age: time.Second, Records: []registrar.Record{record("weights/n", "1", 2)}})
	agent.Apply(registrar.Batch{After: 2, At: 3, Age: time.Second, Records: []registrar.Record{{Key: "weights/n", Revision: 3, Deleted: true}}})
	report, ok := agent.WeightsBeyond(reply)
	must.True(t, ok)
	entry.ApplyWeights(report, 0)
	must.LessEq(t, time.Second, entry.Confirmation().StoreAge)
}
