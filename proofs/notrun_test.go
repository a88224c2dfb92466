package proofs_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// TestNotRunIsTrue guards against a booking that is reported as not run although it ran:
// its caller would book again and it would run twice. It kills agents and entries under
// a steady stream of bookings and has services drop their answers after the run, so
// that connections break before, during and after a run.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 3, services: 3, service: func(_ int, s *imitator.Service) {
		s.Time = 50 * time.Millisecond
	}})
	callers := []*bookings{startBookings(t, 8, d, entryKeys), startBookings(t, 4, d, callerKeys)}
	steps := []func(){
		d.services[0].kill,
		d.services[0].start,
		d.entries[0].replace,
		func() { d.services[1].upstream.injectFaults(faults{DropAnswers: true}) },
		d.entries[1].replace,
		func() { d.services[1].upstream.injectFaults(faults{}) },
		d.services[1].replace,
		d.services[2].kill,
		d.services[2].start,
		d.services[2].upstream.restart,
	}
	for _, fail := range steps {
		fail()
		for _, b := range callers {
			b.awaitConfirmed(t, 40)
		}
	}
	for _, b := range callers {
		b.stop()
		b.mustMatchRuns(t)
	}
	for _, v := range d.services {
		must.Zero(t, v.upstream.counts().Doubled)
	}
}
