package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against replies that start with expired weights: an engine works at half its pace with a queue of
// prompts, its weights are about to expire, and a request with one of the longest prompts would start only
// after all of them have been read.
func TestLongPromptIsRefusedNearWeightsExpiry(t *testing.T) {
	const (
		// longest is the longest prompt of a route, in tokens.
		longest = 3880
		// waitLimit is the longest wait that entries allow before a prompt is read.
		waitLimit = 300 * time.Millisecond
		// pace is the engine's slowdown against its figures.
		pace = 2
	)
	l, c := openLedger()
	expiry := c.Now().Add(time.Millisecond)
	l.Expiry = func() time.Time { return expiry }
	l.Observe(0, pace)
	// Queues prompts until the last of them exceeds its wait limit.
	for id := range 16 {
		if l.Reserve(job(id, waitLimit/2), 0).Wait > waitLimit/2 {
			break
		}
	}
	v := l.Reserve(scheduler.Job{ID: "long", Prompt: longest, Answer: 90, Patience: waitLimit, Left: 6 * time.Second}, 0)
	if !v.Granted {
		return
	}
	readAfter := l.Reserve(job(100, 0), 0).Wait
	must.LessEq(t, expiry.Add(scheduler.OldWeightsMargin).Sub(c.Now()), readAfter, must.Sprintf("waits %v, is read after %v", v.Wait, readAfter))
}

// Guards against grants that rely on exact predictions just before the weights expire. A request started 0.75 s
// after it had reached its engine instead of the predicted 0.5 s, 0.05 s after the expiry of its weights;
// logged were "waitPredicted=281ms active=16 prompt=428" and "firstEvent=910ms".
func TestGrantKeepsMarginForPredictionErrors(t *testing.T) {
	l, c := openLedger()
	for id := range 15 {
		queued := job(id, 300*time.Millisecond)
		queued.Prompt = 400
		if l.Reserve(queued, 0).Wait > 220*time.Millisecond {
			break
		}
	}
	expiry := c.Now().Add(20 * time.Millisecond)
	l.Expiry = func() time.Time { return expiry }
	late := scheduler.Job{ID: "late", Prompt: 428, Answer: 90, Patience: 300 * time.Millisecond, Left: 6 * time.Second}
	v := l.Reserve(late, 0)
	must.Between(t, 230*time.Millisecond, v.Wait, 300*time.Millisecond, must.Sprint("within its wait limit"))
	must.False(t, v.Granted, must.Sprintf("with a wait of %v", v.Wait))
	// Without a queue it starts in time.
	idle, c := openLedger()
	expiry = c.Now().Add(20 * time.Millisecond)
	idle.Expiry = func() time.Time { return expiry }
	must.True(t, idle.Reserve(late, 0).Granted)
}

// Guards against granting a slot again to a request whose first reply was lost if it can no longer start before
// its weights expire.
func TestRepeatedReservationChecksExpiryAgain(t *testing.T) {
	l, c := openLedger()
	expiry := c.Now().Add(800 * time.Millisecond)
	l.Expiry = func() time.Time { return expiry }
	long := scheduler.Job{ID: "long", Prompt: 7000, Answer: 90, Patience: time.Second, Left: 6 * time.Second}
	must.True(t, l.Reserve(long, 0).Granted)
	c.Step(700 * time.Millisecond)
	must.False(t, l.Reserve(long, 0).Granted)
	must.True(t, l.Reserve(job(1, time.Second), 0).Granted, must.Sprint("its slot is free"))
}
