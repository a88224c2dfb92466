package scheduler

import (
	"sync"
	"time"
)

const (
	// lateWeight is the share that the last wait has in the smoothed share of waits that got a slot,
	// and leastServed the share below which waits stop.
	lateWeight  = 0.2
	leastServed = 1.0 / 3
	// firstSuspension is how long waits stop then; it doubles up to maxSuspension with each probe
	// that gets no slot.
	firstSuspension = 2 * time.Second
	maxSuspension   = 16 * time.Second
)

// LateWaits learns for each service whether late requests that wait get a slot. After a restart the
// callers whose replies were cut come back together, and slots come free within a second; refused
// once more, most of them give up. Under a lasting overload first attempts take all slots, and who
// waits only hears later that there is none. The zero value is ready for use by several goroutines.
type LateWaits struct {
	mu       sync.Mutex
	services map[string]*lateWaits
}

// lateWaits is what is known of one service.
type lateWaits struct {
	// missed is the smoothed share of waits that got no slot.
	missed float64
	// suspendedUntil is until when nobody waits, and probing that a single request does after that.
	suspendedUntil time.Time
	suspension     time.Duration
	probing        bool
}

// Begin tells whether one more late request may wait now. If it may, End or Abandon has to follow.
func (w *LateWaits) Begin(service string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.of(service)
	switch {
	case s.suspension == 0:
		return true
	case now.Before(s.suspendedUntil) || s.probing:
		return false
	default:
		s.probing = true
		return true
	}
}

// End notes whether a wait got a slot.
func (w *LateWaits) End(service string, served bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.of(service)
	missed := 1.0
	if served {
		missed = 0
	}
	s.missed += lateWeight * (missed - s.missed)
	switch {
	case s.probing && served:
		*s = lateWaits{}
	case s.probing, s.suspension == 0 && s.missed > 1-leastServed:
		s.suspension = min(max(2*s.suspension, firstSuspension), maxSuspension)
		s.suspendedUntil, s.probing = now.Add(s.suspension), false
	}
}

// Abandon takes a Begin back whose request's caller has left.
func (w *LateWaits) Abandon(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.of(service).probing = false
}

func (w *LateWaits) of(service string) *lateWaits {
	if w.services == nil {
		w.services = map[string]*lateWaits{}
	}
	s := w.services[service]
	if s == nil {
		s = &lateWaits{}
		w.services[service] = s
	}
	return s
}
