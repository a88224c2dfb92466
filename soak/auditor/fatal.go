package auditor

import (
	"slices"
	"time"
)

const (
	// fatalCrashes is after how many crashes a part's requests may still be sent for the stable window, and
	// toleratedFatal how many may reach upstreams later.
	fatalCrashes   = 5
	toleratedFatal = 3
	// leastFatal is how many requests with a fatal part, sent over longer than that, put the promise to the test.
	leastFatal = 20
	// leastSound is how many sound requests beside a fatal part, and without one, a comparison takes, and
	// soundPart the part of them, one in so many, that has to begin at least.
	leastSound = 20
	soundPart  = 2
)

// fatal is a part of prompts that crashes upstreams.
type fatal struct {
	crashes []time.Time
	// first and last are when requests with it were sent, sent how many, and late how many of these reached
	// upstreams although they were sent too late.
	first, last time.Time
	sent, late  int
	route       *Route
}

// noteFatal keeps what concerns fatal parts.
func (h *history) noteFatal(e Event) {
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
			f = &fatal{first: h.now, route: h.route(h.requests[e.ID])}
			h.fatal[e.Fatal] = f
		}
		f.sent++
		f.last = h.now
	}
}

// known is when the system has seen enough crashes; false before.
func (f *fatal) known() (time.Time, bool) {
	if len(f.crashes) < fatalCrashes {
		return time.Time{}, false
	}
	return f.crashes[fatalCrashes-1], true
}

// judgeFatal judges a request with a fatal part that reached an upstream.
func (a *Auditor) judgeFatal(r *request, u *upstream) {
	h := a.history
	f := h.fatal[r.Fatal]
	if f == nil {
		return
	}
	if at, ok := f.known(); ok && r.at.After(at.Add(h.StableWindow)) && h.inTouch(r.Entry, r.at) && h.inTouch(r.Entry, h.now) {
		f.late++
	}
	a.check(Fatal, r.ID, f.late <= toleratedFatal, "%d requests with part %s, the last at %s, %d crashes", f.late, r.Fatal, u.Upstream, len(f.crashes))
}

// finishFatal judges whether requests beside each fatal part were served.
func (a *Auditor) finishFatal() {
	h := a.history
	for part, f := range h.fatal {
		if f.sent < leastFatal || len(f.crashes) == 0 {
			continue
		}
		a.check(Fatal, "", f.late <= toleratedFatal, "%d requests with part %s", f.late, part)
		from := f.crashes[min(len(f.crashes), fatalCrashes)-1].Add(2 * h.StableWindow)
		var beside, usual sound
		for _, r := range h.requests {
			if r.Fatal != "" || len(r.Parts) == 0 || h.route(r) != f.route || !h.inTouch(r.Entry, r.at) {
				continue
			}
			switch {
			case r.at.After(from) && r.at.Before(f.last):
				beside.add(r)
			case !h.fatalAround(r.at) && h.quiet(r.at):
				usual.add(r)
			}
		}
		if beside.sent < leastSound || usual.sent < leastSound {
			continue
		}
		a.check(Sound, "", beside.began*usual.sent*soundPart >= usual.began*beside.sent,
			"%d of %d sound requests beside part %s begin, %d of %d without it", beside.began, beside.sent, part, usual.began, usual.sent)
	}
}

// sound counts requests and those that began at their first upstream.
type sound struct{ sent, began int }

func (s *sound) add(r *request) {
	s.sent++
	if len(r.runs) > 0 && r.runs[0].upstream == r.arrivals[0].upstream {
		s.began++
	}
}

// fatalAround tells whether requests with a fatal part came about a moment.
func (h *history) fatalAround(at time.Time) bool {
	for _, f := range h.fatal {
		if at.After(f.first.Add(-h.StableWindow)) && at.Before(f.last) {
			return true
		}
	}
	return false
}

// quiet tells whether nobody was disturbed about a moment.
func (h *history) quiet(at time.Time) bool {
	for who, spans := range h.spans {
		if slices.ContainsFunc(spans, func(s span) bool { return !s.from.After(at) && h.lastsUntil(who, s).After(at.Add(-h.StableWindow)) }) {
			return false
		}
	}
	return true
}

// lastsUntil is the end of a disturbance. That of an upstream that has ended is over once the next one is there.
func (h *history) lastsUntil(who string, s span) time.Time {
	switch {
	case !s.to.IsZero():
		return s.to
	case h.upstreams[who] != nil:
		return s.from.Add(h.StableWindow)
	default:
		return h.now
	}
}
