package retrier

import (
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
	// that part of them.
	Sharers func() int

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
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(0)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// earn adds the given amount and what the floor has earned since the last call.
func (b *Budget) earn(amount float64) {
	now := b.Clock.Now()
	part := b.part()
	burst := orDefault(b.Burst, 10) * part
	if b.last.IsZero() {
		b.last = now
		b.saved = burst
	}
	if d := now.Sub(b.last); d > 0 {
		amount += d.Seconds() * orDefault(b.Floor, 1) * part
		b.last = now
	}
	b.saved = min(burst, b.saved+amount)
}

func (b *Budget) part() float64 {
	if b.Sharers == nil {
		return 1
	}
	return 1 / float64(max(1, b.Sharers()))
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
