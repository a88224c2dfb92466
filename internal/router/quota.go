package router

import "slices"

// quota divides a cold replica's slots among the entries that route to it. All
// entries with the same report and the same list of entries compute the same
// division without communication; the remainder of an even division rotates from
// report to report. Without it, all entries see the same few free slots and fill
// them all, and the gate refuses most: a burst of "not run" from each replica
// that returns. If only some entries route to it, two of them may compute the
// same part, and one may be refused.
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

// sharingEntries is how many entries route to each replica, including this one.
func (r *Router) sharingEntries() int {
	n := max(1, len(r.entries))
	if r.Sharing > 0 {
		n = min(n, r.Sharing)
	}
	return n
}
