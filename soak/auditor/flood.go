package auditor

import "time"

// toleratedFlood is how long a request may wait on a reply that is longer than any sound one.
const toleratedFlood = time.Second

func (h *history) noteFlood(e Flooded) {
	if u := h.upstreams[e.Upstream]; u != nil && e.ID == "" {
		u.floodedAt = h.now
		return
	}
	r := h.requests[e.ID]
	if r == nil {
		return
	}
	for i := range r.runs {
		if r.runs[i].upstream == e.Upstream {
			r.runs[i].flooded = true
			if e.Long {
				r.runs[i].floodedAt = h.now
			}
		}
	}
}

// reportFlooded tells whether an upstream's report had no end since a moment. It then can't show that it still runs,
// and a reply of it that ends with its connection may be cut.
func (h *history) reportFlooded(upstream string, since time.Time) bool {
	u := h.upstreams[upstream]
	return u != nil && u.floodedAt.After(since)
}

// judgeFlood judges whether a request whose last upstream sent bytes without end got an answer, and was not held
// until its caller left.
func (a *Auditor) judgeFlood(r *request, e Answered) {
	h := a.history
	if len(r.runs) == 0 {
		return
	}
	last := r.runs[len(r.runs)-1]
	if !last.flooded || !h.allUndisturbed(r.at) || !h.undisturbed(last.upstream, r.at, h.now) {
		return
	}
	if e.Expired && (last.floodedAt.IsZero() || h.now.Sub(last.floodedAt) <= toleratedFlood) {
		return
	}
	a.check(Flood, e.ID, !e.Expired && e.Status != 0, "status %d by %s, %v after %s began to send bytes without end", e.Status, r.Entry, h.now.Sub(last.at), last.upstream)
}

// allUndisturbed tells whether nothing disturbed any process or its links since a moment: another entry may have
// passed the request on.
func (h *history) allUndisturbed(since time.Time) bool {
	for who := range h.entries {
		if !h.undisturbed(who, since, h.now) {
			return false
		}
	}
	return h.undisturbed("", since, h.now)
}
