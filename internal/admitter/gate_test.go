package admitter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func newGate() *admitter.Gate {
	return &admitter.Gate{Clock: testingclock.NewFakePassiveClock(epoch), ColdLimit: 2, Limit: 6}
}

// probe lets the gate hear a sound answer of the given start.
func probe(g *admitter.Gate, start string, uptime time.Duration, cold bool) {
	g.Probe(admitter.Probe{Mark: g.Mark(), StartID: start, Uptime: uptime, Cold: cold})
}

func reason(t *testing.T, err error) admitter.Reason {
	t.Helper()
	var r *admitter.RefusedError
	must.True(t, errors.As(err, &r))
	return r.Reason
}

func TestGateStartsHeldAndCold(t *testing.T) {
	g := newGate()
	_, err := g.Admit(admitter.Work{})
	test.Eq(t, admitter.Booting, reason(t, err))
	g.Open(admitter.Booting)
	state, limit, running := g.State()
	test.Eq(t, messenger.GateCold, state)
	test.Eq(t, 2, limit)
	test.Eq(t, 0, running)
}

// An engine is restarted by its supervisor between two of our probes and is cold
// again. With the old limit still in force it would be sent a full load and fall
// over, and callers would see streams cut one after the other.
func TestGateNarrowsAtRestart(t *testing.T) {
	g := newGate()
	g.Open(admitter.Booting)
	for i := range 30 {
		probe(g, "one", time.Duration(i)*time.Second, false)
	}
	_, limit, _ := g.State()
	test.Eq(t, 6, limit)
	probe(g, "two", time.Hour, false)
	_, limit, _ = g.State()
	test.Eq(t, 2, limit)
}
