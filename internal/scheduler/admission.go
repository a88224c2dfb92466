package scheduler

import (
	"sync"
	"time"
)

const (
	// admissionWindow is how long a shortage lasts after its last sign, and the period over which the initial
	// rate is measured.
	admissionWindow = time.Second
	// admissionStep is the shortest time between two decreases, several times the work of a plain request:
	// earlier signs come from requests that were sent before the last decrease.
	admissionStep = 200 * time.Millisecond
	// admissionDecrease is the factor of a decrease, and admissionIncrease the growth per second without one,
	// as a share of the initial rate. Standard AIMD halves the rate, but one entry of many sends only a few
	// requests a second, and some signs result from requests of other entries.
	admissionDecrease = 0.7
	admissionIncrease = 0.5
	// minAdmissionRate is the lowest rate, in requests per second. It keeps probes going, so that the end of a
	// shortage is detected where only less urgent requests arrive.
	minAdmissionRate = 0.5
	// fullWeight is the weight of the last reply in the smoothed share of replies from full upstreams; above
	// fullShortage of that share a service counts as short.
	fullWeight   = 0.1
	fullShortage = 0.5
)

// Admission limits the less urgent requests that an entry sends to plain services during a shortage, by
// additive increase and multiplicative decrease. Plain services have no agent that grants slots, so it relies
// on this entry's own requests. The zero value is ready for use and safe for concurrent use.
type Admission struct {
	mu       sync.Mutex
	services map[string]*admission
}

// admission is the state of one service.
type admission struct {
	// sent counts the less urgent requests admitted in this window, sentPrevious those in the previous one.
	sent, sentPrevious int
	windowStart        time.Time
	// fullShare is the smoothed share of replies from upstreams with a queue.
	fullShare float64
	// shortAt is the last sign of a shortage, decreasedAt the last decrease, and updated the last refill of
	// tokens and rate.
	shortAt, decreasedAt, updated time.Time
	// rate is in requests per second, initialRate its value at the start of the shortage.
	rate, initialRate, tokens float64
	// urgentRank is the rank of the most urgent recent requests, the last of which arrived at urgentAt.
	urgentRank float64
	urgentAt   time.Time
}

// Admit reports whether a request may be sent to a service, and counts it. Rank is 0 for the most urgent
// requests of the service and 1 for the least urgent. Requests are limited only while more urgent ones arrive.
func (a *Admission) Admit(service string, rank float64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(service)
	if s.yields(rank, now) && s.inShortage(now) {
		s.refill(now)
		if s.tokens < 1+rank*(s.burst()-1) {
			return false
		}
		s.tokens--
	}
	s.advanceWindow(now)
	s.sent++
	return true
}

// yields records a request and reports whether more urgent ones arrived recently.
func (s *admission) yields(rank float64, now time.Time) bool {
	if rank <= s.urgentRank || s.urgentAt.IsZero() || now.Sub(s.urgentAt) >= admissionWindow {
		s.urgentRank, s.urgentAt = rank, now
	}
	return rank > s.urgentRank
}

// RecordRefusal records that an upstream refused a request.
func (a *Admission) RecordRefusal(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(service).decrease(now)
}

// RecordLoad records the load that an upstream states in a reply.
func (a *Admission) RecordLoad(service string, running, waiting, slots int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, full := a.service(service), 0.0
	if running >= slots && waiting > 0 {
		full = 1
	}
	s.fullShare += fullWeight * (full - s.fullShare)
	if full == 1 && s.fullShare > fullShortage {
		s.decrease(now)
	}
}

// InShortage reports whether a service has a shortage.
func (a *Admission) InShortage(service string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service(service).inShortage(now)
}

func (a *Admission) service(service string) *admission {
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

func (s *admission) inShortage(now time.Time) bool {
	return !s.shortAt.IsZero() && now.Sub(s.shortAt) < admissionWindow
}

// decrease records a sign of a shortage. The first one sets the rate from the requests sent recently.
func (s *admission) decrease(now time.Time) {
	if !s.inShortage(now) {
		s.advanceWindow(now)
		s.initialRate = max(minAdmissionRate, float64(max(s.sent, s.sentPrevious))/admissionWindow.Seconds())
		s.rate, s.tokens, s.updated = s.initialRate, 0, now
		s.decreasedAt = time.Time{}
	}
	s.refill(now)
	s.shortAt = now
	if now.Sub(s.decreasedAt) >= admissionStep {
		s.rate, s.decreasedAt = max(minAdmissionRate, admissionDecrease*s.rate), now
	}
}

// refill raises the rate and refills the token bucket.
func (s *admission) refill(now time.Time) {
	d := max(0, now.Sub(s.updated).Seconds())
	s.updated = now
	s.rate += admissionIncrease * s.initialRate * d
	s.tokens = min(s.tokens+s.rate*d, s.burst())
}

// burst is the bucket's size: the requests of one admissionStep, and at least one.
func (s *admission) burst() float64 { return max(1, s.rate*admissionStep.Seconds()) }

// advanceWindow starts the next counting window if it is due.
func (s *admission) advanceWindow(now time.Time) {
	switch age := now.Sub(s.windowStart); {
	case age >= 2*admissionWindow:
		s.sent, s.sentPrevious, s.windowStart = 0, 0, now
	case age >= admissionWindow:
		s.sent, s.sentPrevious, s.windowStart = 0, s.sent, s.windowStart.Add(admissionWindow)
	}
}
