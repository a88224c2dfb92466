package reporter

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

const (
	// stallCheckInterval is how often a process checks whether it was paused.
	stallCheckInterval = 100 * time.Millisecond
	// minStall is the least delay, beyond stallCheckInterval, that counts as a stall: a busy
	// processor delays a timer by some tens of milliseconds, and peers treat a process as
	// unresponsive after a few hundred at the earliest.
	minStall = 300 * time.Millisecond
)

// Stalls returns a service that logs and counts pauses of the process or its VM. A paused
// process writes no log, and its state is older than it seems; without this line both have
// to be inferred from a gap in the log. The clock should count the time for which the VM is
// suspended.
func Stalls(c clock.WithTicker, r metrics.Registry) suture.Service {
	last := c.Now()
	return Every("stalls", c, stallCheckInterval, func(context.Context) {
		now := c.Now()
		if stall := now.Sub(last) - stallCheckInterval; stall >= minStall {
			klog.InfoS("Process stalled", "for", stall)
			metrics.GetOrRegisterTimer("process.stoodStill", r).Update(stall)
		}
		last = now
	})
}
