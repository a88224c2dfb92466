package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// An engine works at half its pace, some prompts wait there, and the time of its
// weights is nearly over. A request with one of the longest prompts asks for a place. It
// begins with its first token, after those before it and itself have been read; granted
// now, it begins when its weights have been too old for a while, as the ledger could tell.
func TestGrantBeginsWithinTheTimeOfItsWeights(t *testing.T) {
	const (
		// longest is the longest prompt of a route, in tokens.
		longest = 3880
		// patience is the longest wait that entries allow before a prompt is read.
		patience = 300 * time.Millisecond
		// pace is how much slower than its figures the engine works.
		pace = 2
	)
	l, c := openLedger()
	expiry := c.Now().Add(time.Millisecond)
	l.Expiry = func() time.Time { return expiry }
	l.Observe(0, pace)
	// Prompts are placed as long as the last of them waits no longer than it may.
	for id := range 16 {
		if l.Reserve(job(id, patience/2), 0).Wait > patience/2 {
			break
		}
	}
	v := l.Reserve(scheduler.Job{ID: "long", Prompt: longest, Answer: 90, Patience: patience, Left: 6 * time.Second}, 0)
	if !v.Granted {
		return
	}
	read := l.Reserve(job(100, 0), 0).Wait
	must.LessEq(t, expiry.Add(scheduler.OldWeightsMargin).Sub(c.Now()), read, must.Sprintf("waits %v, is read after %v", v.Wait, read))
}
