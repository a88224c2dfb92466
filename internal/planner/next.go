package planner

import (
	"math/bits"
	"slices"
	"time"
)

// Next gives the next fetch to start, if there is one worth starting now.
func (t *Transfer) Next(now time.Time) (Order, bool) {
	return t.start(now, t.draw, t.bring, t.relay, t.fallback, t.hedge)
}

// NextOriginFetch gives the next fetch from the origin that falls to this agent, if there is
// one. It is all that a prefetched manifest gets: a region's origin fetchers spend little
// bandwidth on it, and the origin may be unreachable once the manifest is wanted.
func (t *Transfer) NextOriginFetch(now time.Time) (Order, bool) { return t.start(now, t.draw) }

// start begins the first fetch that one of the choices gives.
func (t *Transfer) start(now time.Time, choices ...func(time.Time) (Order, bool)) (Order, bool) {
	if t.Whole() || t.slotsTaken(now) >= t.Slots {
		return Order{}, false
	}
	for _, choose := range choices {
		if o, ok := choose(now); ok {
			t.begin(o, now)
			return o, true
		}
	}
	return Order{}, false
}

// open tells whether chunk i is neither here nor on its way.
func (t *Transfer) open(i int) bool { return !t.have.Has(i) && !t.inFlight.Has(i) && !t.held.Has(i) }

// draw picks a chunk that this agent alone should ask the origin for: its own first, and
// then those of origin fetchers that are far behind.
func (t *Transfer) draw(now time.Time) (Order, bool) {
	if !t.settled(now) || !t.IsOriginFetcher() {
		return Order{}, false
	}
	if !t.origin.usable(now) {
		// What nobody can draw is nobody's delay. Counted as one, all origin fetchers would ask for the
		// same chunks at the origin's return.
		t.drawIdle = idleness{}
		return Order{}, false
	}
	if t.drawing >= t.OriginSlots {
		return Order{}, false
	}
	overdue := t.drawIdle.turns(t.patience(), now)
	undrawn := func(i int) bool { return t.lacking(i, overdue) && t.home(i) == t.Region }
	own := func(i int) bool { return undrawn(i) && t.open(i) && t.originFetcher(i, t.Region, now) == t.ID }
	i, ok := t.upward(t.firstDrawn(t.ID), own)
	if idle := t.drawIdle.lasts(ok, now); !ok {
		i, ok = t.takeOver(undrawn, t.OriginSlots, idle, now)
	}
	return Order{Chunk: i, Source: FromOrigin{}}, ok
}

// settled tells whether this agent knows enough of the others to draw.
func (t *Transfer) settled(now time.Time) bool {
	if now.Before(t.DrawAfter) {
		return false
	}
	return !t.learned.Before(t.DrawAfter) || now.Sub(t.DrawAfter) > t.Patience
}

// relay picks a peer of this region at random among those that are asked least, and
// of its chunks the rarest that is open. Were the rarest chunk picked first, all
// agents would ask the one that drew it, while the links of the others stand idle.
func (t *Transfer) relay(now time.Time) (Order, bool) {
	p := t.leastAsked(now, func(p *peer) bool { return p.Region == t.Region && t.gives(p) })
	if p == nil {
		return Order{}, false
	}
	return Order{Chunk: t.rarest(p), Source: FromPeer{ID: p.ID}}, true
}

// gives tells whether a peer has an open chunk.
func (t *Transfer) gives(p *peer) bool {
	for b := range min(len(p.Have), len(t.have)) {
		if p.Have[b]&^t.have.octet(b)&^t.inFlight.octet(b)&^t.held.octet(b) != 0 {
			return true
		}
	}
	return false
}

// rarest is the open chunk of a peer that the fewest others of the region have, ties
// at random.
func (t *Transfer) rarest(p *peer) int {
	best, ties := 0, 0
	for b := range min(len(p.Have), len(t.have)) {
		open := p.Have[b] &^ t.have.octet(b) &^ t.inFlight.octet(b) &^ t.held.octet(b)
		for ; open != 0; open &= open - 1 {
			i := b*8 + bits.TrailingZeros8(open)
			switch {
			case i >= t.Chunks:
			case ties == 0 || t.holders[i] < t.holders[best]:
				best, ties = i, 1
			case t.holders[i] == t.holders[best]:
				ties++
				if t.Rand.IntN(ties) == 0 {
					best = i
				}
			}
		}
	}
	return best
}

