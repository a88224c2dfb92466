package retrier

import (
	"math"
	"time"
)

// rateWindow is the decay time of a Rate.
const rateWindow = 2 * time.Second

// maxGap bounds the time between two events that Gap returns: a rate
// that has decayed reflects low demand rather than low capacity.
const maxGap = 2 * time.Second

// Rate is an exponentially smoothed number of events a second. The zero value is
// ready to use. It is not safe for concurrent use.
type Rate struct {
	value float64
	last  time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.value = r.At(now) + 1/rateWindow.Seconds()
	r.last = now
}

// At is the rate in events a second.
func (r *Rate) At(now time.Time) float64 {
	age := max(0, now.Sub(r.last))
	return r.value * math.Exp(-age.Seconds()/rateWindow.Seconds())
}

// Gap is the mean time between two events, at most two seconds.
func (r *Rate) Gap(now time.Time) time.Duration {
	v := r.At(now)
	if v*maxGap.Seconds() <= 1 {
		return maxGap
	}
	return time.Duration(float64(time.Second) / v)
}
