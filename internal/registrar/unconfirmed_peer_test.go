package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against a process that takes records from one that the store has confirmed nothing to for confirmed at a made-up
// time: it would date an announcement there, and not ask those that know its age.
func TestUnconfirmedPeerDatesNoAnnouncement(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	started, other := newRegistrarAt(c), newRegistrarAt(c)
	started.Apply(registrar.Batch{Whole: true, At: 1, Partial: true, Records: []registrar.Record{record("weights/m", "1", 1)}})
	other.Apply(started.ChangesSince(0))
	c.Step(100 * time.Millisecond)
	applyVersion2(other)
	must.True(t, other.NeedsAges())
	at, known := supersededAt(other, 1)
	must.True(t, known)
	must.True(t, at.IsZero(), must.Sprint(at))
}