// bring picks a chunk that this agent is to fetch from another region for all
// agents of its own. The regions pass each chunk on in a chain that differs from
// chunk to chunk: so the link of no region carries more than one copy either way,
// while a star would send as many copies out of the first region as there are
// others.
func (t *Transfer) bring(now time.Time) (Order, bool) {
	if !t.remote || t.bringing >= t.AcrossSlots || !t.IsOriginFetcher() {
		return Order{}, false
	}
	offered := t.offered(now, func(p *peer) bool { return p.Region != t.Region })
	overdue := t.bringIdle.turns(t.patience(), now)
	anywhere := overdue > 0 || t.stalled(now)
	missing := func(i int) bool {
		return offered.Has(i) && t.lacking(i, overdue) && (anywhere || t.arrives(i, now))
	}
	i, ok := t.upward(t.firstDrawn(t.ID), func(i int) bool { return missing(i) && t.open(i) && t.brings(i, now) })
	if idle := t.bringIdle.lasts(ok, now); !ok {
		i, ok = t.takeOver(missing, t.AcrossSlots, idle, now)
	}
	if !ok {
		return Order{}, false
	}
	from := t.before(i)
	return t.ask(i, now, func(p *peer) bool { return p.Region == from || anywhere && p.Region != t.Region })
}

// lacking tells whether this agent lacks a chunk and nobody in its region can hand it on. Once
// something is overdue, one holder is none: an origin fetcher behind a narrow link gets its few chunks
// out to the others one by one, and what it gives to one it can't give to the next.
func (t *Transfer) lacking(i, overdue int) bool {
	enough := 1
	if overdue > 1 {
		enough = 2
	}
	return !t.have.Has(i) && t.holders[i] < enough
}

// arrives tells whether a chunk can come into this region now, from the region before it
// in the chain.
func (t *Transfer) arrives(i int, now time.Time) bool {
	from := t.before(i)
	return slices.ContainsFunc(t.peers, func(p *peer) bool {
		return p.Region == from && p.Have.Has(i) && t.free(p, now)
	})
}

// free tells whether a peer may be asked for one more chunk now.
func (t *Transfer) free(p *peer, now time.Time) bool {
	return p.usable(now) && p.inFlight < t.PeerSlots
}

// offered is the set of chunks that the free peers among those chosen have. It
// is valid until the next call.
func (t *Transfer) offered(now time.Time, chosen func(*peer) bool) Bitmap {
	clear(t.scratch)
	for _, p := range t.peers {
		if !chosen(p) || !t.free(p, now) {
			continue
		}
		for b := range min(len(p.Have), len(t.scratch)) {
			t.scratch[b] |= p.Have[b]
		}
	}
	return t.scratch
}

// ask orders chunk i from one of the chosen peers that have it.
func (t *Transfer) ask(i int, now time.Time, chosen func(*peer) bool) (Order, bool) {
	p := t.leastAsked(now, func(p *peer) bool { return chosen(p) && p.Have.Has(i) })
	if p == nil {
		return Order{}, false
	}
	return Order{Chunk: i, Source: FromPeer{ID: p.ID}}, true
}

