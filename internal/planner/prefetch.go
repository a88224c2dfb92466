package planner

import "time"

// NextOriginFetch gives the next fetch from the origin that falls to this agent, if there is
// one. It is all that a prefetched manifest gets: a region's origin fetchers spend little
// bandwidth on it, and the origin may be unreachable once the manifest is wanted.
func (t *Transfer) NextOriginFetch(now time.Time) (Order, bool) {
	if t.Whole() || t.slotsTaken(now) >= t.Slots {
		return Order{}, false
	}
	o, ok := t.draw(now)
	if ok {
		t.begin(o, now)
	}
	return o, ok
}

// FetchedFromOrigin tells whether the origin has delivered every chunk that this region fetches
// from it, as far as its agents are known here.
func (t *Transfer) FetchedFromOrigin() bool {
	for i := range t.Chunks {
		if t.home(i) == t.Region && !t.have.Has(i) && t.holders[i] == 0 {
			return false
		}
	}
	return true
}

// IsOriginFetcher tells whether this agent fetches from the origin for its region.
func (t *Transfer) IsOriginFetcher() bool { return t.draws() }
