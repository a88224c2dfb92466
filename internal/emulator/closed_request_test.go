package emulator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
)

// Guards against a request that starts although its connection was closed during the pass that
// would have made its first event.
func TestRequestClosedDuringAPassDoesNotStart(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &emulator.Engine{Figures: figures()}
	must.True(t, e.Add(emulator.Request{ID: "r1", Prompt: 100, Answer: 10}, now))
	end, busy := e.PassEnd()
	must.True(t, busy)
	must.True(t, end.After(now))
	e.Remove("r1")
	for _, v := range e.FinishPass() {
		must.NotEq(t, "r1", v.ID)
	}
}
