package limiter

import (
	"math"
	"time"
)

// maxDebt is how many place-seconds, at most, a workspace has to wait off.
const maxDebt = 30

// places holds the requests that run at once to a part of a limit that need not
// be whole: over time no more than share run on average. A share below one,
// rounded up, would let nine entries run nine requests of a workspace that may
// have four; rounded down it would get none.
type places struct {
	running int
	// saved is place-seconds earned at share less those spent.
	saved float64
	last  time.Time
}

// pass lets the time up to now go by at the given share; 0 is no limit, under
// which nothing is owed.
func (p *places) pass(now time.Time, share float64) {
	if !p.last.IsZero() {
		p.saved += now.Sub(p.last).Seconds() * (share - float64(p.running))
	}
	p.last = now
	p.saved = max(-maxDebt, min(p.saved, share))
	if share == 0 {
		p.saved = 0
	}
}

// free tells whether one more may run.
func (p *places) free(share float64) bool {
	if p.running < int(share) {
		return true
	}
	return p.saved >= 0 && p.running < int(math.Ceil(share))
}
