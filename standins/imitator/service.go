package imitator

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Service is a plain service whose calls must not be repeated.
type Service struct {
	// Clock times runs and the cold start. Nil means the real clock.
	Clock clock.Clock
	// Time is the duration of one run.
	Time time.Duration
	// Limit is the number of requests that may run concurrently. Zero means 64.
	Limit int
	// ColdLimit is the number of requests that may run concurrently during a cold
	// start. Zero means 2.
	ColdLimit int
	// ColdFor is how long a cold start lasts.
	ColdFor time.Duration

	mu       sync.Mutex
	startID  string
	started  time.Time
	stopped  chan struct{} // closed at the next restart
	running  int
	bookings map[string]int64
	faults   serviceFaults
	counts   serviceCounts
	gate     hangGate
}

type serviceFaults struct {
	Restart     bool  `json:"restart"`
	SlowMs      int64 `json:"slowMs"`
	Hang        bool  `json:"hang"`
	DropAnswers bool  `json:"dropAnswers"`
	// Unframed replies have neither a length nor chunks and end with their connection.
	Unframed bool `json:"unframed"`
	// ResetReplies resets connections in the middle of a reply.
	ResetReplies bool `json:"resetReplies"`
}

type serviceCounts struct {
	Runs       int64     `json:"runs"`
	Bookings   int64     `json:"bookings"`
	Doubled    int64     `json:"doubled"`
	FellOver   int64     `json:"fellOver"`
	WorstCold  int       `json:"worstCold"`
	LastWorkAt time.Time `json:"lastWorkAt"`
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	s.Clock = clockOrReal(s.Clock)
	if s.Limit == 0 {
		s.Limit = 64
	}
	if s.ColdLimit == 0 {
		s.ColdLimit = 2
	}
	s.bookings = map[string]int64{}
	s.restart()
	m := http.NewServeMux()
	m.HandleFunc("GET /state", s.getState)
	m.HandleFunc("POST /{path...}", s.handleCall)
	m.HandleFunc("GET /admin/counts", s.getCounts)
	m.HandleFunc("GET /admin/bookings", s.getBookings)
	m.HandleFunc("POST /admin/faults", s.setFaults)
	return m
}

// restart aborts all runs and starts a cold start.
func (s *Service) restart() {
	if s.stopped != nil {
		close(s.stopped)
	}
	s.stopped = make(chan struct{})
	s.startID = uuid.NewString()
	s.started = s.Clock.Now()
	s.running = 0
}

func (s *Service) cold() bool {
	return s.Clock.Since(s.started) < s.ColdFor
}

func (s *Service) getState(w http.ResponseWriter, r *http.Request) {
	if !s.gate.awaitRequest(r) {
		return
	}
	s.mu.Lock()
	state := struct {
		StartID  string `json:"startId"`
		UptimeMs int64  `json:"uptimeMs"`
		Cold     bool   `json:"cold"`
		Running  int    `json:"running"`
	}{s.startID, s.Clock.Since(s.started).Milliseconds(), s.cold(), s.running}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	if !s.gate.awaitRequest(r) {
		return
	}
	booking := r.Header.Get("Booking")
	stopped, run := s.startRun(booking)
	if stopped == nil {
		abortConnection()
	}
	s.mu.Lock()
	d := s.Time + time.Duration(s.faults.SlowMs)*time.Millisecond
	s.mu.Unlock()
	whole := sleep(s.Clock, d, stopped)
	dropped := s.endRun(stopped)
	if !whole || dropped {
		abortConnection()
	}
	s.mu.Lock()
	unframed, resets := s.faults.Unframed, s.faults.ResetReplies
	s.mu.Unlock()
	if unframed {
		unframe(w)
	}
	if resets {
		resetMidway(w)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Booking string `json:"booking"`
		Run     int64  `json:"run"`
		Path    string `json:"path"`
	}{booking, run, "/" + r.PathValue("path")})
}

// startRun counts a run and returns a channel that is closed when the run is
// aborted, with the number of runs of this booking. The channel is nil if this
// request overloaded the service and made it restart.
func (s *Service) startRun(booking string) (stopped chan struct{}, run int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.LastWorkAt = s.Clock.Now()
	limit := s.Limit
	if s.cold() {
		limit = min(limit, s.ColdLimit)
		s.counts.WorstCold = max(s.counts.WorstCold, s.running+1)
	}
	if s.running+1 > limit {
		klog.InfoS("service falls over", "running", s.running, "limit", limit)
		s.counts.FellOver++
		s.restart()
		return nil, 0
	}
	s.running++
	s.counts.Runs++
	if booking != "" {
		s.countBooking(booking)
	}
	return s.stopped, s.bookings[booking]
}

func (s *Service) countBooking(booking string) {
	s.bookings[booking]++
	switch s.bookings[booking] {
	case 1:
		s.counts.Bookings++
	case 2:
		s.counts.Doubled++
	}
}

// endRun ends a run and returns whether its answer is dropped.
func (s *Service) endRun(stopped chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped == stopped {
		s.running--
	}
	return s.faults.DropAnswers
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	handleFaults(w, r, func(faults serviceFaults) {
		s.mu.Lock()
		s.faults = faults
		if faults.Restart {
			s.restart()
		}
		s.mu.Unlock()
		s.gate.setHanging(faults.Hang)
	})
}

func (s *Service) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, counts)
}

func (s *Service) getBookings(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	bookings := maps.Clone(s.bookings)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Bookings map[string]int64 `json:"bookings"`
	}{bookings})
}