// leastAsked is the free peer among the chosen with the fewest fetches under way, ties
// at random; nil for none. One that was slow comes after all others: what others have
// as well would wait in the queue of its link.
func (t *Transfer) leastAsked(now time.Time, chosen func(*peer) bool) *peer {
	var best *peer
	ties := 0
	for _, p := range t.peers {
		if !t.free(p, now) || !chosen(p) {
			continue
		}
		switch {
		case best == nil || best.slow && !p.slow || p.slow == best.slow && p.inFlight < best.inFlight:
			best, ties = p, 1
		case p.slow == best.slow && p.inFlight == best.inFlight:
			ties++
			if t.Rand.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// brings tells whether this agent is the one to bring chunk i into its region,
// or the one that should have has been silent for too long.
func (t *Transfer) brings(i int, now time.Time) bool {
	return t.originFetcher(i, t.Region, now) == t.ID || t.stalled(now)
}

// stalled tells whether nothing has arrived for longer than this agent leaves
// chunks to their origin fetchers. An origin fetcher that lives and makes no headway, such as
// one whose own link to the origin is down, shows in no failed call; its chunks
// would be missing for ever in all agents. The wait grows with the rank, so that
// the other origin fetchers try before the many others do.
func (t *Transfer) stalled(now time.Time) bool { return now.Sub(t.lastGain) > t.stallTime() }

// stallTime is for how long nothing may arrive at this agent before that counts as a stall.
func (t *Transfer) stallTime() time.Duration {
	if t.IsOriginFetcher() {
		return t.patience()
	}
	return t.patience() * time.Duration(2+t.rank)
}

// patience is Patience, or longer where fetches take long as a rule: on a slow
// link agents would otherwise think each other silent, and ask twice for what is
// on its way.
func (t *Transfer) patience() time.Duration { return max(t.Patience, paces*t.pace) }

// paces is how many times the usual duration of a fetch counts as too long.
const paces = 4

// fallback draws a chunk from the origin out of turn, one at a time. An outage of the origin doesn't
// count against the origin fetchers: all agents would draw at its return, and the origin fetchers
// wait behind them.
func (t *Transfer) fallback(now time.Time) (Order, bool) {
	if len(t.flights) > 0 || !t.settled(now) || !t.origin.usable(now) || !t.stalled(now) || now.Sub(t.originDown) <= t.stallTime() {
		return Order{}, false
	}
	i, ok := t.any(t.open)
	return Order{Chunk: i, Source: FromOrigin{}}, ok
}

// hedge asks a second source for a chunk whose fetch runs for too long. A
// stalled link shows only by its silence; without a second try the last chunk
// would hold up the whole set of weights until the call times out.
func (t *Transfer) hedge(now time.Time) (Order, bool) {
	for _, f := range t.flights {
		// What came from a second source is here, though the first still runs.
		if t.have.Has(f.Chunk) || t.tries(f.Chunk) > 1 {
			continue
		}
		if o, ok := t.askBrisk(f, now); ok {
			return o, true
		}
		if now.Sub(f.since) <= t.patience() {
			continue
		}
		other := func(p *peer) bool { return p.Region == t.Region && f.Source != FromPeer{ID: p.ID} }
		if o, ok := t.ask(f.Chunk, now, other); ok {
			return o, true
		}
		if o, ok := t.askAcross(f, now); ok {
			return o, true
		}
		if t.redraws(f, now) {
			return Order{Chunk: f.Chunk, Source: FromOrigin{}}, true
		}
	}
	return Order{}, false
}

// askBrisk orders a chunk that is on its way from a slow peer from one of this region that
// isn't, as soon as there is one.
func (t *Transfer) askBrisk(f flight, now time.Time) (Order, bool) {
	from, ok := f.Source.(FromPeer)
	if !ok {
		return Order{}, false
	}
	if p := t.peer(from.ID); p == nil || !t.sluggish(p, now) {
		return Order{}, false
	}
	return t.ask(f.Chunk, now, func(p *peer) bool { return p.Region == t.Region && !t.sluggish(p, now) })
}

// askAcross orders a chunk from another region whose fetch runs for too long. The other
// regions often have it before the agents of a slow origin fetcher's own region.
func (t *Transfer) askAcross(f flight, now time.Time) (Order, bool) {
	if !t.IsOriginFetcher() || t.bringing >= t.AcrossSlots {
		return Order{}, false
	}
	return t.ask(f.Chunk, now, func(p *peer) bool { return p.Region != t.Region && f.Source != FromPeer{ID: p.ID} })
}

// redraws tells whether this agent is to draw a chunk once more that only one agent has,
// which doesn't get it out in time.
func (t *Transfer) redraws(f flight, now time.Time) bool {
	from, ok := f.Source.(FromPeer)
	if !ok || f.across || t.drawing >= t.OriginSlots || !t.origin.usable(now) || t.home(f.Chunk) != t.Region {
		return false
	}
	return t.firstRanked(f.Chunk, t.Region, now, []string{from.ID}) == t.ID
}

func (t *Transfer) tries(chunk int) int {
	n := 0
	for _, f := range t.flights {
		if f.Chunk == chunk {
			n++
		}
	}
	return n
}
