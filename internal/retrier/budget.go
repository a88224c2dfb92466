package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// Budget bounds retries to a share of first attempts. Without it each failed
// attempt breeds another while the upstreams have nothing to spare: load grows
// by the number of tries, seen as attempts rising while answers fall. A budget
// keeps the load of a total failure at 1+Share of the callers' own.
//
// Set the fields before use. It is safe for concurrent use.
type Budget struct {
	Clock clock.PassiveClock
	// Share is how many retries each first attempt earns; 0 means 0.1.
	Share float64
	// Floor is how many retries a second are earned without any first attempt,
	// so that a quiet entry can still retry; 0 means 1.
	Floor float64
	// Burst is how many retries can be saved up; 0 means 10.
	Burst float64
	// Sharers, when set, tells how many entries share Floor and Burst; each then has
	// that part of them. Such a budget begins with nothing saved: entries that start
	// together know nobody, and each would take the whole for its own.
	Sharers func() int
	// Random decides on retries that are saved up only in part; nil means one of its own.
	Random *rand.Rand

	mu    sync.Mutex
	saved float64
	last  time.Time
}

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(orDefault(b.Share, 0.1))
}

// Take uses up one retry and tells whether there was one.
//
// Among many sharers the part of one may be less than a whole retry. None of them would ever
// have one, and each reply that breaks off would be lost. There a part gives a retry as often
// as it is worth, or somewhat less, and is used up in any case: all together send no more than
// they have saved.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(0)
	if b.saved >= 1 {
		b.saved--
		return true
	}
	if b.burst() >= 1 {
		return false
	}
	worth := b.saved
	b.saved = 0
	return b.chance() < partWorth*worth
}

// partWorth is below 1 as chance may have many entries retry at once: at 1 the fuzzing of the
// bound finds 699 retries for 688 among 237 entries.
const partWorth = 0.75

// chance is a random number from 0 up to 1.
func (b *Budget) chance() float64 {
	if b.Random == nil {
		return rand.Float64()
	}
	return b.Random.Float64()
}

// burst is how much this entry may save up.
func (b *Budget) burst() float64 { return orDefault(b.Burst, 10) * b.part(1) }

// earn adds the given amount and what the floor has earned since the last call.
func (b *Budget) earn(amount float64) {
	now := b.Clock.Now()
	burst := b.burst()
	if b.last.IsZero() {
		b.last = now
		if b.Sharers == nil {
			b.saved = burst
		}
	}
	if d := now.Sub(b.last); d > 0 {
		amount += d.Seconds() * orDefault(b.Floor, 1) * b.part(leastFloorSharers)
		b.last = now
	}
	b.saved = min(burst, b.saved+amount)
}

// leastFloorSharers is among how many entries Floor is divided at least. It is earned
// without any request, so that hundreds of entries that know only themselves for some
// seconds would earn more than the bound.
const leastFloorSharers = 24

// part is this entry's part of what all share, with so many sharers at least.
func (b *Budget) part(least int) float64 {
	if b.Sharers == nil {
		return 1
	}
	return 1 / float64(max(least, b.Sharers()))
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
