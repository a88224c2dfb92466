package scheduler

import (
	"sync"
	"time"
)

const (
	// lateWeight is the weight of the last wait in the smoothed share of waits that got a slot; below
	// minServedShare waits are suspended.
	lateWeight     = 0.2
	minServedShare = 1.0 / 3
	// firstSuspension is how long waits are suspended at first; each probe that gets no slot doubles it, up to
	// maxSuspension.
	firstSuspension = 2 * time.Second
	maxSuspension   = 16 * time.Second
)

// LateWaits learns for each service whether late requests that wait get a slot. After a restart the callers
// whose replies were cut return together, and slots come free within a second; most callers that are refused
// again give up. Under a lasting overload first attempts take all slots, and waiting only delays the refusal.
// The zero value is ready for use and safe for concurrent use.
type LateWaits struct {
	mu       sync.Mutex
	services map[string]*lateWaits
}

// lateWaits is the state of one service.
type lateWaits struct {
	// missed is the smoothed share of waits that got no slot.
	missed float64
	// suspendedUntil is until when no request waits; probing reports that a single request does after that.
	suspendedUntil time.Time
	suspension     time.Duration
	probing        bool
}

// Begin reports whether one more late request may wait. If so, the caller must call End or Abandon.
func (w *LateWaits) Begin(service string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(service)
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

// End records whether a wait got a slot.
func (w *LateWaits) End(service string, served bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(service)
	missed := 1.0
	if served {
		missed = 0
	}
	s.missed += lateWeight * (missed - s.missed)
	switch {
	case s.probing && served:
		*s = lateWaits{}
	case s.probing, s.suspension == 0 && s.missed > 1-minServedShare:
		s.suspension = min(max(2*s.suspension, firstSuspension), maxSuspension)
		s.suspendedUntil, s.probing = now.Add(s.suspension), false
	}
}

// Abandon reverses Begin for a request whose caller has left.
func (w *LateWaits) Abandon(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.service(service).probing = false
}

func (w *LateWaits) service(service string) *lateWaits {
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
