package detector_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/detector"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

const timeout = 5 * time.Second

// Guards against events that are dated by when the process handles them instead of when they can have happened.
func TestEventDuringStallIsDatedFromItsStart(t *testing.T) {
	const ms = time.Millisecond
	for name, e := range map[string]struct {
		// steps are the times between checks.
		steps       []time.Duration
		uncertainty time.Duration
		stalls      int
	}{
		"running":                      {[]time.Duration{25 * ms, 25 * ms, 25 * ms}, 0, 0},
		"busy":                         {[]time.Duration{99 * ms, 99 * ms, 99 * ms}, 0, 0},
		"stalled until now":            {[]time.Duration{25 * ms, 2800 * ms}, 2800 * ms, 1},
		"stall already noticed":        {[]time.Duration{25 * ms, 2800 * ms, 25 * ms, 25 * ms}, 2850 * ms, 1},
		"stall that isn't logged":      {[]time.Duration{25 * ms, 150 * ms}, 150 * ms, 1},
		"stalled twice":                {[]time.Duration{25 * ms, 2 * time.Second, 20 * ms, 3 * time.Second}, 5020 * ms, 2},
		"stall long ago":               {[]time.Duration{8 * time.Second, 90 * ms, 90 * ms, 90 * ms}, 0, 0},
		"stalled, and once long ago":   {[]time.Duration{8 * time.Second, 90 * ms, 90 * ms, 90 * ms, 4 * time.Second, 25 * ms}, 4025 * ms, 1},
		"longer than any grace period": {[]time.Duration{25 * ms, 20 * time.Second}, 20 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktesting.NewFakeClock(time.Unix(0, 0))
			d := detector.New(c, metrics.NewRegistry())
			for _, step := range e.steps {
				c.Step(step)
				d.StalledSince(c.Now())
			}
			event := d.Event()
			must.Eq(t, e.uncertainty, event.Uncertainty())
			must.Eq(t, e.stalls, event.Stalls)
			must.Eq(t, c.Now(), event.Latest)
		})
	}
}

// Guards against events that are likely to be recent and are dated by all stalls in a row.
func TestProbableTimeCountsTheLastTwoStalls(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Unix(0, 0))
	d := detector.New(c, metrics.NewRegistry())
	for range 3 {
		c.Step(25 * time.Millisecond)
		d.Recurring()
		c.Step(600 * time.Millisecond)
		d.Recurring()
	}
	event := d.Event()
	must.Eq(t, 3, event.Stalls)
	must.Eq(t, 1850*time.Millisecond, event.Uncertainty())
	must.Eq(t, 1225*time.Millisecond, event.Latest.Sub(event.Probable))
}

// Guards against a process that expects no more stalls while it gets processor time only now and then, or expects them
// after a single one.
func TestRecurringStalls(t *testing.T) {
	const ms = time.Millisecond
	for name, e := range map[string]struct {
		// steps are the times between checks.
		steps     []time.Duration
		recurring time.Duration
	}{
		"running":            {[]time.Duration{25 * ms, 49 * ms, 25 * ms, 49 * ms}, 0},
		"stalled once":       {[]time.Duration{25 * ms, 2800 * ms, 25 * ms}, 0},
		"stalled repeatedly": {[]time.Duration{600 * ms, 25 * ms, 300 * ms, 25 * ms, 400 * ms}, 400 * ms},
		"throttled":          {[]time.Duration{90 * ms, 10 * ms, 90 * ms, 10 * ms}, 90 * ms},
		"longer than recent": {[]time.Duration{7 * time.Second, 25 * ms, 6 * time.Second}, 0},
		"stalled long ago":   {append([]time.Duration{600 * ms, 25 * ms, 600 * ms}, slices.Repeat([]time.Duration{25 * ms}, 201)...), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktesting.NewFakeClock(time.Unix(0, 0))
			d := detector.New(c, metrics.NewRegistry())
			for _, step := range e.steps {
				c.Step(step)
				d.StalledSince(c.Now())
			}
			must.Eq(t, e.recurring, d.Recurring())
		})
	}
}

func TestStalledSince(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Unix(0, 0))
	d := detector.New(c, metrics.NewRegistry())
	c.Step(25 * time.Millisecond)
	must.False(t, d.StalledSince(time.Unix(0, 0)))
	c.Step(time.Second)
	must.True(t, d.StalledSince(time.Unix(0, 0)))
	must.False(t, d.StalledSince(c.Now()))
}

// serve runs a detector until the test ends, and waits until it uses its clock.
func serve(t *testing.T, d *detector.Detector, c *clocktesting.FakeClock) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	go func() { _ = d.Serve(ctx) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(c.HasWaiters), wait.Timeout(timeout), wait.Gap(time.Millisecond)))
}

// A VM is paused for seconds. Without a log line for the pause, the log looks like that of
// a process without events.
func TestPauseIsCounted(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Unix(0, 0))
	r := metrics.NewRegistry()
	pauses := metrics.GetOrRegisterTimer("process.stoodStill", r)
	serve(t, detector.New(c, r), c)
	c.Step(9 * time.Second)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return pauses.Count() == 1 }), wait.Timeout(timeout), wait.Gap(time.Millisecond)))
	must.Eq(t, int64(8975*time.Millisecond), pauses.Max())
}

// A VM is suspended for seconds. Its steady clock doesn't count them, so that without a log
// line nothing shows the suspension, and operators search elsewhere for the cause of late
// responses.
func TestSuspensionIsCounted(t *testing.T) {
	steady := clocktesting.NewFakeClock(time.Unix(0, 0))
	vm := &suspender.VM{Steady: steady}
	r := metrics.NewRegistry()
	pauses := metrics.GetOrRegisterTimer("process.stoodStill", r)
	d := detector.New(vm.Clock(), r)
	vm.Suspend(9 * time.Second)
	steady.Step(25 * time.Millisecond)
	serve(t, d, steady)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return pauses.Count() == 1 }), wait.Timeout(timeout), wait.Gap(time.Millisecond)))
	must.Eq(t, int64(9*time.Second), pauses.Max())
}
