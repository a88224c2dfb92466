package limiter

import (
	"math"
	"time"
)

// maxDebtSlotSeconds bounds the overuse that a workspace has to compensate for.
const maxDebtSlotSeconds = 30

// slots limits concurrent requests to a share of a limit that may be
// fractional: over time at most share of them run on average. With shares below
// one rounded up, nine entries would run nine requests of a workspace limited
// to four; rounded down, none.
type slots struct {
	running int
	// balance is the slot-seconds earned at share less those used.
	balance float64
	last    time.Time
}

// advance accounts for the time up to now at the given share; 0 is no limit,
// under which no debt accrues.
func (s *slots) advance(now time.Time, share float64) {
	if !s.last.IsZero() {
		s.balance += now.Sub(s.last).Seconds() * (share - float64(s.running))
	}
	s.last = now
	s.balance = max(-maxDebtSlotSeconds, min(s.balance, share))
	if share == 0 {
		s.balance = 0
	}
}

// hasFree reports whether one more request may run.
func (s *slots) hasFree(share float64) bool {
	if s.running < int(share) {
		return true
	}
	return s.balance >= 0 && s.running < int(math.Ceil(share))
}
