package proofs_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// TestNotRunIsTrue kills agents and entries under a steady stream of bookings and
// has services drop their answers after the run, so that connections break
// before, during and after a run. A caller who is told "not run" books again; if
// that was wrong, two crews or two pickers stand at the same door.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 3, services: 3, service: func(_ int, s *imitator.Service) {
		s.Time = 50 * time.Millisecond
	}})
	callers := []*bookings{startBookings(t, 8, d, minted), startBookings(t, 4, d, ownKeys)}
	steps := []func(){
		d.services[0].kill,
		d.services[0].run,
		d.entries[0].replace,
		func() { d.services[1].upstream.fault(faults{DropAnswers: true}) },
		d.entries[1].replace,
		func() { d.services[1].upstream.fault(faults{}) },
		d.services[1].replace,
		d.services[2].kill,
		d.services[2].run,
		d.services[2].upstream.restart,
	}
	for _, fail := range steps {
		fail()
		for _, b := range callers {
			b.moves(t, 40)
		}
	}
	for _, b := range callers {
		b.stop()
		b.mustBeTrue(t)
	}
	for _, v := range d.services {
		must.Zero(t, v.upstream.counts().Doubled)
	}
}
