package auditor

import (
	"slices"
	"time"
)

const (
	// fatalCrashes is the number of crashes after which requests with a part may still be sent for the
	// stable window, and toleratedLateFatal how many may reach upstreams later.
	fatalCrashes       = 5
	toleratedLateFatal = 3
	// minFatalRequests is how many requests with a fatal part, sent over longer than that, are needed to
	// check the promise.
	minFatalRequests = 20
	// minSoundRequests is how many sound requests a comparison needs both with and without a fatal part, and
	// soundFraction the share, one in this many, that must start at least.
	minSoundRequests = 20
	soundFraction    = 2
)

// fatalPart tracks a part of prompts that crashes upstreams.
type fatalPart struct {
	crashes []time.Time
	// first and last are when requests with it were sent, sent is their number, and late how many
	// reached upstreams although they were sent too late.
	first, last time.Time
	sent, late  int
	route       *Route
}

// recordFatal records events that concern fatal parts.
func (h *history) recordFatal(e Event) {
	switch e := e.(type) {
	case Crashed:
		if f := h.fatal[e.Part]; f != nil {
			f.crashes = append(f.crashes, h.now)
		}
	case Sent:
		if e.Fatal == "" {
			return
		}
		f := h.fatal[e.Fatal]
		if f == nil {
			f = &fatalPart{first: h.now, route: h.route(h.requests[e.ID])}
			h.fatal[e.Fatal] = f
		}
		f.sent++
		f.last = h.now
	}
}

// knownAt returns when the system had seen enough crashes; false if it has not.
func (f *fatalPart) knownAt() (time.Time, bool) {
	if len(f.crashes) < fatalCrashes {
		return time.Time{}, false
	}
	return f.crashes[fatalCrashes-1], true
}

// checkFatal checks a request with a fatal part that reached an upstream.
func (a *Auditor) checkFatal(r *request, u *upstream) {
	h := a.history
	f := h.fatal[r.Fatal]
	if f == nil {
		return
	}
	if at, ok := f.knownAt(); ok && r.sentAt.After(at.Add(h.StableWindow)) && h.boundsApply(r.Entry, r.sentAt) && h.boundsApply(r.Entry, h.now) {
		f.late++
	}
	a.check(Fatal, r.ID, f.late <= toleratedLateFatal, "%d requests with part %s, the last at %s, %d crashes", f.late, r.Fatal, u.Upstream, len(f.crashes))
}

// checkSoundRequests checks that sound requests sent while fatal parts were in use were served.
func (a *Auditor) checkSoundRequests() {
	h := a.history
	for part, f := range h.fatal {
		if f.sent < minFatalRequests || len(f.crashes) == 0 {
			continue
		}
		a.check(Fatal, "", f.late <= toleratedLateFatal, "%d requests with part %s", f.late, part)
		from := f.crashes[min(len(f.crashes), fatalCrashes)-1].Add(2 * h.StableWindow)
		var beside, usual soundCount
		for _, r := range h.requests {
			if r.Fatal != "" || len(r.Parts) == 0 || h.route(r) != f.route || !h.boundsApply(r.Entry, r.sentAt) {
				continue
			}
			switch {
			case r.sentAt.After(from) && r.sentAt.Before(f.last):
				beside.add(r)
			case !h.fatalPartInUse(r.sentAt) && h.undisturbedAround(r.sentAt):
				usual.add(r)
			}
		}
		if beside.sent < minSoundRequests || usual.sent < minSoundRequests {
			continue
		}
		a.check(Sound, "", beside.started*usual.sent*soundFraction >= usual.started*beside.sent,
			"%d of %d sound requests beside part %s begin, %d of %d without it", beside.started, beside.sent, part, usual.started, usual.sent)
	}
}

// soundCount counts requests and those that started at their first upstream.
type soundCount struct{ sent, started int }

func (s *soundCount) add(r *request) {
	s.sent++
	if len(r.runs) > 0 && r.runs[0].upstream == r.arrivals[0].upstream {
		s.started++
	}
}

// fatalPartInUse reports whether requests with a fatal part were sent around a time.
func (h *history) fatalPartInUse(at time.Time) bool {
	for _, f := range h.fatal {
		if at.After(f.first.Add(-h.StableWindow)) && at.Before(f.last) {
			return true
		}
	}
	return false
}

// undisturbedAround reports whether nothing was disturbed around a time.
func (h *history) undisturbedAround(at time.Time) bool {
	for id, spans := range h.disturbances {
		if slices.ContainsFunc(spans, func(s disturbance) bool { return !s.from.After(at) && h.endOf(id, s).After(at.Add(-h.StableWindow)) }) {
			return false
		}
	}
	return true
}

// endOf returns the end of a disturbance. That of an upstream that has exited ends when its
// successor is ready.
func (h *history) endOf(process string, s disturbance) time.Time {
	switch {
	case !s.to.IsZero():
		return s.to
	case h.upstreams[process] != nil:
		return s.from.Add(h.StableWindow)
	default:
		return h.now
	}
}
