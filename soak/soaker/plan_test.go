package soaker_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/soak/soaker"
)

// A seed that showed a fault is run again to see whether that is mended. If it drew
// other faults then, the fault would seem mended and would not be. Promises that few seeds
// put to the test would seem kept as well.
func TestSeedDrawsTheSameFaultsAgain(t *testing.T) {
	draw := func(seed uint64) string {
		var b bytes.Buffer
		soaker.Describe(&b, seed, time.Minute)
		return b.String()
	}
	must.Eq(t, draw(7), draw(7))
	must.NotEq(t, draw(7), draw(8))
	must.StrContains(t, draw(7), "weights named")
	for seed := range uint64(40) {
		for _, kind := range []string{"failure domain drained", "upstreams break replies off", "settings read again"} {
			must.StrContains(t, draw(seed), kind, must.Sprintf("seed %d", seed))
		}
	}
}
