package auditor

import "cmp"

// judgeUnread judges whether a request whose reply its upstream cut off unread came to another one. It may where
// something else than the caller held the reply up.
func (a *Auditor) judgeUnread(r *request) {
	h := a.history
	if r.unreadBy == "" || !h.allUndisturbed(r.at.Add(-h.StableWindow)) || !h.undisturbed(r.unreadBy, r.at.Add(-h.StableWindow), h.now) {
		return
	}
	last := r.arrivals[len(r.arrivals)-1]
	a.check(UnreadOnce, r.ID, false, "reached %s after %s had cut its unread reply", last.upstream, r.unreadBy)
}

// urgency is what the operators say of a request: the priority of its workspace, which goes first, and of its route.
type urgency struct{ workspace, route string }

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.workspace, other.workspace), cmp.Compare(u.route, other.route))
}

// unstated is the priority of a workspace without one.
const unstated = "5"

// judgePriority judges the priority that a request reaches an upstream with. Whatever callers say, those of a service
// are in the order of their urgencies while one table is in force. Services whose requests all have the same one get none.
func (a *Auditor) judgePriority(r *request, e Arrived) {
	h := a.history
	route := h.route(r)
	if route == nil || len(h.tables) == 0 || e.Priority == "" {
		return
	}
	table := h.tables[len(h.tables)-1]
	since := h.now.Add(-h.ConfigApply - h.StableWindow)
	if table.at.After(since) || !h.undisturbed(r.Entry, since, h.now) || !h.undisturbed(Core, since, h.now) {
		return
	}
	if a.prioritiesOf != table.what.Version {
		a.prioritiesOf, a.priorities = table.what.Version, map[string]map[urgency]string{}
	}
	u := urgency{unstated, route.Priority}
	if w := table.what.Keys[r.Key]; w.Priority != "" && !route.Public {
		u.workspace = w.Priority
	}
	known := a.priorities[route.Service]
	if known == nil {
		known = map[urgency]string{}
		a.priorities[route.Service] = known
	}
	for other, priority := range known {
		ordered := cmp.Compare(e.Priority, priority) == u.compare(other)
		a.check(Priority, e.ID, ordered, "reached %s with priority %q for %v, beside %q for %v", e.Upstream, e.Priority, u, priority, other)
	}
	known[u] = e.Priority
}
