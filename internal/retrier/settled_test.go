package retrier_test

import (
	"testing"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Upstreams fail and all entries retry at the same moment, each by its own count, and some of
// them believe that there are fewer entries than there are. While none comes or goes they stay
// within the bound by the requests of the same window alone, though the rule allows more after
// a busier one.
func TestSettledEntriesStayWithinTheRetryBoundOfEachWindow(t *testing.T) {
	const steps = int(window / step)
	rapid.Check(t, func(t *rapid.T) {
		c := clocktesting.NewFakeClock(epoch)
		n := rapid.IntRange(6, 50).Draw(t, "entries")
		budgets := make([]*retrier.Budget, n)
		for i := range budgets {
			// One in eight entries is not known to this one.
			known := max(6, n-rapid.IntRange(0, n/8).Draw(t, "unknown"))
			budgets[i] = &retrier.Budget{Clock: c, Share: 0.9 * ratio, Floor: 0.1 * slack / window.Seconds(), Burst: 0.6 * slack,
				Sharers: func() int { return known }}
		}
		var requests, retries []int
		for range 60 {
			first, again := 0, 0
			failing := rapid.Bool().Draw(t, "failing")
			for _, b := range budgets {
				for range rapid.IntRange(0, 12).Draw(t, "requests") {
					b.First()
					first++
				}
				for failing && b.Take() {
					again++
				}
			}
			requests, retries = append(requests, first), append(retries, again)
			c.Step(step)
			end := len(requests)
			must.LessEq(t, int(ratio*float64(within(requests, end-steps, end))+slack), within(retries, end-steps, end))
		}
	})
}
