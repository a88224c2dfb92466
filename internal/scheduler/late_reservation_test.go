package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against freeing the slot of a running request when an earlier, delayed reservation for it arrives
// after a later one that was granted.
func TestLateReservationKeepsRunningSlot(t *testing.T) {
	const others = 10
	l, c := openLedger()
	expiry := c.Now().Add(500 * time.Millisecond)
	l.Expiry = func() time.Time { return expiry }
	for i := range others {
		must.True(t, l.Reserve(job(i, time.Second), 0).Granted)
		l.Started(fmt.Sprint(i))
	}
	running := scheduler.Job{ID: "running", Prompt: 3000, Answer: 90, Patience: time.Second, Left: 6 * time.Second}
	must.True(t, l.Reserve(running, "new connection").Granted)
	c.Step(450 * time.Millisecond)
	must.False(t, l.Reserve(running, "old connection").Granted, must.Sprint("it would start too late"))
	v := l.Reserve(scheduler.Job{ID: "next", Prompt: 1, Patience: time.Second, Left: time.Second}, 0)
	must.Eq(t, others+2, v.Active, must.Sprint("the running ones and the next one"))
}
