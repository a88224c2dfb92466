package auditor

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

// judgePriority judges the priority that a request reaches an upstream with: the operators' for its workspace, or its
// route, whatever its caller says. Services whose requests all have the same one get none.
func (a *Auditor) judgePriority(r *request, e Arrived) {
	h := a.history
	route := h.route(r)
	if route == nil || len(h.tables) == 0 {
		return
	}
	want := route.Priority
	if w := h.tables[len(h.tables)-1].what.Keys[r.Key]; w.Priority != "" && !route.Public {
		want = w.Priority
	}
	a.check(Priority, e.ID, e.Priority == "" || e.Priority == want, "reached %s with priority %q, not %q", e.Upstream, e.Priority, want)
}
