package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against slots on old weights past the bound, as their announcement is dated by an outage that other processes'
// failed calls show for a second longer than it lasted.
func TestOldWeightsExpireEarlierAfterAnInferredOutage(t *testing.T) {
	t.Parallel()
	const bound = time.Minute
	f := newFixtureWithOrigin(t, clock.RealClock{}, &engine{startedAt: 1, held: 1}, &origin{differing: true}, bound,
		registrar.Record{Key: "weights", Value: []byte{1}, Revision: 1})
	other := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decode}
	other.Apply(f.registrar.ChangesSince(0))
	eventually(t, f.isOpen)
	for range 10 {
		time.Sleep(500 * time.Millisecond)
		f.registrar.StoreCallFailed()
		other.StoreCallFailed()
		f.registrar.Apply(other.ChangesSince(f.revision))
	}
	f.announce(2)
	at, known := f.registrar.SupersededSince(model, 1)
	must.True(t, known)
	must.Less(t, time.Second, time.Since(at), must.Sprint("dated by the outage"))
	const margin, lateFailures = 700 * time.Millisecond, time.Second
	must.Eq(t, at.Add(bound-margin-lateFailures), f.stager.Expiry())
}
