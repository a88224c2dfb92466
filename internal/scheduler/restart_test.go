package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against an agent that is killed while its engine is cold and restarts within the second: without a
// record of earlier grants it would grant as much once more, and the engine would crash with all its requests.
func TestRestartedAgentKeepsColdLimit(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	const rate = 26
	var granted []time.Time
	for agent := range 5 {
		l := &scheduler.Ledger{Clock: c, ColdFactor: 1.5, ColdSlack: 5}
		l.SetColdLimit(rate, c.Now().Add(10*time.Second))
		l.Open(&matcher.Engine{Slots: 100, ReadPerSecond: 20000, Step: time.Millisecond, Chunk: 512, Stride: 4})
		for i := range 50 * (agent + 1) {
			id := fmt.Sprintf("%d-%d", agent, i)
			if l.Reserve(scheduler.Job{ID: id, Prompt: 1, Answer: 1, Patience: time.Hour, Left: time.Hour}, 0).Granted {
				granted = append(granted, c.Now())
				l.Ended(id)
			}
			c.Step(10 * time.Millisecond)
		}
	}
	must.Positive(t, len(granted))
	must.LessEq(t, int(1.5*rate+5), maxWithin(granted, time.Second))
}
