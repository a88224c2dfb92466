package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Guards against entries so numerous that each may accumulate less than one retry. If only
// whole retries could be sent, none would be: every reply that breaks off would be lost,
// although the bound allows a fifth of the requests to be sent again.
func TestManyEntriesStillRetry(t *testing.T) {
	const requests = 1000
	for _, n := range []int{9, 63, 64, 100, 300} {
		c := clocktesting.NewFakePassiveClock(epoch)
		b := &retrier.Budget{
			Clock: c, Share: 0.9 * ratio, Floor: 0.1 * slack / window.Seconds(), Burst: 0.6 * slack,
			Sharers: func() int { return n }, Random: rand.New(rand.NewPCG(1, uint64(n))),
		}
		retries := 0
		for i := range requests {
			c.SetTime(c.Now().Add(10 * time.Millisecond))
			b.RecordFirstAttempt()
			if i%2 == 0 && b.Take() {
				retries++
			}
		}
		// The share is 180. With 300 entries 0.21 may accumulate between two of the 500 tries,
		// and three quarters of that are 79 on average; 45 is less by four standard deviations.
		must.Greater(t, 45, retries, must.Sprintf("%d entries", n))
		must.Less(t, int(ratio*requests), retries, must.Sprintf("%d entries", n))
	}
}
