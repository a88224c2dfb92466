package matcher_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

func priority(p int) *int { return &p }

// Guards against treating a service as one without priorities although workspaces have their own, and against
// deciding by priorities although all its requests have the same.
func TestServiceIsPrioritizedByTheRequestsThatMayReachIt(t *testing.T) {
	targets := []matcher.Target{{Service: "s", Weight: 1}}
	low, none := &matcher.Workspace{Name: "low", Priority: priority(7)}, &matcher.Workspace{Name: "none"}
	for name, e := range map[string]struct {
		routes []*matcher.Route
		keys   map[string]*matcher.Workspace
		least  int
	}{
		"no priorities":                     {[]*matcher.Route{{Targets: targets}, {Targets: targets}}, nil, 0},
		"one for all":                       {[]*matcher.Route{{Targets: targets, Priority: priority(2)}, {Targets: targets, Priority: priority(2)}}, nil, 0},
		"none counts as 5":                  {[]*matcher.Route{{Targets: targets}, {Targets: targets, Priority: priority(5)}}, nil, 0},
		"0 isn't none":                      {[]*matcher.Route{{Targets: targets}, {Targets: targets, Priority: priority(0)}}, nil, 1},
		"another service's":                 {[]*matcher.Route{{Targets: targets, Priority: priority(1)}, {Targets: []matcher.Target{{Service: "u"}}}}, nil, 0},
		"a workspace's":                     {[]*matcher.Route{{Targets: targets}}, map[string]*matcher.Workspace{"a": low, "b": none}, 1},
		"equal workspaces, unequal routes":  {[]*matcher.Route{{Targets: targets, Priority: priority(1)}, {Targets: targets}}, map[string]*matcher.Workspace{"a": low}, 1},
		"workspaces and routes":             {[]*matcher.Route{{Targets: targets, Priority: priority(1)}, {Targets: targets}}, map[string]*matcher.Workspace{"a": low, "b": none}, 3},
		"a public route takes no workspace": {[]*matcher.Route{{Targets: targets, Public: true}}, map[string]*matcher.Workspace{"a": low}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &matcher.Service{Name: "s"}
			table := &matcher.Table{Routes: e.routes, Keys: e.keys, Services: map[string]*matcher.Service{"s": s}}
			table.Index()
			must.Eq(t, e.least, s.Least)
			must.Eq(t, e.least > 0, s.Prioritized)
		})
	}
}

// Guards against a route's priority overriding its workspace's, and against workspaces of one priority that make
// all routes equal, as with three kinds of request at priorities 0, 1 and 2 and all workspaces at 1.
func TestWorkspacesPriorityGoesBeforeTheRoutes(t *testing.T) {
	targets := []matcher.Target{{Service: "s", Weight: 1}}
	live, batch := &matcher.Route{Targets: targets, Priority: priority(0)}, &matcher.Route{Targets: targets, Priority: priority(2)}
	first, second, plain := &matcher.Workspace{Name: "1", Priority: priority(0)}, &matcher.Workspace{Name: "2", Priority: priority(1)}, &matcher.Workspace{Name: "3"}
	s := &matcher.Service{Name: "s"}
	table := &matcher.Table{Routes: []*matcher.Route{batch, live}, Services: map[string]*matcher.Service{"s": s},
		Keys: map[string]*matcher.Workspace{"a": second, "b": first, "c": plain}}
	table.Index()
	var got []int
	for _, w := range []*matcher.Workspace{first, second, plain} {
		got = append(got, s.Priority(live, w), s.Priority(batch, w))
	}
	must.Eq(t, []int{0, 1, 2, 3, 4, 5}, got)
}

// Guards against priorities outside the ten levels of engines when a table has more urgencies than that.
func TestManyUrgenciesShareTheTenPriorities(t *testing.T) {
	targets := []matcher.Target{{Service: "s", Weight: 1}}
	s, table := &matcher.Service{Name: "s"}, &matcher.Table{Keys: map[string]*matcher.Workspace{}}
	table.Services = map[string]*matcher.Service{"s": s}
	for p := range 10 {
		table.Routes = append(table.Routes, &matcher.Route{Targets: targets, Priority: priority(p)})
		table.Keys[string(rune('a'+p))] = &matcher.Workspace{Priority: priority(p)}
	}
	table.Index()
	must.Eq(t, matcher.LeastUrgent, s.Least)
	for i, w := range []string{"a", "d", "j"} {
		must.Eq(t, []int{0, 3, 9}[i], s.Priority(table.Routes[0], table.Keys[w]))
	}
}
