package detector_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/detector"
)

// Guards against a signal that a process short of processor time handles late, and takes for one that was just sent.
func TestSignalIsDatedByTheLastReceivedOne(t *testing.T) {
	for name, e := range map[string]struct {
		late        time.Duration
		uncertainty time.Duration
	}{
		"handled at once":  {90 * time.Millisecond, 0},
		"handled late":     {270 * time.Millisecond, 270 * time.Millisecond},
		"handled too late": {1350 * time.Millisecond, 1350 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktesting.NewFakeClock(time.Unix(1000, 0))
			d := detector.New(c, metrics.NewRegistry())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			// Without Serve no further probe is sent.
			go d.WatchSignals(ctx, syscall.SIGUSR2)
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(d.WatchesSignals), wait.Timeout(timeout), wait.Gap(time.Millisecond)))
			for left := e.late; left > 0; left -= 90 * time.Millisecond {
				c.Step(90 * time.Millisecond)
				d.StalledSince(c.Now())
			}
			must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGUSR2))
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(d.ReceivedStop), wait.Timeout(timeout), wait.Gap(time.Millisecond)))
			c.Step(time.Second)
			must.Eq(t, e.uncertainty, d.StopSignal().Uncertainty())
		})
	}
}

// Guards against a signal that counts as older the longer the process runs.
func TestReceivedProbeShowsThatNoSignalWaits(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Unix(1000, 0))
	d := detector.New(c, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.WatchSignals(ctx)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(d.WatchesSignals), wait.Timeout(timeout), wait.Gap(time.Millisecond)))
	serve(t, d, c)
	started := c.Now()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		c.Step(20 * time.Millisecond)
		return c.Since(started) > 2*time.Second && d.StopSignal().Uncertainty() == 0
	}), wait.Timeout(timeout), wait.Gap(5*time.Millisecond)))
}
