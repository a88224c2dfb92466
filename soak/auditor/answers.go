package auditor

import (
	"slices"
	"time"
)

const (
	// toleratedLosses is how many requests on kept connections entries may lose, and toleratedDenials how
	// many requests entries without current confirmation may deny.
	toleratedLosses  = 3
	toleratedDenials = 10
	// toleratedStaleListings is how often a directory may list an entry that exited more than staleAfter plus the
	// stable window ago.
	toleratedStaleListings = 3
	staleAfter             = 3 * time.Second
	// graceSlack is how long after the grace period a request still counts as overlapping a stop.
	graceSlack = time.Second
	// answerMargin is how long before the caller's limit an entry may give up, so that its answer
	// still arrives in time.
	answerMargin = 30 * time.Millisecond
)

// checkAnswer checks the answer that a caller received.
func (a *Auditor) checkAnswer(e Answered) {
	r := a.history.requests[e.ID]
	if r == nil {
		return
	}
	if route := a.history.route(r); route != nil && route.Once && guaranteesNoRun(e.Status) {
		a.check(Refusal, e.ID, len(r.runs) == 0, "refused with %d and has run at %d upstreams", e.Status, len(r.runs))
	}
	a.checkIntegrity(r, e)
	a.checkDenial(r, e)
	a.checkLoss(r, e)
	a.checkReplied(r, e)
	a.checkFlood(r, e)
}

func (a *Auditor) checkIntegrity(r *request, e Answered) {
	switch {
	case e.Status == 0:
		return
	case e.Upstream != "" || e.Forged:
		a.check(Whole, e.ID, !e.Forged && e.Names == e.ID, "status %d of %q bears a seal that does not fit", e.Status, e.Names)
		a.check(Whole, e.ID, slices.ContainsFunc(r.runs, func(x run) bool { return x.upstream == e.Upstream }), "sealed by %s, which did not run it", e.Upstream)
	default:
		a.check(Whole, e.ID, e.Status/100 != 2, "status %d without a seal", e.Status)
	}
	if e.Status/100 != 2 {
		return
	}
	a.check(Whole, e.ID, !e.WrongBody, "body is not the one of %s", e.Upstream)
	if slices.ContainsFunc(r.runs, func(x run) bool { return x.broken }) {
		a.check(Cut, e.ID, !e.Whole || r.completeIn(e), "reply of %s ends as complete", e.Upstream)
	}
	if r.Events > 0 {
		a.checkStream(r, e)
	}
}

// completeIn reports whether an answer contains everything that the request asked for.
func (r *request) completeIn(e Answered) bool {
	return !e.WrongBody && (r.Events == 0 || r.After+len(e.Parts) == r.Events)
}

func (a *Auditor) checkStream(r *request, e Answered) {
	next := r.After + 1
	for i, p := range e.Parts {
		a.check(Whole, e.ID, !p.Foreign, "event %d is of another request", p.Number)
		a.check(Stream, e.ID, p.Number == next+i && p.Version == e.Parts[0].Version,
			"event %d on weights %d comes as number %d of a stream on %d", p.Number, p.Version, next+i, e.Parts[0].Version)
	}
	if r.failed > 1 {
		a.check(FailedTwice, e.ID, !e.Whole || r.streamCompleteIn(e), "ends as complete with events %v, %d to %d are due", e.Parts, r.After+1, r.Events)
	}
	if e.Whole {
		a.check(Stream, e.ID, r.After+len(e.Parts) == r.Events, "ends as complete after %d of %d events", r.After+len(e.Parts), r.Events)
	}
}

// streamCompleteIn reports whether an answer has each requested event once, in order and from one version.
func (r *request) streamCompleteIn(e Answered) bool {
	for i, p := range e.Parts {
		if p.Foreign || p.Number != r.After+1+i || p.Version != e.Parts[0].Version {
			return false
		}
	}
	return r.completeIn(e)
}

// checkDenial checks the statuses with which an entry denies a request.
func (a *Auditor) checkDenial(r *request, e Answered) {
	h := a.history
	current := h.boundsApply(r.Entry, h.now) && h.boundsApply(r.Entry, r.sentAt)
	denied := e.Upstream == "" && (e.Status == 401 || e.Status == 403 || e.Status == 404)
	allows := func(t Table) bool { return t.allows(r, "") }
	allAllow := !slices.ContainsFunc(h.tablesFrom(0), func(t Table) bool { return !allows(t) })
	switch {
	case !denied:
		a.checked[Denial]++
	case current:
		someDenies := slices.ContainsFunc(h.tablesInForce(r.sentAt), func(t Table) bool { return !allows(t) })
		a.check(Denial, e.ID, someDenies, "%s denied with %d by %s, which every table in force allows", r.Path, e.Status, r.Entry)
	case allAllow:
		a.denied++
		a.check(Denial, e.ID, a.denied <= toleratedDenials, "%s denied with %d by %s, which every table allows", r.Path, e.Status, r.Entry)
	}
}

