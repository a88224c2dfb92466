package soaker_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/soaker"
)

// Guards against a seed that draws other faults on a rerun, so that a fault seems fixed, and against
// promises that few seeds check.
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
		for _, kind := range []string{"failure domain drained", "upstreams break replies off", "settings read again", "upstream asks for rest", "upstreams pause in replies", "two upstreams fail at one request", "upstreams send bytes without end", "weights named, announced late"} {
			must.StrContains(t, draw(seed), kind, must.Sprintf("seed %d", seed))
		}
		must.Eq(t, seed%2 == 1, strings.Contains(draw(seed), "all machines lose power"), must.Sprintf("seed %d", seed))
	}
}

// Guards against overlapping faults of the store or drainings in a plan. If overlaps were detected
// only during a run, a stall of the soak for half a second would change which faults occur and leave
// promises unchecked.
func TestStoreFaultsDoNotOverlap(t *testing.T) {
	for seed := range uint64(200) {
		var b bytes.Buffer
		soaker.Describe(&b, seed, time.Minute)
		var storeUntil, drainedUntil float64
		for line := range strings.Lines(b.String()) {
			var at, lasts float64
			_, err := fmt.Sscanf(line, "%fs for %fs", &at, &lasts)
			must.NoError(t, err)
			until := &storeUntil
			switch {
			case strings.Contains(line, "failure domain drained"):
				until = &drainedUntil
				lasts += standin.UsersBounds.Evacuate.Seconds()
			case !strings.Contains(line, "  store ") && !strings.Contains(line, "lose power") || strings.Contains(line, "store link") || strings.Contains(line, "store connections") || strings.Contains(line, "forgets"):
				continue
			}
			// The plan prints hundredths of a second.
			must.GreaterEq(t, *until-0.02, at, must.Sprintf("seed %d: %s", seed, line))
			*until = at + lasts
		}
	}
}
