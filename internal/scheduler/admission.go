package scheduler

import (
	"sync"
	"time"
)

const (
	// admissionWindow is how long a shortage counts after the last sign of it, and over which the rate is
	// measured from which the learned one starts.
	admissionWindow = time.Second
	// admissionStep is the least time between two decreases, some times of a plain request's work: earlier
	// signs come from requests that were sent before the last one.
	admissionStep = 200 * time.Millisecond
	// admissionDecrease is what a decrease leaves of the rate, and admissionIncrease what is added in each
	// second without one, in parts of the rate at the beginning. The usual figures of AIMD halve: an entry
	// of many has a few requests a second, and sees signs of what others sent.
	admissionDecrease = 0.7
	admissionIncrease = 0.5
	// leastAdmission is the lowest rate, in requests a second, so that the end of a shortage is noticed where
	// only less urgent requests come.
	leastAdmission = 0.5
	// fullWeight is the share that the last reply has in the smoothed share of replies from full upstreams,
	// and fullShortage the share from which a service counts as short.
	fullWeight   = 0.1
	fullShortage = 0.5
)

// Admission bounds the less urgent requests that an entry sends to plain services during a shortage, by
// additive increase and multiplicative decrease. It has no agent to ask, and goes by this entry's own
// requests. The zero value is ready for use by several
// goroutines.
type Admission struct {
	mu       sync.Mutex
	services map[string]*admission
}

// admission is what is known of one service.
type admission struct {
	// sent counts the less urgent requests that were admitted.
	sent, sentBefore int
	sentFrom         time.Time
	// full is the smoothed share of replies from upstreams that queue.
	full float64
	// shortAt is the last sign of a shortage, decreasedAt the last decrease, and updated when tokens and rate
	// were last brought up to date.
	shortAt, decreasedAt, updated time.Time
	// rate is in requests a second, first that of the beginning.
	rate, first, tokens float64
	// urgent is the rank of the most urgent requests that came lately, the last one at urgentAt.
	urgent   float64
	urgentAt time.Time
}

// Admit tells whether a request may be sent to a service now, and counts it. Rank is 0 for the most urgent
// requests of the service and 1 for the least. Requests yield only to more urgent ones that came lately.
func (a *Admission) Admit(service string, rank float64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.of(service)
	if s.yields(rank, now) && s.short(now) {
		s.update(now)
		if s.tokens < 1+rank*(s.burst()-1) {
			return false
		}
		s.tokens--
	}
	s.turn(now)
	s.sent++
	return true
}

// yields notes a request and tells whether more urgent ones came lately.
func (s *admission) yields(rank float64, now time.Time) bool {
	if rank <= s.urgent || s.urgentAt.IsZero() || now.Sub(s.urgentAt) >= admissionWindow {
		s.urgent, s.urgentAt = rank, now
	}
	return rank > s.urgent
}

// Refused notes that an upstream refused a request.
func (a *Admission) Refused(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(service).decrease(now)
}

// Replied notes the load of an upstream that replied.
func (a *Admission) Replied(service string, running, waiting, slots int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, full := a.of(service), 0.0
	if running >= slots && waiting > 0 {
		full = 1
	}
	s.full += fullWeight * (full - s.full)
	if full == 1 && s.full > fullShortage {
		s.decrease(now)
	}
}

// Short tells whether a service has a shortage.
func (a *Admission) Short(service string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(service).short(now)
}

func (a *Admission) of(service string) *admission {
	if a.services == nil {
		a.services = map[string]*admission{}
	}
	s := a.services[service]
	if s == nil {
		s = &admission{}
		a.services[service] = s
	}
	return s
}

func (s *admission) short(now time.Time) bool {
	return !s.shortAt.IsZero() && now.Sub(s.shortAt) < admissionWindow
}

// decrease notes a sign of a shortage. The first one sets the rate by what was sent lately.
func (s *admission) decrease(now time.Time) {
	if !s.short(now) {
		s.turn(now)
		s.first = max(leastAdmission, float64(max(s.sent, s.sentBefore))/admissionWindow.Seconds())
		s.rate, s.tokens, s.updated = s.first, 0, now
		s.decreasedAt = time.Time{}
	}
	s.update(now)
	s.shortAt = now
	if now.Sub(s.decreasedAt) >= admissionStep {
		s.rate, s.decreasedAt = max(leastAdmission, admissionDecrease*s.rate), now
	}
}

// update adds to the rate and fills the bucket.
func (s *admission) update(now time.Time) {
	d := max(0, now.Sub(s.updated).Seconds())
	s.updated = now
	s.rate += admissionIncrease * s.first * d
	s.tokens = min(s.tokens+s.rate*d, s.burst())
}

// burst is how many requests may be sent at once: those of admissionStep, and at least one.
func (s *admission) burst() float64 { return max(1, s.rate*admissionStep.Seconds()) }

// turn starts the next window of the count of what was sent.
func (s *admission) turn(now time.Time) {
	switch age := now.Sub(s.sentFrom); {
	case age >= 2*admissionWindow:
		s.sent, s.sentBefore, s.sentFrom = 0, 0, now
	case age >= admissionWindow:
		s.sent, s.sentBefore, s.sentFrom = 0, s.sent, s.sentFrom.Add(admissionWindow)
	}
}
