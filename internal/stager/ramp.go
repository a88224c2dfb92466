package stager

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// minOutage is how long an engine must be unresponsive for its return to begin a slow start. A
// single late response is usual on a busy VM.
const minOutage = 500 * time.Millisecond

// markUnresponsive records that the engine does not respond.
func (s *Stager) markUnresponsive() {
	if s.unresponsiveSince.IsZero() {
		s.unresponsiveSince = s.Clock.Now()
	}
}

// markResponsive begins a slow start if the engine has just started or responds again. An agent
// that has itself just started recognizes an engine that started with it by its lack of weights.
func (s *Stager) markResponsive(r Report) {
	silentSince := s.unresponsiveSince
	s.unresponsiveSince = time.Time{}
	switch {
	case r.StartedAt.Equal(s.engineStart):
		if !silentSince.IsZero() && s.Clock.Since(silentSince) >= minOutage {
			s.Ledger.StartRamp(scheduler.EngineReturned)
		}
	case !s.engineStart.IsZero() || len(r.Models) == 0:
		s.Ledger.StartRamp(scheduler.EngineStarted)
	}
}
