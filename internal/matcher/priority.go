package matcher

import (
	"maps"
	"slices"
)

// Priorities range from MostUrgent to LeastUrgent.
const (
	MostUrgent  = 0
	LeastUrgent = 9
	// UnstatedPriority is the priority of a route or workspace without one, as engines count
	// it.
	UnstatedPriority = 5
)

// urgency orders requests first by the priority of their workspace, then by that of their route. By the
// workspace alone, all kinds of request of workspaces of equal priority would be equal.
type urgency struct{ workspace, route int }

func (u urgency) compare(other urgency) int {
	if u.workspace != other.workspace {
		return u.workspace - other.workspace
	}
	return u.route - other.route
}

func urgencyOf(r *Route, w *Workspace) urgency {
	u := urgency{UnstatedPriority, UnstatedPriority}
	if w != nil && w.Priority != nil {
		u.workspace = *w.Priority
	}
	if r.Priority != nil {
		u.route = *r.Priority
	}
	return u
}

// Priority returns a request's rank in the order of the urgencies that may reach the service, from
// MostUrgent to Least. With more than ten urgencies adjacent ones share a rank. The workspace is nil for a
// request without one.
func (s *Service) Priority(r *Route, w *Workspace) int {
	if len(s.urgencies) == 0 {
		return UnstatedPriority
	}
	i, found := slices.BinarySearchFunc(s.urgencies, urgencyOf(r, w), urgency.compare)
	if !found {
		// The urgency comes from another table than the service: use the next
		// known one.
		i = min(i, len(s.urgencies)-1)
	}
	return s.level(i)
}

func (s *Service) level(i int) int {
	const levels = LeastUrgent - MostUrgent + 1
	if n := len(s.urgencies); n > levels {
		return i * levels / n
	}
	return i
}

// setPriorities sets the urgencies that the requests for each service may have.
func (t *Table) setPriorities() {
	urgenciesOf := map[string]map[urgency]bool{}
	workspaces := t.workspacePerPriority()
	for _, r := range t.Routes {
		for _, target := range r.Targets {
			us := urgenciesOf[target.Service]
			if us == nil {
				us = map[urgency]bool{}
				urgenciesOf[target.Service] = us
			}
			if r.Public || t.Keys == nil {
				us[urgencyOf(r, nil)] = true
				continue
			}
			for _, w := range workspaces {
				us[urgencyOf(r, w)] = true
			}
		}
	}
	for name, us := range urgenciesOf {
		if s := t.Services[name]; s != nil {
			s.urgencies = slices.SortedFunc(maps.Keys(us), urgency.compare)
			s.Prioritized = len(s.urgencies) > 1
			s.Least = s.level(max(0, len(s.urgencies)-1))
		}
	}
}

// workspacePerPriority returns one workspace of each priority.
func (t *Table) workspacePerPriority() []*Workspace {
	var ws []*Workspace
	seen := map[int]bool{}
	for _, w := range t.Keys {
		if p := urgencyOf(&Route{}, w).workspace; !seen[p] {
			seen[p] = true
			ws = append(ws, w)
		}
	}
	return ws
}
