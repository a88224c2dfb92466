package retrier_test

import (
	"testing"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Guards against entries exceeding the bound by the requests of the same window alone while
// none comes or goes, though the rule allows more after a busier window. Upstreams fail and
// all entries retry at once, each by its own count; some of them underestimate the number of
// entries.
func TestSettledEntriesStayWithinTheRetryBoundOfEachWindow(t *testing.T) {
	const steps = int(window / step)
	rapid.Check(t, func(t *rapid.T) {
		c := clocktesting.NewFakeClock(epoch)
		n := rapid.IntRange(6, 50).Draw(t, "entries")
		budgets := make([]*retrier.Budget, n)
		for i := range budgets {
			// Up to one in eight entries is unknown to this one.
			known := max(6, n-rapid.IntRange(0, n/8).Draw(t, "unknown"))
			budgets[i] = &retrier.Budget{Clock: c, Share: 0.9 * ratio, Floor: 0.1 * slack / window.Seconds(), Burst: 0.6 * slack,
				Sharers: func() int { return known }}
		}
		var requests, retries []int
		for range 60 {
			first, retried := 0, 0
			failing := rapid.Bool().Draw(t, "failing")
			for _, b := range budgets {
				for range rapid.IntRange(0, 12).Draw(t, "requests") {
					b.RecordFirstAttempt()
					first++
				}
				for failing && b.Take() {
					retried++
				}
			}
			requests, retries = append(requests, first), append(retries, retried)
			c.Step(step)
			end := len(requests)
			must.LessEq(t, int(ratio*float64(within(requests, end-steps, end))+slack), within(retries, end-steps, end))
		}
	})
}
