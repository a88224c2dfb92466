package simulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

var byPriority = ablator.Set{ablator.PriorityReservation, ablator.UrgentQueue, ablator.WorkspaceShare, ablator.PriorityBudgets, ablator.PriorityRetry}

func ofWorkspace(name string) func(*simulator.Request) bool {
	return func(q *simulator.Request) bool { return q.Workspace == name }
}

// Guards against a surge of batch requests that causes refusals of live ones, and against slots that stay reserved
// after the surge's end.
func TestBatchSurgeAgainstLiveTraffic(t *testing.T) {
	e := load(t, "batchSurge")
	p := playAll(t, e)
	live, summary, batch := p.worth(ofKind("live")), p.worth(ofKind("summary")), p.worth(ofKind("batch"))
	t.Logf("live %.3f, summary %.3f, batch %.3f", live, summary, batch)
	must.Greater(t, 0.95, live)
	must.Greater(t, summary-0.05, live)
	must.Greater(t, batch, summary)
	must.Greater(t, 0.4, batch)
	e.Without = byPriority
	must.Greater(t, playAll(t, e).worth(allRequests)+0.1, p.worth(allRequests))
}

// Guards against a workspace that is served worse than one with more of the demand, or whose own priority doesn't
// take precedence over its requests' kinds.
func TestWorkspaceWithAThirdOfTheDemand(t *testing.T) {
	p := playAll(t, load(t, "smallWorkspace"))
	third, large, urgent := p.worth(ofWorkspace("third")), p.worth(ofWorkspace("large")), p.worth(ofWorkspace("urgent"))
	t.Logf("third %.3f, large %.3f, urgent %.3f", third, large, urgent)
	must.GreaterEq(t, large, third)
	must.Greater(t, 0.95, urgent)
}

// Guards against decisions that change when all kinds state the same priority.
func TestEqualPrioritiesChangeNothing(t *testing.T) {
	e := load(t, "lastingOverload")
	want := simulator.Run(e, 1)
	same := 2
	for i := range e.Kinds {
		e.Kinds[i].Priority = &same
	}
	got := simulator.Run(e, 1)
	must.Eq(t, want.Requests, got.Requests)
}
