package auditor

import (
	"slices"
	"time"
)

// deadlineSlack is what an upstream may be told beyond the caller's limit, and
// toleratedLonger how often it may be more.
const (
	deadlineSlack   = 500 * time.Millisecond
	toleratedLonger = 20
	// leftSlack is how long after a caller left its request may still arrive, and
	// toleratedGone how often it may be longer.
	leftSlack     = 500 * time.Millisecond
	toleratedGone = 3
	// restSlack is how long after its answer an upstream may get what was on its way, and
	// toleratedInRest how many requests more.
	restSlack       = 500 * time.Millisecond
	toleratedInRest = 2
)

// judgeArrival judges a request that reached an upstream.
func (a *Auditor) judgeArrival(e Arrived) {
	h := a.history
	r, u := h.requests[e.ID], h.upstreams[e.Upstream]
	a.check(Unchanged, e.ID, r != nil && r.Content == e.Content, "reached %s with another content or without a caller", e.Upstream)
	if r == nil || u == nil {
		return
	}
	a.judgePlace(r, u)
	a.judgeStated(r, u)
	a.judgeUnread(r)
	a.judgePriority(r, e)
	a.judgeFatal(r, u)
	a.judgeKey(r, e)
	a.judgeTables(r, u)
	a.judgeCold(r, u)
	longer := e.Left <= 0 || e.Left > r.Limit+deadlineSlack
	if longer {
		a.longer++
	}
	a.check(Deadline, e.ID, !longer || a.longer <= toleratedLonger, "told to take %v of the caller's %v", e.Left, r.Limit)
	a.judgeLeft(r, u)
	if len(r.arrivals) > 1 {
		ok, extra, allowed := a.budget.again(h, u.Service)
		a.check(Budget, e.ID, ok, "%d repeats at %s, %.0f allowed", extra, u.Service, allowed)
	}
}

// judgeLeft judges whether the caller was there still.
func (a *Auditor) judgeLeft(r *request, u *upstream) {
	h := a.history
	from := h.now.Add(-h.StableWindow)
	late := r.answer != nil && h.now.Sub(r.answeredAt) > leftSlack && h.inTouch(r.Entry, h.now) && h.undisturbed(u.Upstream, from, h.now)
	if late {
		a.gone++
	}
	a.check(Gone, r.ID, !late || a.gone <= toleratedGone, "reached %s %v after its caller had left", u.Upstream, h.now.Sub(r.answeredAt))
}

// judgeStated judges whether an entry keeps to what upstreams stated to it: a request that came to one
// of a service might have come to each other one as well.
func (a *Auditor) judgeStated(r *request, u *upstream) {
	h := a.history
	e := h.entry(r.Entry)
	for id, stated := range e.leavingStated {
		if h.serves(id, u.Service) {
			late := r.at.Sub(stated)
			a.check(LeavingStated, r.ID, id != u.Upstream || late <= h.Drain, "reached %s by %s, sent %v after it said that it leaves", id, r.Entry, late)
		}
	}
	for id, rests := range e.rests {
		if !h.serves(id, u.Service) {
			continue
		}
		for _, s := range rests {
			a.judgeRest(r, id, s, id == u.Upstream)
		}
	}
}

// judgeRest judges a request by what an upstream had asked of its entry; arrived tells that it came to
// that upstream.
func (a *Auditor) judgeRest(r *request, upstream string, s *rest, arrived bool) {
	h := a.history
	if h.now.Before(s.asked.Add(restSlack)) || !h.now.Before(s.until) {
		return
	}
	if !h.undisturbed(r.Entry, s.asked, h.now) || !h.undisturbed(upstream, s.asked.Add(-h.StableWindow), h.now) {
		return
	}
	if arrived {
		s.arrived++
	}
	a.check(Rest, r.ID, !arrived || s.arrived <= toleratedInRest, "reached %s by %s, %d in its rest", upstream, r.Entry, s.arrived)
}

// serves tells whether an upstream is of a service.
func (h *history) serves(id, service string) bool {
	u := h.upstreams[id]
	return u != nil && u.Service == service
}

