package retrier_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

var epoch = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// TestMain fixes rapid's seed, so that results are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestRequestsAgainstOracle takes random requests through their attempts. Guards
// against a second booking after a wrong "not run", and against a reply composed
// of two.
func TestRequestsAgainstOracle(t *testing.T) {
	outcomes := rapid.SampledFrom([]retrier.Outcome{retrier.Ran, retrier.NotRun, retrier.Unknown})
	rapid.Check(t, func(t *rapid.T) {
		c := clocktesting.NewFakePassiveClock(epoch)
		b := &retrier.Budget{Clock: c, Share: 0.2, Floor: 0.5, Burst: 5}
		p := &retrier.Policy{Budget: b, Random: rand.New(rand.NewPCG(1, 1))}
		retries := 0
		requests := rapid.IntRange(1, 200).Draw(t, "requests")
		for range requests {
			c.SetTime(c.Now().Add(10 * time.Millisecond))
			b.RecordFirstAttempt()
			a := retrier.Attempt{
				Number:     1,
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Streamed:   rapid.Bool().Draw(t, "streamed"),
				SameEngine: rapid.Bool().Draw(t, "same engine"),
				Now:        c.Now(),
				Deadline:   c.Now().Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond),
			}
			allNotRun, mayRun := true, false
			for {
				a.Outcome = outcomes.Draw(t, "outcome")
				allNotRun = allNotRun && a.Outcome == retrier.NotRun
				mayRun = mayRun || a.Outcome != retrier.NotRun
				d := p.Decide(a)
				must.EqOp(t, allNotRun, d.Final == retrier.NotRun)
				if !d.Retry {
					break
				}
				retries++
				must.True(t, a.Now.Add(d.Delay).Before(a.Deadline))
				must.False(t, a.Streamed && !a.SameEngine)
				must.True(t, a.Streamed || a.Idempotent || !mayRun, must.Sprint("may run twice"))
				a.Number, a.Earlier, a.Now = a.Number+1, d.Final, a.Now.Add(d.Delay)
				must.LessEq(t, 4, a.Number)
			}
		}
		earned := 5 + 0.2*float64(requests) + 0.5*c.Since(epoch).Seconds()
		must.LessEq(t, earned, float64(retries))
	})
}

// Guards against retry storms while all upstreams refuse. Without a budget each
// request would become four, which would delay recovery.
func TestNoRetryStorm(t *testing.T) {
	c := clocktesting.NewFakePassiveClock(epoch)
	p := &retrier.Policy{Budget: &retrier.Budget{Clock: c}, Random: rand.New(rand.NewPCG(1, 1))}
	retries := 0
	for range 1000 {
		p.Budget.RecordFirstAttempt()
		a := retrier.Attempt{Outcome: retrier.NotRun, Number: 1}
		for p.Decide(a).Retry {
			a.Number, a.Earlier = a.Number+1, retrier.NotRun
			retries++
		}
	}
	must.LessEq(t, 110, retries)
}

func TestOutcomeRoundTrip(t *testing.T) {
	for _, o := range []retrier.Outcome{retrier.Ran, retrier.NotRun, retrier.Unknown} {
		got, err := retrier.ParseOutcome(o.String())
		must.NoError(t, err)
		must.EqOp(t, o, got)
	}
	got, err := retrier.ParseOutcome("notrun")
	must.Error(t, err)
	must.EqOp(t, retrier.Unknown, got)
}
