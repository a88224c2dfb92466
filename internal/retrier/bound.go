package retrier

import (
	"time"

	"k8s.io/utils/clock"
)

const (
	// boundShare is the part of a bound's ratio that entries use, boundBurst that of its
	// slack which they may save up, and boundFloor that of its slack which they earn within
	// a window without any request. All of them together stay below the bound; the rest is
	// a margin for entries that come and go.
	boundShare = 0.9
	boundBurst = 0.6
	boundFloor = 0.1
	// leastSharers is among how many entries the slack is divided at least, as a new
	// entry knows of few others.
	leastSharers = 6
)

// Bound limits what all entries together may send to a service beyond first attempts.
type Bound struct {
	// Ratio is the share of the service's requests, and Slack a number besides, within
	// Window.
	Ratio, Slack float64
	Window       time.Duration
}

// Budget makes one entry's part of a bound. Entries tells how many are known.
func (b Bound) Budget(c clock.PassiveClock, entries func() int) *Budget {
	return &Budget{
		Clock: c, Share: boundShare * b.Ratio,
		Floor: boundFloor * b.Slack / max(1, b.Window.Seconds()), Burst: max(1, boundBurst*b.Slack),
		Sharers: func() int { return max(leastSharers, entries()) },
	}
}
