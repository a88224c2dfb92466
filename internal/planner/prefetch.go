package planner

import "time"

// NextDraw gives the next fetch from the origin that falls to this agent, if there is one. It
// is all that a prefetched manifest gets: a region's origin fetchers spend little bandwidth on it, and
// the origin may be unreachable once the manifest is wanted.
func (t *Transfer) NextDraw(now time.Time) (Order, bool) {
	if t.Whole() || t.slotsTaken(now) >= t.Slots {
		return Order{}, false
	}
	o, ok := t.draw(now)
	if ok {
		t.begin(o, now)
	}
	return o, ok
}

// Drawn tells whether the origin has delivered every chunk that this region draws, as far as
// its agents are known here.
func (t *Transfer) Drawn() bool {
	for i := range t.Chunks {
		if t.home(i) == t.Region && !t.have.Has(i) && t.holders[i] == 0 {
			return false
		}
	}
	return true
}

// Draws tells whether this agent is one of its region's origin fetchers.
func (t *Transfer) Draws() bool { return t.draws() }
