package limiter

import (
	"math"
	"time"
)

// drainWindow is over how much busy time the rate is smoothed.
const drainWindow = 5 * time.Second

// drainRate measures cost done per second of the time in which somebody waited.
// Idle time does not count: it says nothing of what the upstreams can do, and a
// queue that believed it would refuse the first burst after a quiet hour.
type drainRate struct {
	done, busy float64
	last       time.Time
}

// pass lets the time up to now go by, busy or not.
func (r *drainRate) pass(now time.Time, busy bool) {
	d := now.Sub(r.last).Seconds()
	if busy && d > 0 && !r.last.IsZero() {
		keep := math.Exp(-d / drainWindow.Seconds())
		r.done *= keep
		r.busy = r.busy*keep + d
	}
	r.last = now
}

func (r *drainRate) finish(cost float64) {
	if r.busy > 0 {
		r.done += cost
	}
}

// value is the rate; 0 while nothing is known.
func (r *drainRate) value() float64 {
	if r.busy == 0 {
		return 0
	}
	return r.done / r.busy
}

// time is how long so much cost takes; 0 while nothing is known.
func (r *drainRate) time(cost float64) time.Duration {
	v := r.value()
	if v == 0 {
		return 0
	}
	return time.Duration(min(cost/v, time.Hour.Seconds()) * float64(time.Second))
}
