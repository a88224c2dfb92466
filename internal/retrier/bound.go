package retrier

import (
	"time"

	"k8s.io/utils/clock"
)

const (
	// ratioFactor is the part of a bound's ratio that entries use, burstFactor that of its
	// slack which they may accumulate, and floorFactor that of its slack which they earn
	// within a window without any request. Together they stay below the bound; the rest is
	// a margin for entries that come and go.
	ratioFactor = 0.9
	burstFactor = 0.6
	floorFactor = 0.1
	// minSharers is the least number of entries among which the slack is divided, as
	// a new entry has few others in its list.
	minSharers = 6
)

// Bound limits the requests beyond first attempts that all entries together may send
// to a service.
type Bound struct {
	// Ratio is the share of the service's requests, and Slack an additional number,
	// within Window.
	Ratio, Slack float64
	Window       time.Duration
}

// Budget returns one entry's part of the bound. entries returns the number of
// known entries.
func (b Bound) Budget(c clock.PassiveClock, entries func() int) *Budget {
	return &Budget{
		Clock: c, Share: ratioFactor * b.Ratio,
		Floor: floorFactor * b.Slack / max(1, b.Window.Seconds()), Burst: max(1, burstFactor*b.Slack),
		Sharers: func() int { return max(minSharers, entries()) },
	}
}
