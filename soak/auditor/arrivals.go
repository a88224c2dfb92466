package auditor

import (
	"slices"
	"time"
)

// deadlineSlack is how far the time limit sent to an upstream may exceed the caller's, and
// toleratedLonger how often it may exceed that.
const (
	deadlineSlack   = 500 * time.Millisecond
	toleratedLonger = 20
	// departureSlack is how long after its caller left a request may still arrive, and toleratedGone how
	// often it may take longer.
	departureSlack = 500 * time.Millisecond
	toleratedGone  = 3
	// backoffSlack is how long after an upstream's answer requests already in transit may arrive, and
	// toleratedInBackoff how many more may.
	backoffSlack       = 500 * time.Millisecond
	toleratedInBackoff = 2
)

// checkArrival checks a request that reached an upstream.
func (a *Auditor) checkArrival(e Arrived) {
	h := a.history
	r, u := h.requests[e.ID], h.upstreams[e.Upstream]
	a.check(Unchanged, e.ID, r != nil && r.Content == e.Content, "reached %s with another content or without a caller", e.Upstream)
	if r == nil || u == nil {
		return
	}
	a.checkPlacement(r, u)
	a.checkUpstreamStatements(r, u)
	a.checkUnread(r)
	a.checkPriority(r, e)
	a.checkFatal(r, u)
	a.checkKey(r, e)
	a.checkTables(r, u)
	a.checkCold(r, u)
	exceeds := e.Left <= 0 || e.Left > r.Limit+deadlineSlack
	if exceeds {
		a.longerLimits++
	}
	a.check(Deadline, e.ID, !exceeds || a.longerLimits <= toleratedLonger, "told to take %v of the caller's %v", e.Left, r.Limit)
	a.checkDeparted(r, u)
	if len(r.arrivals) > 1 {
		ok, extra, allowed := a.budget.addRepeat(h, u.Service)
		a.check(Budget, e.ID, ok, "%d repeats at %s, %.0f allowed", extra, u.Service, allowed)
	}
}

// checkDeparted checks that the caller was still waiting.
func (a *Auditor) checkDeparted(r *request, u *upstream) {
	h := a.history
	from := h.now.Add(-h.StableWindow)
	afterDeparture := r.answer != nil && h.now.Sub(r.answeredAt) > departureSlack && h.boundsApply(r.Entry, h.now) && h.undisturbed(u.Upstream, from, h.now)
	if afterDeparture {
		a.departed++
	}
	a.check(Gone, r.ID, !afterDeparture || a.departed <= toleratedGone, "reached %s %v after its caller had left", u.Upstream, h.now.Sub(r.answeredAt))
}

// checkUpstreamStatements checks that an entry respects what upstreams reported to it. A request that reached one
// upstream of a service might have reached any other one as well.
func (a *Auditor) checkUpstreamStatements(r *request, u *upstream) {
	h := a.history
	e := h.entry(r.Entry)
	for id, stated := range e.leavingStated {
		if h.serves(id, u.Service) {
			late := r.sentAt.Sub(stated)
			a.check(LeavingStated, r.ID, id != u.Upstream || late <= h.Drain, "reached %s by %s, sent %v after it said that it leaves", id, r.Entry, late)
		}
	}
	for id, backoffs := range e.backoffs {
		if !h.serves(id, u.Service) {
			continue
		}
		for _, s := range backoffs {
			a.checkBackoff(r, id, s, id == u.Upstream)
		}
	}
}

// checkBackoff checks a request against a backoff that an upstream asked of its entry; arrived is set if
// the request reached that upstream.
func (a *Auditor) checkBackoff(r *request, upstream string, s *backoff, arrived bool) {
	h := a.history
	if h.now.Before(s.asked.Add(backoffSlack)) || !h.now.Before(s.until) {
		return
	}
	if !h.undisturbed(r.Entry, s.asked, h.now) || !h.undisturbed(upstream, s.asked.Add(-h.StableWindow), h.now) {
		return
	}
	if arrived {
		s.arrived++
	}
	a.check(Backoff, r.ID, !arrived || s.arrived <= toleratedInBackoff, "reached %s by %s, %d in its rest", upstream, r.Entry, s.arrived)
}

// serves reports whether an upstream belongs to a service.
func (h *history) serves(id, service string) bool {
	u := h.upstreams[id]
	return u != nil && u.Service == service
}

