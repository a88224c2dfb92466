package roller_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/roller"
)

// An engine that holds no weights serves no requests, and one that holds the version needs
// no switch. Neither must wait for others.
func TestEmptyOrUpdatedEngineNeedsNoPermit(t *testing.T) {
	r := &roller.Roller{Clock: testclock.NewFakePassiveClock(time.Unix(0, 0))}
	must.Eq(t, 1, grantPermits(r, 3, 9))
	empty, done := engine(1, 0), engine(2, 0)
	empty.Manifest, done.Manifest = "", next.Manifest
	must.True(t, r.Permit(empty, next))
	must.True(t, r.Permit(done, next))
}

// The agent with the permit dies, shuts down or exceeds the permit's time, and the others
// must get their permits.
func TestPermitEnds(t *testing.T) {
	for name, end := range map[string]func(*roller.Roller, *testclock.FakePassiveClock){
		"removed": func(r *roller.Roller, _ *testclock.FakePassiveClock) { r.Remove("vm-0") },
		"leaving": func(r *roller.Roller, _ *testclock.FakePassiveClock) {
			s := engine(0, 9)
			s.Leaving = true
			r.Report(s)
		},
		"back": func(r *roller.Roller, _ *testclock.FakePassiveClock) {
			s := engine(0, 9)
			s.Manifest = next.Manifest
			r.Report(s)
		},
		"lapsed": func(r *roller.Roller, c *testclock.FakePassiveClock) {
			c.SetTime(c.Now().Add(roller.DefaultPermitFor))
			r.Report(engine(0, 9))
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := testclock.NewFakePassiveClock(time.Unix(0, 0))
			r := &roller.Roller{Clock: c}
			must.Eq(t, 1, grantPermits(r, 3, 9))
			must.True(t, r.Permit(engine(0, 9), next))
			must.False(t, r.Permit(engine(1, 9), next))
			end(r, c)
			r.Report(engine(1, 9))
			r.Report(engine(2, 9))
			must.True(t, r.Permit(engine(1, 9), next))
		})
	}
}

// One replica is closed without a permit: its engine crashed. A switch in addition would
// leave fewer replicas than the share allows.
func TestClosedReplicaCountsAsUnavailable(t *testing.T) {
	r := &roller.Roller{Clock: testclock.NewFakePassiveClock(time.Unix(0, 0))}
	closed := engine(0, 0)
	closed.Gate = messenger.GateClosed
	r.Report(closed)
	r.Report(engine(1, 9))
	must.False(t, r.Permit(engine(2, 9), next))
}
