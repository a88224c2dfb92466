package simulator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

// row is a row of a report's table.
func row(t *testing.T, r *simulator.Report, by, name string) simulator.Row {
	t.Helper()
	for _, table := range r.Tables {
		for _, row := range table.Rows {
			if table.By == by && row.Name == name {
				return row
			}
		}
	}
	t.Fatalf("no %s %s", by, name)
	return simulator.Row{}
}

// between is the share of those that came in some seconds who were served in time.
func between(r *simulator.Report, from, to int) float64 {
	inTime, asked := 0, 0
	for _, s := range r.Seconds[from:to] {
		inTime += s.InTime
		asked += s.Asked
	}
	return float64(inTime) / float64(asked)
}

// Less comes than the engines bear, and nothing fails. Whoever is late or refused then
// suffers from the system itself.
func TestSteadyLoadIsServed(t *testing.T) {
	r := play(t, "base")
	must.Greater(t, 0.995, r.Total.Worth())
}

// Three times the usual load comes from the first moment on, and 120 callers at once. All
// entries see the same idle engines and nobody knows the others' requests; sent there
// together they would all be late. The engines bear two fifths of what comes.
func TestBurstAtTheStart(t *testing.T) {
	r := play(t, "burstAtStart")
	t.Logf("in time of those in the burst %.3f, after it %.3f", between(r, 0, 3), between(r, 7, 30))
	must.Greater(t, 0.83, r.Total.Worth())
	must.Greater(t, 0.40, between(r, 0, 3))
	must.Greater(t, 0.98, between(r, 7, 30))
	must.Less(t, r.Total.Asked/50, r.Total.Late)
}

// A third of the callers who are refused come back at once and up to three times. They get
// no more for it than others, and those who wait as told must not pay for them.
func TestCallersThatRepeatAtOnce(t *testing.T) {
	hasty := play(t, "repeatAtOnce")
	e := load(t, "repeatAtOnce")
	e.Callers.Ignoring = 0
	patient := simulator.Run(e, 1)
	t.Logf("worth %.3f, and %.3f if all wait as told", hasty.Total.Worth(), patient.Total.Worth())
	must.Greater(t, 0.84, hasty.Total.Worth())
	must.Greater(t, patient.Total.Worth()-0.03, hasty.Total.Worth())
}

// Half of the engines crash within a moment; streams break, and entries still believe in
// those engines for seconds. They come back cold and get no more than they bear then.
func TestHalfTheEnginesGone(t *testing.T) {
	r := play(t, "halfGone")
	t.Logf("in time before %.3f, without them %.3f, after %.3f", between(r, 0, 9), between(r, 11, 18), between(r, 23, 30))
	must.Zero(t, r.ColdExcess)
	must.Greater(t, 0.84, r.Total.Worth())
	must.Greater(t, 0.60, between(r, 11, 18))
	must.Greater(t, 0.97, between(r, 23, 30))
}

// One engine works at a quarter of its pace. Its agent doesn't know until replies are late;
// the callers whose requests went there notice, others don't.
func TestOneSlowEngine(t *testing.T) {
	r := play(t, "slowEngine")
	must.Greater(t, 0.97, r.Total.Worth())
	must.Less(t, r.Total.Asked/100, r.Total.Failed)
}

// All engines of a failure domain are lost and come back together. Each entry has requests
// waiting for them; with more than they bear while they are cold they would fall over, and
// all that runs there would be lost once more.
func TestColdReturnOfAFailureDomain(t *testing.T) {
	r := play(t, "coldReturn")
	t.Logf("in time without it %.3f, while it is cold %.3f, after %.3f", between(r, 9, 13), between(r, 13, 17), between(r, 18, 30))
	must.Zero(t, r.ColdExcess)
	must.Greater(t, 0.93, r.Total.Worth())
	must.Greater(t, 0.98, between(r, 18, 30))
}

// A few callers send prompts that take an engine over half a second to read. Those who
// write there have a pause meanwhile, and those who wait are late. Nothing in the system
// keeps them apart: about one in four of the others is late.
func TestLongPromptsAmongShortOnes(t *testing.T) {
	r := play(t, "longPrompt")
	short := row(t, r, "kind", "short")
	t.Logf("short ones late: %d of %d", short.Late, short.Asked)
	must.Greater(t, 0.75, short.Worth())
	must.Greater(t, 0.65, row(t, r, "kind", "long").Worth())
	must.Zero(t, short.Refused)
}

// Half as much again comes as ten engines bear. On a recorded day with such a load ten
// engines gave 9.7 replies a second each, with nearly all their places taken all the time.
func TestLastingOverload(t *testing.T) {
	const from, to, engines = 8 * time.Second, 30 * time.Second, 10
	r := play(t, "lastingOverload")
	replies := 0
	for _, q := range r.Requests {
		ended := q.At + q.Took
		if (q.Outcome == simulator.InTime || q.Outcome == simulator.Late) && ended >= from && ended < to {
			replies++
		}
	}
	each := float64(replies) / (to - from).Seconds() / engines
	t.Logf("replies a second of each engine %.2f", each)
	must.Between(t, 9.2, each, 10.2)
	must.Greater(t, 0.63, r.Total.Worth())
}
