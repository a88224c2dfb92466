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
	// stallEvery is how often a process looks whether it stood still.
	stallEvery = 100 * time.Millisecond
	// stallFrom is the least time, beyond stallEvery, that counts as standing still: a busy
	// processor delays a timer by some tens of milliseconds, a peer's patience with a silent
	// process begins at a few hundred.
	stallFrom = 300 * time.Millisecond
)

// Stalls makes a service that logs and counts when the process, or its VM, stood still. Such
// a process writes nothing meanwhile, and what it believes is older than it looks; without
// this line both have to be inferred from silence. The clock should count the time for which
// the VM is suspended.
func Stalls(c clock.WithTicker, r metrics.Registry) suture.Service {
	last := c.Now()
	return Every("stalls", c, stallEvery, func(context.Context) {
		now := c.Now()
		if stood := now.Sub(last) - stallEvery; stood >= stallFrom {
			klog.InfoS("Process stood still", "for", stood)
			metrics.GetOrRegisterTimer("process.stoodStill", r).Update(stood)
		}
		last = now
	})
}
