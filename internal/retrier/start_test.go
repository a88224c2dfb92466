package retrier_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Guards against too many retries when all entries start at once while the upstreams are
// recovering: none has discovered the others, so that each could use the whole burst,
// and together they would exceed the bound and delay the recovery.
func TestEntriesThatStartTogetherStayWithinTheRetryBound(t *testing.T) {
	for _, n := range []int{9, 60, 300} {
		c := clocktesting.NewFakeClock(epoch)
		requests, retries := 0, 0
		for range n {
			b := &retrier.Budget{Clock: c, Share: 0.18, Floor: 1.06, Burst: 63.6, Sharers: func() int { return 6 }}
			for range 8 {
				b.RecordFirstAttempt()
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
