package router

import (
	"math"
	"time"
)

// rateWindow is how fast a rate forgets.
const rateWindow = 2 * time.Second

// rate is an exponentially smoothed number of events a second.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.at(now) + 1/rateWindow.Seconds()
	r.last = now
}

func (r *rate) at(now time.Time) float64 {
	age := max(0, now.Sub(r.last))
	return r.value * math.Exp(-age.Seconds()/rateWindow.Seconds())
}
