package auditor

import "cmp"

// checkUnread checks that a request whose upstream cut its unread reply off was not sent to another
// one. It may be if something other than the caller held the reply up.
func (a *Auditor) checkUnread(r *request) {
	h := a.history
	if r.unreadBy == "" || !h.allUndisturbed(r.sentAt.Add(-h.StableWindow)) || !h.undisturbed(r.unreadBy, r.sentAt.Add(-h.StableWindow), h.now) {
		return
	}
	last := r.arrivals[len(r.arrivals)-1]
	a.check(UnreadOnce, r.ID, false, "reached %s after %s had cut its unread reply", last.upstream, r.unreadBy)
}

// urgency is the priority that the operators give a request: that of its workspace, which takes
// precedence, and of its route.
type urgency struct{ workspace, route string }

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.workspace, other.workspace), cmp.Compare(u.route, other.route))
}

// defaultPriority is the priority of a workspace without one.
const defaultPriority = "5"

// checkPriority checks the priority with which a request reaches an upstream. Whatever callers state,
// priorities at a service follow the urgencies while one table is in force. A service whose requests
// all have the same urgency gets none.
func (a *Auditor) checkPriority(r *request, e Arrived) {
	h := a.history
	route := h.route(r)
	if route == nil || len(h.tables) == 0 || e.Priority == "" {
		return
	}
	table := h.tables[len(h.tables)-1]
	since := h.now.Add(-h.ConfigApply - h.StableWindow)
	if table.confirmedAt.After(since) || !h.undisturbed(r.Entry, since, h.now) || !h.undisturbed(Core, since, h.now) {
		return
	}
	if a.prioritiesVersion != table.value.Version {
		a.prioritiesVersion, a.priorities = table.value.Version, map[string]map[urgency]string{}
	}
	u := urgency{defaultPriority, route.Priority}
	if w := table.value.Keys[r.Key]; w.Priority != "" && !route.Public {
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
