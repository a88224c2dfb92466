package matcher

import "math/bits"

// Priorities go from MostUrgent to LeastUrgent.
const (
	MostUrgent  = 0
	LeastUrgent = 9
	// UnstatedPriority is that of a request for which neither its workspace nor its route has one, as
	// engines count it.
	UnstatedPriority = 5
)

// PriorityOf is a request's priority: its workspace's if it has one, else its route's. The workspace is nil
// for a request without one.
func PriorityOf(r *Route, w *Workspace) int {
	switch {
	case w != nil && w.Priority != nil:
		return *w.Priority
	case r.Priority != nil:
		return *r.Priority
	default:
		return UnstatedPriority
	}
}

// prioritySet has a bit for each priority.
type prioritySet uint16

func (s *prioritySet) add(priority int) { *s |= 1 << min(max(priority, MostUrgent), LeastUrgent) }

func (s prioritySet) most() int { return bits.TrailingZeros16(uint16(s)) }

func (s prioritySet) least() int { return bits.Len16(uint16(s)) - 1 }

// notePriorities sets which priorities the requests for each service may have.
func (t *Table) notePriorities() {
	reached := map[string]prioritySet{}
	stated, unstated := t.workspacePriorities()
	for _, r := range t.Routes {
		var s prioritySet
		if r.Public || unstated {
			s.add(PriorityOf(r, nil))
		}
		if !r.Public {
			s |= stated
		}
		for _, target := range r.Targets {
			reached[target.Service] |= s
		}
	}
	for name, s := range reached {
		service := t.Services[name]
		if service == nil || s == 0 {
			continue
		}
		service.Most, service.Least = s.most(), s.least()
		service.Prioritized = service.Most != service.Least
	}
}

// workspacePriorities are those that workspaces state, and whether a request may come from one that states
// none.
func (t *Table) workspacePriorities() (stated prioritySet, unstated bool) {
	for _, w := range t.Keys {
		if w.Priority == nil {
			unstated = true
			continue
		}
		stated.add(*w.Priority)
	}
	return stated, unstated || t.Keys == nil
}