// checkPlacement checks the chosen upstream.
func (a *Auditor) checkPlacement(r *request, u *upstream) {
	h := a.history
	binding := h.boundsApply(r.Entry, h.now) && h.boundsApply(r.Entry, r.sentAt) && h.undisturbed(u.Upstream, h.now.Add(-h.StableWindow), h.now)
	if binding && h.anyLeft() {
		late := h.sinceBinding(u.leftAt)
		a.check(Drain, r.ID, late <= h.Drain, "reached %s by %s %v after it left", u.Upstream, r.Entry, late)
	}
	if binding && h.anyDrainedPastBound() {
		late := h.sinceBinding(h.drained[u.FailureDomain])
		a.check(Evacuation, r.ID, late <= h.Evacuate, "reached %s in %s by %s %v after its draining", u.Upstream, u.FailureDomain, r.Entry, late)
	}
	for _, regions := range h.regionLimits(r) {
		a.check(Home, r.ID, slices.Contains(regions, u.Region), "reached %s in %s, allowed are %v", u.Upstream, u.Region, regions)
	}
}

// anyLeft reports whether any upstream has left, so that entries have one to avoid.
func (h *history) anyLeft() bool {
	for _, u := range h.upstreams {
		if !u.leftAt.IsZero() {
			return true
		}
	}
	return false
}

// anyDrainedPastBound reports whether a failure domain has been drained for longer than the bound, so that
// a request to it would break the promise.
func (h *history) anyDrainedPastBound() bool {
	for _, at := range h.drained {
		if h.sinceBinding(at) > h.Evacuate {
			return true
		}
	}
	return false
}

// sinceBinding returns how long ago a confirmation became binding; 0 for none.
func (h *history) sinceBinding(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return 0
	}
	return h.now.Sub(h.bindingSince(confirmed))
}

// regionLimits lists the region restrictions that apply to a request.
func (h *history) regionLimits(r *request) [][]string {
	var all [][]string
	if route := h.route(r); route != nil && len(route.Regions) > 0 {
		all = append(all, route.Regions)
	}
	for i := len(h.tables) - 1; i >= 0; i-- {
		if w, ok := h.tables[i].value.Keys[r.Key]; ok {
			if len(w.Regions) > 0 {
				all = append(all, w.Regions)
			}
			break
		}
	}
	return all
}

func (a *Auditor) checkKey(r *request, e Arrived) {
	if route := a.history.route(r); route != nil && route.Public {
		return
	}
	right := false
	for _, t := range a.history.tables {
		w, ok := t.value.Keys[r.Key]
		right = right || ok && w.Name == e.Workspace
	}
	a.check(Keys, r.ID, right && e.Key == "", "reached %s for workspace %q with key %q", e.Upstream, e.Workspace, e.Key)
}

// checkTables checks that a route table allows a request at its upstream.
func (a *Auditor) checkTables(r *request, u *upstream) {
	h := a.history
	everAllowed := slices.ContainsFunc(h.tablesFrom(0), func(t Table) bool { return t.allows(r, u.Service) })
	a.check(Config, r.ID, everAllowed, "reached %s, which no table ever allowed", u.Service)
	if !everAllowed {
		return
	}
	if h.boundsApply(r.Entry, h.now) && h.boundsApply(r.Entry, r.sentAt) {
		allowed := slices.ContainsFunc(h.tablesInForce(r.sentAt), func(t Table) bool { return t.allows(r, u.Service) })
		a.check(Config, r.ID, allowed, "%s at %s by %s is as only an older table allows", r.Path, u.Service, r.Entry)
	}
	a.checkRegress(r, u)
}

// checkRegress checks that an entry does not return to a table older than one that its answers showed.
func (a *Auditor) checkRegress(r *request, u *upstream) {
	h := a.history
	var oldest, newest uint64
	for _, t := range h.tables {
		if t.value.allows(r, u.Service) {
			if oldest == 0 {
				oldest = t.value.Version
			}
			newest = t.value.Version
		}
	}
	e := h.entry(r.Entry)
	if e.shownVersion > 0 && r.sentAt.After(e.shownAt.Add(h.RollbackSlack)) && r.sentAt.After(e.startedAt) {
		a.check(Regress, r.ID, newest >= e.shownVersion, "%s follows table %d after it showed %d", r.Entry, newest, e.shownVersion)
	}
	if oldest > e.shownVersion && r.sentAt.After(e.startedAt) {
		e.shownVersion, e.shownAt = oldest, h.now
	}
}

func (a *Auditor) checkCold(r *request, u *upstream) {
	h := a.history
	if !h.now.Before(u.coldUntil) {
		return
	}
	u.recent = slices.DeleteFunc(u.recent, func(t time.Time) bool { return h.now.Sub(t) >= time.Second })
	// Only requests sent within the same second count.
	if h.now.Sub(r.sentAt) < time.Second {
		u.recent = append(u.recent, h.now)
	}
	limit := u.ColdRate*h.ColdFactor + h.ColdSlack
	a.check(Cold, r.ID, float64(len(u.recent)) <= limit, "%d in a second at cold %s, %.0f allowed", len(u.recent), u.Upstream, limit)
}
