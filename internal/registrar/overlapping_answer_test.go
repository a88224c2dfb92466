package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an inferred outage that outlives the store's answer to a call made in it: that may have been given at any
// time since the call, and says nothing of what came after it.
func TestAnswerToACallInAnOutageEndsTheInference(t *testing.T) {
	const call = 1700 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r, other := newPair(c)
	answered := newRegistrarAt(c)
	answered.Apply(r.ChangesSince(0))
	failCallsOfBoth(r, other, c, 8*time.Second)
	c.Step(200 * time.Millisecond)
	answered.Apply(registrar.Batch{After: 1, At: 2, Unconfirmed: call, Records: []registrar.Record{record("weights/m", "2", 2)}})
	r.Apply(answered.ChangesSince(1))
	at, known := r.SupersededSince("m", 2)
	must.False(t, known)
	must.LessEq(t, -call, at.Sub(c.Now()))
}
