package simulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

// slowStarts returns the reports with and without slow starts.
func slowStarts(t *testing.T, name string) (with, without seedReports) {
	t.Helper()
	e := load(t, name)
	with = playAll(t, e)
	e.Without = ablator.Set{ablator.SlowStart}
	return with, playAll(t, e)
}

func (p seedReports) crashes() int {
	n := 0
	for _, r := range p {
		n += r.Starts.Crashes
	}
	return n
}

// Engines are slow for three seconds after their start, without stating it. Guards against a flood there.
func TestEnginesSlowAfterTheirStart(t *testing.T) {
	with, without := slowStarts(t, "slowStart")
	must.Greater(t, without.worth(allRequests)+0.005, with.worth(allRequests))
}

// Engines crash above a rate. Guards against a server that crashes under the same flood after each restart.
func TestEnginesThatFallOver(t *testing.T) {
	with, without := slowStarts(t, "fallsOver")
	t.Logf("engines fell over %d times, without slow starts %d", with.crashes(), without.crashes())
	must.Less(t, without.crashes()*3/4, with.crashes())
	must.Greater(t, without.worth(allRequests)+0.01, with.worth(allRequests))
}

// Engines recover and fail again regardless of their load, while the others are full. Slow starts must cost almost
// nothing there.
func TestEnginesThatFailAgain(t *testing.T) {
	with, without := slowStarts(t, "failsAgain")
	must.Greater(t, without.worth(allRequests)-0.005, with.worth(allRequests))
}

// A whole service starts at once. Guards against limiting engines although there are no others.
func TestWholeServiceStarts(t *testing.T) {
	with, without := slowStarts(t, "startTogether")
	must.Between(t, without.worth(allRequests)-0.003, with.worth(allRequests), without.worth(allRequests)+0.003)
}

// No engine starts, fails or recovers. Guards against slow starts that change decisions there.
func TestSlowStartsChangeNothingWithoutStarts(t *testing.T) {
	for _, name := range []string{"base", "burstAtStart", "lastingOverload", "longPrompt", "repeatAtOnce"} {
		e := load(t, name)
		with := simulator.Run(e, 1)
		e.Without = ablator.Set{ablator.SlowStart}
		must.Eq(t, simulator.Run(e, 1).Requests, with.Requests, must.Sprint(name))
	}
}
