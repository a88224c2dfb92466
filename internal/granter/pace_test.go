package granter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against a momentary pace stated by one entry that doesn't reach the others, is forwarded as newer than
// it is, or is forwarded where no reply states one.
func TestReportedPaceReachesOtherEntries(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	l := &scheduler.Ledger{Clock: c}
	l.Open(&matcher.Engine{Slots: 12, Step: 9 * time.Millisecond, ReadPerSecond: 20700, Stride: 4, UsualAnswer: 80})
	g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: c}
	ask := func() messenger.Decision {
		return g.Reserve(messenger.Reservation{Request: "r", Prompt: 800, Answer: 80, WaitLimitMS: 300, TimeLeftMS: 6000}, nil)
	}
	usual := ask()
	must.Nil(t, usual.Momentary)
	must.Zero(t, usual.Pace)
	g.Progress(messenger.Progress{Started: []string{"r"}, Pace: &messenger.MomentaryPace{Pace: 250, AgeMS: 100}}, nil)
	c.Step(50 * time.Millisecond)
	slow := ask()
	must.Eq(t, &messenger.MomentaryPace{Pace: 250, AgeMS: 150}, slow.Momentary)
	must.Greater(t, usual.DurationMS, slow.DurationMS)
	c.Step(scheduler.PaceValidity)
	must.Nil(t, ask().Momentary)
	l.Observe(1, 2.5)
	must.Eq(t, messenger.Hundredths(250), ask().Pace)
}
