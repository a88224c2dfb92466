package auditor

import "time"

// maxFloodWait is how long a request may wait for a reply that is longer than any valid one.
const maxFloodWait = time.Second

func (h *history) recordFlood(e Flooded) {
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

// reportFlooded reports whether an upstream's report was endless at some time since a moment. The
// upstream then cannot show that it still runs, and a reply of it that ends with its connection may be
// cut.
func (h *history) reportFlooded(upstream string, since time.Time) bool {
	u := h.upstreams[upstream]
	return u != nil && u.floodedAt.After(since)
}

// checkFlood checks that a request whose last upstream sent endless bytes got an answer and was not
// held until its caller left.
func (a *Auditor) checkFlood(r *request, e Answered) {
	h := a.history
	if len(r.runs) == 0 {
		return
	}
	last := r.runs[len(r.runs)-1]
	if !last.flooded || !h.allUndisturbed(r.sentAt) || !h.undisturbed(last.upstream, r.sentAt, h.now) {
		return
	}
	if e.Expired && (last.floodedAt.IsZero() || h.now.Sub(last.floodedAt) <= maxFloodWait) {
		return
	}
	a.check(Flood, e.ID, !e.Expired && e.Status != 0, "status %d by %s, %v after %s began to send bytes without end", e.Status, r.Entry, h.now.Sub(last.startedAt), last.upstream)
}

// allUndisturbed reports whether no process or link has been disturbed since a moment: another entry
// may have forwarded the request.
func (h *history) allUndisturbed(since time.Time) bool {
	for process := range h.entries {
		if !h.undisturbed(process, since, h.now) {
			return false
		}
	}
	return h.undisturbed("", since, h.now)
}
