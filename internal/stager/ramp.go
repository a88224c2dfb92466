package stager

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// returnedAfter is for how long an engine has to leave its agent without an answer before its return
// begins a slow start. A single late answer is usual on a busy VM.
const returnedAfter = 500 * time.Millisecond

// noteSilence notes that the engine doesn't answer.
func (s *Stager) noteSilence() {
	if s.silentSince.IsZero() {
		s.silentSince = s.Clock.Now()
	}
}

// noteAnswer has the ledger begin a slow start if the engine has just started or answers again. An agent
// that itself has just started knows an engine that did so with it by its lack of weights.
func (s *Stager) noteAnswer(r Report) {
	silentSince := s.silentSince
	s.silentSince = time.Time{}
	switch {
	case r.StartedAt.Equal(s.engineStart):
		if !silentSince.IsZero() && s.Clock.Since(silentSince) >= returnedAfter {
			s.Ledger.StartRamp(scheduler.EngineReturned)
		}
	case !s.engineStart.IsZero() || len(r.Models) == 0:
		s.Ledger.StartRamp(scheduler.EngineStarted)
	}
}
