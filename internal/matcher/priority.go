package matcher

import (
	"maps"
	"slices"
)

// Priorities go from MostUrgent to LeastUrgent.
const (
	MostUrgent  = 0
	LeastUrgent = 9
	// UnstatedPriority is that of a route or workspace that states none, as engines count it.
	UnstatedPriority = 5
)

// urgency orders requests: first by the priority of their workspace, then by that of their route. Workspaces of
// equal priority would otherwise make all kinds of request equal.
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

// Priority is a request's among those that may reach the service: its place in the order of urgencies, from
// MostUrgent to Least. With more than ten urgencies neighbors share one. The workspace is nil for a request
// without one.
func (s *Service) Priority(r *Route, w *Workspace) int {
	if len(s.urgencies) == 0 {
		return UnstatedPriority
	}
	i, found := slices.BinarySearchFunc(s.urgencies, urgencyOf(r, w), urgency.compare)
	if !found {
		// Of another table than the service: as urgent as the next one known.
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

// notePriorities sets which urgencies the requests for each service may have.
func (t *Table) notePriorities() {
	reached := map[string]map[urgency]bool{}
	workspaces := t.workspaces()
	for _, r := range t.Routes {
		for _, target := range r.Targets {
			us := reached[target.Service]
			if us == nil {
				us = map[urgency]bool{}
				reached[target.Service] = us
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
	for name, us := range reached {
		if s := t.Services[name]; s != nil {
			s.urgencies = slices.SortedFunc(maps.Keys(us), urgency.compare)
			s.Prioritized = len(s.urgencies) > 1
			s.Least = s.level(max(0, len(s.urgencies)-1))
		}
	}
}

// workspaces has one workspace of each priority.
func (t *Table) workspaces() []*Workspace {
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