// judgePlace judges the upstream that was chosen.
func (a *Auditor) judgePlace(r *request, u *upstream) {
	h := a.history
	bound := h.inTouch(r.Entry, h.now) && h.inTouch(r.Entry, r.at) && h.undisturbed(u.Upstream, h.now.Add(-h.StableWindow), h.now)
	if bound && h.leaving() {
		late := h.late(u.leftAt)
		a.check(Drain, r.ID, late <= h.Drain, "reached %s by %s %v after it left", u.Upstream, r.Entry, late)
	}
	if bound && h.drainedForLong() {
		late := h.late(h.drained[u.FailureDomain])
		a.check(Evacuation, r.ID, late <= h.Evacuate, "reached %s in %s by %s %v after its draining", u.Upstream, u.FailureDomain, r.Entry, late)
	}
	for _, regions := range h.homes(r) {
		a.check(Home, r.ID, slices.Contains(regions, u.Region), "reached %s in %s, allowed are %v", u.Upstream, u.Region, regions)
	}
}

// leaving tells whether any upstream has left, so that there is something to avoid.
func (h *history) leaving() bool {
	for _, u := range h.upstreams {
		if !u.leftAt.IsZero() {
			return true
		}
	}
	return false
}

// drainedForLong tells whether a failure domain is drained for longer than the bound, so that a
// request there would break it.
func (h *history) drainedForLong() bool {
	for _, at := range h.drained {
		if h.late(at) > h.Evacuate {
			return true
		}
	}
	return false
}

// late is how long ago a confirmation began to bind; 0 for none.
func (h *history) late(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return 0
	}
	return h.now.Sub(h.binding(confirmed))
}

// homes lists the regions that bind a request.
func (h *history) homes(r *request) [][]string {
	var all [][]string
	if route := h.route(r); route != nil && len(route.Regions) > 0 {
		all = append(all, route.Regions)
	}
	for i := len(h.tables) - 1; i >= 0; i-- {
		if w, ok := h.tables[i].what.Keys[r.Key]; ok {
			if len(w.Regions) > 0 {
				all = append(all, w.Regions)
			}
			break
		}
	}
	return all
}

func (a *Auditor) judgeKey(r *request, e Arrived) {
	if route := a.history.route(r); route != nil && route.Public {
		return
	}
	right := false
	for _, t := range a.history.tables {
		w, ok := t.what.Keys[r.Key]
		right = right || ok && w.Name == e.Workspace
	}
	a.check(Keys, r.ID, right && e.Key == "", "reached %s for workspace %q with key %q", e.Upstream, e.Workspace, e.Key)
}

// judgeTables judges by which route tables a request may be where it is.
func (a *Auditor) judgeTables(r *request, u *upstream) {
	h := a.history
	ever := slices.ContainsFunc(h.tablesFrom(0), func(t Table) bool { return t.allows(r, u.Service) })
	a.check(Config, r.ID, ever, "reached %s, which no table ever allowed", u.Service)
	if !ever {
		return
	}
	if h.inTouch(r.Entry, h.now) && h.inTouch(r.Entry, r.at) {
		may := slices.ContainsFunc(h.inForce(r.at), func(t Table) bool { return t.allows(r, u.Service) })
		a.check(Config, r.ID, may, "%s at %s by %s is as only an older table allows", r.Path, u.Service, r.Entry)
	}
	a.judgeRegress(r, u)
}

// judgeRegress judges whether an entry went back behind a table that it had shown.
func (a *Auditor) judgeRegress(r *request, u *upstream) {
	h := a.history
	var least, most uint64
	for _, t := range h.tables {
		if t.what.allows(r, u.Service) {
			if least == 0 {
				least = t.what.Version
			}
			most = t.what.Version
		}
	}
	e := h.entry(r.Entry)
	if e.shown > 0 && r.at.After(e.shownAt.Add(h.RollbackSlack)) && r.at.After(e.startedAt) {
		a.check(Regress, r.ID, most >= e.shown, "%s follows table %d after it showed %d", r.Entry, most, e.shown)
	}
	if least > e.shown && r.at.After(e.startedAt) {
		e.shown, e.shownAt = least, h.now
	}
}

func (a *Auditor) judgeCold(r *request, u *upstream) {
	h := a.history
	if !h.now.Before(u.coldUntil) {
		return
	}
	u.recent = slices.DeleteFunc(u.recent, func(t time.Time) bool { return h.now.Sub(t) >= time.Second })
	// Only what was sent within the same second counts.
	if h.now.Sub(r.at) < time.Second {
		u.recent = append(u.recent, h.now)
	}
	most := u.ColdRate*h.ColdFactor + h.ColdSlack
	a.check(Cold, r.ID, float64(len(u.recent)) <= most, "%d in a second at cold %s, %.0f allowed", len(u.recent), u.Upstream, most)
}
