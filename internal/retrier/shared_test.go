package retrier_test

import (
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Upstreams fail and all entries retry at the same moment, each by its own count, and
// some of them believe that there are fewer entries than there are. Together they must
// stay within the bound: a fifth of the requests and a hundred more in ten seconds. More
// would be a storm on upstreams that have trouble already.
func TestEntriesTogetherStayWithinTheRetryBound(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 500 * time.Millisecond
		ratio  = 0.2
		slack  = 106.0
	)
	rapid.Check(t, func(t *rapid.T) {
		c := clocktesting.NewFakeClock(epoch)
		n := rapid.IntRange(6, 50).Draw(t, "entries")
		budgets := make([]*retrier.Budget, n)
		for i := range budgets {
			// One in eight entries is not known to this one.
			known := max(6, n-rapid.IntRange(0, n/8).Draw(t, "unknown"))
			budgets[i] = &retrier.Budget{Clock: c, Share: 0.6 * ratio, Floor: 0.1 * slack / window.Seconds(), Burst: 0.75 * slack,
				Sharers: func() int { return known }}
		}
		var requests, retries []int
		for range 60 {
			first, again := 0, 0
			for _, b := range budgets {
				for range rapid.IntRange(0, 12).Draw(t, "requests") {
					b.First()
					first++
				}
				for b.Take() {
					again++
				}
			}
			requests, retries = append(requests, first), append(retries, again)
			c.Step(step)
			last := max(0, len(requests)-int(window/step))
			if sum(retries[last:]) > int(ratio*float64(sum(requests[last:]))+slack) {
				t.Fatalf("%d retries for %d requests in a window", sum(retries[last:]), sum(requests[last:]))
			}
		}
	})
}

func sum(ns []int) int {
	total := 0
	for _, n := range ns {
		total += n
	}
	return total
}
