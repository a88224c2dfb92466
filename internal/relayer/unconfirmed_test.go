package relayer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an entry that sends to an unresponsive agent's engine on weights that may have been superseded by an
// announcement that neither received.
func TestEntrySendsNothingUngrantedOnUnconfirmedWeights(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	must.True(t, placed(p, c, table))
	c.Step(p.WeightsBound)
	p.Chooser.RecordAnswer("engine")
	must.False(t, placed(p, c, table))
	p.Registrar.Apply(registrar.Batch{After: 10, At: 10})
	must.True(t, placed(p, c, table))
}

// Guards against a request that waits at an engine until after the time for which its weights are known to be the newest.
func TestRequestOnUnconfirmedWeightsIsGivenUp(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	confirmed := time.Now()
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, confirmed, weightsBound)
}
