package auditor

import (
	"slices"
	"time"
)

// checkRun checks a request that starts to run.
func (a *Auditor) checkRun(e RunStarted) {
	h := a.history
	r, u := h.requests[e.ID], h.upstreams[e.Upstream]
	if r == nil || u == nil {
		return
	}
	route := h.route(r)
	if route != nil && route.Once {
		a.check(Once, e.ID, len(r.runs) == 1, "run %d times, last at %s", len(r.runs), e.Upstream)
	}
	if route != nil && r.answer != nil {
		a.check(Refusal, e.ID, !route.Once || !guaranteesNoRun(r.answer.Status), "runs at %s after it was refused with %d", e.Upstream, r.answer.Status)
	}
	if route != nil {
		a.check(Attempts, e.ID, h.undisturbedRuns(r) <= route.Attempts, "runs at %d upstreams, %d allowed", len(r.runs), route.Attempts)
	}
	if e.Version == 0 {
		return
	}
	a.check(Weights, e.ID, !e.Spoilt, "begins at %s on weights %d that were loaded from wrong bytes", e.Upstream, e.Version)
	a.checkVersion(r, e)
}

const (
	// overrunFraction limits the share of abandoned runs, one in this many, that may continue for longer than
	// departureSlack, and toleratedOverrun is how many may in any case.
	overrunFraction  = 4
	toleratedOverrun = 3
)

// checkRunEnd checks how long a run continued after its caller had left. Only runs that would have lasted
// longer than that count.
func (a *Auditor) checkRunEnd(e RunEnded) {
	h := a.history
	r := h.requests[e.ID]
	if r == nil || r.answer == nil || !r.answer.Expired {
		return
	}
	i := slices.IndexFunc(r.runs, func(x run) bool { return x.upstream == e.Upstream })
	from := r.answeredAt.Add(-h.StableWindow)
	if i < 0 || !h.boundsApply(r.Entry, h.now) || !h.undisturbed(r.Entry, from, h.now) || !h.undisturbed(e.Upstream, from, h.now) {
		return
	}
	if !r.runs[i].startedAt.Add(r.Lasts).After(r.answeredAt.Add(departureSlack)) {
		return
	}
	a.abandoned++
	after := h.now.Sub(r.answeredAt)
	if after > departureSlack {
		a.overrun++
	}
	kept := after <= departureSlack || a.overrun <= toleratedOverrun || a.overrun*overrunFraction <= a.abandoned
	a.check(Abandoned, e.ID, kept, "%s worked for %v after the caller had left, as on %d of %d", e.Upstream, after, a.overrun, a.abandoned)
}

// checkReload checks the result of a process reloading its settings.
func (a *Auditor) checkReload(e Reloaded) {
	h := a.history
	x := h.entry(e.Wanted.Who)
	if !x.stoppingAt.IsZero() || !h.undisturbed(e.Wanted.Who, x.hungUpAt.Add(-h.StableWindow), h.now) {
		return
	}
	a.check(Reload, "", e.Said == e.Wanted, "%s made %+v of settings that are %+v", e.Wanted.Who, e.Said, e.Wanted)
}

// undisturbedRuns counts the undisturbed upstreams that ran a request.
func (h *history) undisturbedRuns(r *request) int {
	n := 0
	for _, x := range r.runs {
		if !x.broken && h.undisturbed(x.upstream, x.startedAt, h.now) {
			n++
		}
	}
	return n
}

// checkVersion checks the weights on which a request starts. The bound applies within one period in
// which the store was stable, and not to a request that a faulty link may have delayed. The store is
// stable once it has been undisturbed for the stable window: a call that it left unanswered may end up
// to 1.9 s after the store is back, and a process that then receives an announcement cannot determine
// its time within that period.
func (a *Auditor) checkVersion(r *request, e RunStarted) {
	h := a.history
	if !h.boundsApply(r.Entry, h.now) || !h.undisturbed(e.Upstream, h.now.Add(-h.StableWindow), h.now) {
		return
	}
	for _, n := range h.announced {
		if n.value <= e.Version {
			continue
		}
		from := n.confirmedAt
		if since := h.undisturbedSince(Core, h.now); !since.IsZero() && since.Add(h.StableWindow).After(from) {
			from = since.Add(h.StableWindow)
		}
		age := h.now.Sub(from)
		a.check(Version, e.ID, age <= h.Weights, "begins at %s on weights %d by %s %v after %d was named", e.Upstream, e.Version, r.Entry, age, n.value)
		return
	}
	a.checked[Version]++
}

// guaranteesNoRun reports whether a status promises that the request never runs.
func guaranteesNoRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// budget counts arrivals beyond the first of each request.
type budget struct {
	firsts, repeats map[string][]time.Time
}

func (b *budget) addRequest(h *history, r *request) {
	if b.firsts == nil {
		b.firsts, b.repeats = map[string][]time.Time{}, map[string][]time.Time{}
	}
	if route := h.route(r); route != nil {
		b.firsts[route.Service] = append(b.firsts[route.Service], h.now)
	}
}

// addRepeat records one more arrival at a service and checks the window that ends with it. The requests
// are those of that window, the one before it or the one half a window before, whichever has most.
func (b *budget) addRepeat(h *history, service string) (ok bool, extra int, allowed float64) {
	b.repeats[service] = append(b.repeats[service], h.now)
	extra = countWithin(b.repeats[service], h.now.Add(-h.RetryWindow), h.now)
	requests := 0
	for _, back := range []time.Duration{0, h.RetryWindow / 2, h.RetryWindow} {
		end := h.now.Add(-back)
		requests = max(requests, countWithin(b.firsts[service], end.Add(-h.RetryWindow), end))
	}
	allowed = h.RetryRatio*float64(requests) + h.RetrySlack
	return float64(extra) <= allowed, extra, allowed
}

func countWithin(ts []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range ts {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
