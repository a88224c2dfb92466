package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// fleetFigures are those of the engines at which a request started 1.08 s after its arrival.
func fleetFigures() *matcher.Engine {
	return &matcher.Engine{
		Slots: 12, Stride: 5, Chunk: 2048, Step: 8870 * time.Microsecond,
		PerRequest: 38800 * time.Nanosecond, PerThousand: 22700 * time.Nanosecond,
		ReadPerSecond: 19_100, PerMillionPairs: 1470 * time.Microsecond,
		UsualPrompt: 900, UsualAnswer: 90, Load: 300 * time.Millisecond,
	}
}

// Guards against granting the slots of ended connections while their requests run on: the last request granted
// waits at the engine until another ends, and starts after its weights have expired.
func TestLostConnectionsDelayNoStart(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	l := &scheduler.Ledger{Clock: c}
	l.Open(fleetFigures())
	e := &emulator.Engine{Figures: fleetFigures()}
	send := func(id string, owner int) (time.Duration, bool) {
		v := l.Reserve(scheduler.Job{ID: id, Prompt: 400, Answer: 130, Patience: 300 * time.Millisecond, Left: 6 * time.Second}, owner)
		if v.Granted {
			must.True(t, e.Add(emulator.Request{ID: id, Prompt: 400, Answer: 130}, c.Now()))
		}
		return v.Wait, v.Granted
	}
	startedAt := map[string]time.Time{}
	// runUntil runs the engine until a given time.
	runUntil := func(until time.Time) {
		for next, busy := e.PassEnd(); busy && !next.After(until); next, busy = e.PassEnd() {
			for _, v := range e.FinishPass() {
				if v.First {
					startedAt[v.ID] = v.At
					l.Started(v.ID)
				}
				if v.Last {
					l.Ended(v.ID)
				}
			}
		}
		c.SetTime(until)
	}
	for i := range fleetFigures().Slots {
		_, granted := send(fmt.Sprint("old", i), i%6)
		must.True(t, granted)
		runUntil(c.Now().Add(60 * time.Millisecond))
	}
	for lost := range 3 {
		l.ConnectionLost(lost)
	}
	for i := range 8 {
		sentAt := c.Now()
		id := fmt.Sprint("new", i)
		wait, granted := send(id, 6)
		if !granted {
			break
		}
		t.Cleanup(func() {
			took := startedAt[id].Sub(sentAt)
			must.LessEq(t, wait+startMargin, took, must.Sprintf("%s was granted a slot with a wait of %v", id, wait))
		})
	}
	runUntil(c.Now().Add(time.Minute))
}
