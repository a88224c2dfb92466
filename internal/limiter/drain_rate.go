package limiter

import (
	"math"
	"time"
)

// drainWindow is the busy time over which the rate is smoothed.
const drainWindow = 5 * time.Second

// drainRate measures the cost completed per second while requests were waiting.
// Idle time doesn't count: it shows nothing about the capacity of the
// upstreams, and a queue that included it would refuse the first burst after a
// quiet hour.
type drainRate struct {
	done, busy float64
	last       time.Time
}

// advance accounts for the time up to now, busy or not.
func (r *drainRate) advance(now time.Time, busy bool) {
	d := now.Sub(r.last).Seconds()
	if busy && d > 0 && !r.last.IsZero() {
		keep := math.Exp(-d / drainWindow.Seconds())
		r.done *= keep
		r.busy = r.busy*keep + d
	}
	r.last = now
}

func (r *drainRate) addCost(cost float64) {
	if r.busy > 0 {
		r.done += cost
	}
}

// value is the rate; 0 while it is unknown.
func (r *drainRate) value() float64 {
	if r.busy == 0 {
		return 0
	}
	return r.done / r.busy
}

// durationOf estimates how long the given cost takes; 0 while the rate is
// unknown.
func (r *drainRate) durationOf(cost float64) time.Duration {
	v := r.value()
	if v == 0 {
		return 0
	}
	return time.Duration(min(cost/v, time.Hour.Seconds()) * float64(time.Second))
}
