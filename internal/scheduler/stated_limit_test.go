package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// limitShare is an entry's part of a limit that an upstream states.
func limitShare(rate float64, sharers int) scheduler.RateShare {
	return scheduler.RateShare{Rate: rate, Bound: 5*rate + 5, Sharers: sharers}
}

// Guards against entries whose parts of an upstream's limit add up to more than the limit, in a burst or on
// average over four seconds.
func TestEntriesStayWithinStatedLimit(t *testing.T) {
	const span = 4 * time.Second
	for _, rate := range []float64{0.5, 1, 1.6, 10, 100} {
		for _, entries := range []int{1, 6, 9, 46, 300} {
			t.Run(fmt.Sprint(rate, entries), func(t *testing.T) {
				clock := clocktest.NewFakeClock(time.Unix(1000, 0))
				var choosers []*scheduler.Chooser
				for i := range entries {
					choosers = append(choosers, &scheduler.Chooser{Clock: clock, Random: rand.New(rand.NewPCG(uint64(i), 9))})
				}
				var passed []time.Time
				for range 1200 {
					for _, c := range choosers {
						for range 3 {
							if c.AllowLimited("u", limitShare(rate, entries)) {
								passed = append(passed, clock.Now())
							}
						}
					}
					clock.Step(25 * time.Millisecond)
				}
				must.Positive(t, len(passed))
				must.LessEq(t, 1.5*rate*span.Seconds()+5, float64(maxWithin(passed, span)))
			})
		}
	}
}

// Guards against exceeding an engine's stated limit, and against a delayed statement that replaces a newer one.
func TestLedgerEnforcesStatedLimit(t *testing.T) {
	clock := clocktest.NewFakeClock(time.Unix(1000, 0))
	l := &scheduler.Ledger{Clock: clock}
	l.Open(figures())
	granted := func(span time.Duration) int {
		n := 0
		for range int(span / (25 * time.Millisecond)) {
			id := clock.Now().String()
			v := l.Reserve(scheduler.Job{ID: id, Prompt: 1, Patience: time.Second, Left: time.Second}, nil)
			if v.Granted {
				n++
				l.Ended(id)
			} else {
				must.Eq(t, scheduler.RateLimited, v.Closed)
			}
			clock.Step(25 * time.Millisecond)
		}
		return n
	}
	must.Eq(t, 40, granted(time.Second))
	l.SetStatedLimit(observer.Limit{Rate: 1.5})
	must.Between(t, 6, granted(4*time.Second), 7)
	l.SetStatedLimit(observer.Limit{Age: 5 * time.Second})
	must.Between(t, 5, granted(4*time.Second), 7)
	l.SetStatedLimit(observer.Limit{Rate: 20, Age: time.Second})
	must.Between(t, 80, granted(4*time.Second), 85)
	l.SetStatedLimit(observer.Limit{})
	must.Eq(t, 40, granted(time.Second))
}
