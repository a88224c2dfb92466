package retrier_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Everything was lost and all entries start at the same moment, none of which knows the
// others yet, while the upstreams are only coming back and refuse. Each entry takes the
// whole of what it may save up for its own; together they send far more retries than the
// bound, and the upstreams take longer to come back.
func TestEntriesThatStartTogetherStayWithinTheRetryBound(t *testing.T) {
	for _, n := range []int{9, 60, 300} {
		c := clocktesting.NewFakeClock(epoch)
		requests, retries := 0, 0
		for range n {
			b := &retrier.Budget{Clock: c, Share: 0.18, Floor: 1.06, Burst: 63.6, Sharers: func() int { return 6 }}
			for range 8 {
				b.First()
				requests++
				for range 2 {
					if b.Take() {
						retries++
					}
				}
			}
		}
		c.Step(time.Second)
		must.LessEq(t, int(0.2*float64(requests))+106, retries, must.Sprintf("%d entries", n))
	}
}