// checkLoss checks connections that end without a complete answer.
func (a *Auditor) checkLoss(r *request, e Answered) {
	h := a.history
	from, planned := h.overlapsPlannedStop(r)
	expired := e.Expired || h.now.Sub(r.sentAt) >= r.Limit-answerMargin
	lost := !e.Whole && !expired && !h.excused(r)
	read := len(r.arrivals) > 0 || h.now.Sub(r.sentAt) > h.LossSlack
	if planned && h.undisturbed(r.Entry, from, h.now) {
		a.check(Graceful, e.ID, !lost || !read, "cut by %s beside a stop or reload", r.Entry)
		return
	}
	if !r.Kept || !h.boundsApply(r.Entry, h.now) {
		return
	}
	lost = lost && len(r.arrivals) > 0
	if lost {
		a.lost++
	}
	a.check(Kept, e.ID, !lost || a.lost <= toleratedLosses, "lost by %s on a kept connection", r.Entry)
}

// checkReplied checks that a request got its complete answer or a status that reports a failure.
// Neither a pause of an upstream nor a change of the route table excuses a running entry.
func (a *Auditor) checkReplied(r *request, e Answered) {
	h := a.history
	expired := e.Expired || h.now.Sub(r.sentAt) >= r.Limit-answerMargin
	read := len(r.arrivals) > 0 || h.now.Sub(r.sentAt) > h.LossSlack
	excused := expired || !read || h.halted(r.Entry, r.sentAt, h.now) || len(r.runs) > 0 && !h.hasIntactRun(r)
	a.check(Replied, e.ID, e.Whole || excused, "ended by %s after %v, status %d, with %d runs", r.Entry, h.now.Sub(r.sentAt), e.Status, len(r.runs))
}

// hasIntactRun reports whether an upstream that ran a request would have completed it. If an upstream sent
// events and then broke off, the entry had already dropped the other upstreams' replies.
func (h *history) hasIntactRun(r *request) bool {
	if slices.ContainsFunc(r.runs, func(x run) bool { return x.broken && x.events > 0 }) {
		return false
	}
	return slices.ContainsFunc(r.runs, func(x run) bool {
		return !x.broken && !x.failed && h.undisturbed(x.upstream, r.sentAt, h.now) && !h.reportFlooded(x.upstream, r.sentAt)
	})
}

// overlapsPlannedStop reports whether a request overlapped a stop or reload of its entry, and the time since which
// the entry must have been undisturbed for the check to apply.
func (h *history) overlapsPlannedStop(r *request) (from time.Time, ok bool) {
	e := h.entry(r.Entry)
	stop := !e.stoppingAt.IsZero() && !h.now.Before(e.stoppingAt) && h.now.Before(e.stoppingAt.Add(h.Grace+graceSlack))
	reload := !e.hungUpAt.IsZero() && r.sentAt.Before(e.hungUpAt.Add(h.ConfigApply)) && h.now.After(e.hungUpAt)
	return r.sentAt.Add(-h.StableWindow), stop || reload
}

// excused reports whether an upstream of the request broke it off, was disturbed meanwhile or could
// not show that it was running.
func (h *history) excused(r *request) bool {
	for _, x := range r.runs {
		if x.broken || h.reportFlooded(x.upstream, r.sentAt) {
			return true
		}
	}
	for _, x := range r.arrivals {
		if !h.undisturbed(x.upstream, r.sentAt.Add(-h.StableWindow), h.now) {
			return true
		}
	}
	return false
}

// checkDirectory checks the entries that a directory lists.
func (a *Auditor) checkDirectory(e DirectoryAnswered) {
	h := a.history
	if !h.boundsApply(e.Entry, h.now) {
		return
	}
	gone := slices.ContainsFunc(e.Names, func(name string) bool {
		x := h.entry(name)
		return !x.exitedAt.IsZero() && h.now.Sub(x.exitedAt) > h.StableWindow+staleAfter
	})
	if gone {
		a.staleListings++
	}
	a.check(Directory, "", !gone || a.staleListings <= toleratedStaleListings, "%s names entries that are gone: %v", e.Entry, e.Names)
}

// Finish checks that requests sent after a time at which all faults had long ended were served.
func (a *Auditor) Finish(since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.checkSoundRequests()
	served, all := 0, 0
	for _, r := range a.history.requests {
		if r.sentAt.Before(since) || r.answer == nil || r.Fatal != "" {
			continue
		}
		all++
		if r.answer.Status/100 == 2 && r.answer.Whole {
			served++
		}
	}
	a.check(Recovery, "", served*recoveredFraction >= all && all > 0, "%d of %d requests served", served, all)
}

// recoveredFraction requires that one in this many requests is served after the faults.
const recoveredFraction = 4
