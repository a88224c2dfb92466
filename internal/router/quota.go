package router

import "slices"

// quota divides a cold replica's places among the entries that route to it.
// Every entry that has the same report and knows the same entries comes to the
// same division, without a word between them; the places left over after an even
// division go round from report to report. Without it, all entries see the same
// few places free and fill them all, which the gate then refuses one after
// another: seen as a burst of "not run" from each replica that returns. When only
// some entries route to it, two of them may come to the same part, and one of
// them to a refusal.
func (r *Router) quota(p *replica) int {
	n := r.sharingEntries()
	rank := slices.Index(r.entries, r.self)
	if n <= 1 || rank < 0 {
		return p.state.Limit
	}
	turn := (uint64(rank) + p.ringPoint + p.state.Sequence) % uint64(n)
	if turn < uint64(p.state.Limit%n) {
		return p.state.Limit/n + 1
	}
	return p.state.Limit / n
}

// sharers is how many entries route to each replica, this one included.
func (r *Router) sharingEntries() int {
	n := max(1, len(r.entries))
	if r.Sharing > 0 {
		n = min(n, r.Sharing)
	}
	return n
}
