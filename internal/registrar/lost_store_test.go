package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against a process that counts as without the store ever after one failed call, as it follows its peers again.
func TestLaterAnswerToAnotherProcessEndsTheLoss(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("table", "1", 1)}})
	c.Step(time.Second)
	r.StoreCallStarted()
	r.StoreCallFailed()
	must.True(t, r.ChangesSince(1).Lost)
	c.Step(time.Second)
	r.Apply(registrar.Batch{After: 1, At: 1, Age: 1500 * time.Millisecond})
	must.True(t, r.ChangesSince(1).Lost, must.Sprint("the store answered before the failed call"))
	r.Apply(registrar.Batch{After: 1, At: 1, Age: 200 * time.Millisecond})
	must.False(t, r.StoreUnreachable())
	must.False(t, r.ChangesSince(1).Lost)
}
