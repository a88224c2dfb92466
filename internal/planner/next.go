package planner

import (
	"math/bits"
	"slices"
	"time"
)

// Next returns the next fetch to start, if there is one worth starting now.
func (t *Transfer) Next(now time.Time) (Order, bool) {
	return t.startFirst(now, t.fromOrigin, t.fromOtherRegion, t.fromOwnRegion, t.fallback, t.hedge)
}

// NextOriginFetch returns the next fetch from the origin that is assigned to this agent, if
// there is one. Prefetched manifests get nothing else: a region's origin fetchers spend
// little bandwidth on it, and the origin may be unreachable once the manifest is wanted.
func (t *Transfer) NextOriginFetch(now time.Time) (Order, bool) {
	return t.startFirst(now, t.fromOrigin)
}

// startFirst starts the first fetch that one of the choices returns.
func (t *Transfer) startFirst(now time.Time, choices ...func(time.Time) (Order, bool)) (Order, bool) {
	if t.Complete() || t.usedSlots(now) >= t.Slots {
		return Order{}, false
	}
	for _, choose := range choices {
		if o, ok := choose(now); ok {
			t.startFetch(o, now)
			return o, true
		}
	}
	return Order{}, false
}

// unrequested reports whether chunk i is neither held nor in flight.
func (t *Transfer) unrequested(i int) bool {
	return !t.have.Has(i) && !t.inFlight.Has(i) && !t.excluded.Has(i)
}

// fromOrigin picks a chunk that only this agent should fetch from the origin: its own
// first, then those of origin fetchers that are far behind.
func (t *Transfer) fromOrigin(now time.Time) (Order, bool) {
	if !t.peersKnown(now) || !t.IsOriginFetcher() {
		return Order{}, false
	}
	if !t.origin.usable(now) {
		// While the origin is unusable, no origin fetcher is late. If the outage counted as a delay,
		// all of them would request the same chunks when the origin recovers.
		t.originIdle = idleTimer{}
		return Order{}, false
	}
	if t.originFetches >= t.OriginSlots {
		return Order{}, false
	}
	idlePeriods := t.originIdle.periods(t.waitLimit(), now)
	missing := func(i int) bool { return t.missingInRegion(i, idlePeriods) && t.originRegion(i) == t.Region }
	own := func(i int) bool {
		return missing(i) && t.unrequested(i) && t.designatedFetcher(i, t.Region, now) == t.ID
	}
	i, ok := t.firstFrom(t.firstChunk(t.ID), own)
	if idle := t.originIdle.update(ok, now); !ok {
		i, ok = t.takeOverChunk(missing, t.OriginSlots, idle, now)
	}
	return Order{Chunk: i, Source: FromOrigin{}}, ok
}

// peersKnown reports whether enough of the other agents are known to fetch from
// the origin.
func (t *Transfer) peersKnown(now time.Time) bool {
	if now.Before(t.DrawAfter) {
		return false
	}
	return !t.peersSetAt.Before(t.DrawAfter) || now.Sub(t.DrawAfter) > t.Patience
}

// fromOwnRegion picks a random peer of this region among the least loaded, and of
// its chunks the rarest that is unrequested. If it picked the rarest chunk first,
// all agents would request it from the agent that fetched it, while the links of
// the others stay idle.
func (t *Transfer) fromOwnRegion(now time.Time) (Order, bool) {
	p := t.leastLoaded(now, func(p *peer) bool { return p.Region == t.Region && t.hasUnrequested(p) })
	if p == nil {
		return Order{}, false
	}
	return Order{Chunk: t.rarestChunk(p), Source: FromPeer{ID: p.ID}}, true
}

// hasUnrequested reports whether a peer has an unrequested chunk.
func (t *Transfer) hasUnrequested(p *peer) bool {
	for b := range min(len(p.Have), len(t.have)) {
		if p.Have[b]&^t.have.byteAt(b)&^t.inFlight.byteAt(b)&^t.excluded.byteAt(b) != 0 {
			return true
		}
	}
	return false
}

// rarestChunk is the unrequested chunk of a peer that the fewest others of the
// region have, ties at random.
func (t *Transfer) rarestChunk(p *peer) int {
	best, ties := 0, 0
	for b := range min(len(p.Have), len(t.have)) {
		candidates := p.Have[b] &^ t.have.byteAt(b) &^ t.inFlight.byteAt(b) &^ t.excluded.byteAt(b)
		for ; candidates != 0; candidates &= candidates - 1 {
			i := b*8 + bits.TrailingZeros8(candidates)
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

// fromOtherRegion picks a chunk that this agent should fetch from another region
// for all agents of its own. The regions pass each chunk on in a chain that
// differs from chunk to chunk, so that no region's link carries more than one
// copy either way. In a star, the first region would send as many copies as there
// are others.
func (t *Transfer) fromOtherRegion(now time.Time) (Order, bool) {
	if !t.hasRemotePeers || t.crossRegionFetches >= t.AcrossSlots || !t.IsOriginFetcher() {
		return Order{}, false
	}
	offered := t.offeredChunks(now, func(p *peer) bool { return p.Region != t.Region })
	idlePeriods := t.crossRegionIdle.periods(t.waitLimit(), now)
	anyRegion := idlePeriods > 0 || t.stalled(now)
	missing := func(i int) bool {
		return offered.Has(i) && t.missingInRegion(i, idlePeriods) && (anyRegion || t.offeredByPreviousRegion(i, now))
	}
	i, ok := t.firstFrom(t.firstChunk(t.ID), func(i int) bool { return missing(i) && t.unrequested(i) && t.isDesignated(i, now) })
	if idle := t.crossRegionIdle.update(ok, now); !ok {
		i, ok = t.takeOverChunk(missing, t.AcrossSlots, idle, now)
	}
	if !ok {
		return Order{}, false
	}
	from := t.previousRegion(i)
	return t.orderFrom(i, now, func(p *peer) bool { return p.Region == from || anyRegion && p.Region != t.Region })
}

// missingInRegion reports whether this agent lacks a chunk and no agent in its region can provide it.
// After more than one idle period, a single holder doesn't count: an origin fetcher behind a narrow
// link sends its few chunks one by one, and what it sends to one agent delays the next.
func (t *Transfer) missingInRegion(i, idlePeriods int) bool {
	minHolders := 1
	if idlePeriods > 1 {
		minHolders = 2
	}
	return !t.have.Has(i) && t.holders[i] < minHolders
}

// offeredByPreviousRegion reports whether a chunk can be fetched now from the region
// before this one in the chain.
func (t *Transfer) offeredByPreviousRegion(i int, now time.Time) bool {
	from := t.previousRegion(i)
	return slices.ContainsFunc(t.peers, func(p *peer) bool {
		return p.Region == from && p.Have.Has(i) && t.hasFreeSlot(p, now)
	})
}

// hasFreeSlot reports whether one more chunk may be requested from a peer now.
func (t *Transfer) hasFreeSlot(p *peer, now time.Time) bool {
	return p.usable(now) && p.inFlight < t.PeerSlots
}

// offeredChunks is the set of chunks that the chosen peers with a free slot
// have. It is valid until the next call.
func (t *Transfer) offeredChunks(now time.Time, chosen func(*peer) bool) Bitmap {
	clear(t.scratch)
	for _, p := range t.peers {
		if !chosen(p) || !t.hasFreeSlot(p, now) {
			continue
		}
		for b := range min(len(p.Have), len(t.scratch)) {
			t.scratch[b] |= p.Have[b]
		}
	}
	return t.scratch
}

// orderFrom orders chunk i from one of the chosen peers that have it.
func (t *Transfer) orderFrom(i int, now time.Time, chosen func(*peer) bool) (Order, bool) {
	p := t.leastLoaded(now, func(p *peer) bool { return chosen(p) && p.Have.Has(i) })
	if p == nil {
		return Order{}, false
	}
	return Order{Chunk: i, Source: FromPeer{ID: p.ID}}, true
}

// leastLoaded is the chosen peer with a free slot and the fewest fetches in flight,
// ties at random; nil for none. Slow peers come last: a chunk that others have as well
// would wait in the queue of their link.
func (t *Transfer) leastLoaded(now time.Time, chosen func(*peer) bool) *peer {
	var best *peer
	ties := 0
	for _, p := range t.peers {
		if !t.hasFreeSlot(p, now) || !chosen(p) {
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

// isDesignated reports whether this agent should fetch chunk i into its region,
// either as its designated fetcher or because nothing has arrived for too long.
func (t *Transfer) isDesignated(i int, now time.Time) bool {
	return t.designatedFetcher(i, t.Region, now) == t.ID || t.stalled(now)
}

// stalled reports whether no chunk has arrived for longer than this agent leaves chunks to
// their origin fetchers. An origin fetcher that is alive without progress, such as one whose
// own link to the origin is down, causes no failed call; its chunks would be missing in all
// agents forever. The timeout grows with the rank, so that the other origin fetchers try
// before the many other agents.
func (t *Transfer) stalled(now time.Time) bool { return now.Sub(t.lastChunkAt) > t.stallTimeout() }

// stallTimeout is how long no chunk may arrive at this agent before that counts as a stall.
func (t *Transfer) stallTimeout() time.Duration {
	if t.IsOriginFetcher() {
		return t.waitLimit()
	}
	return t.waitLimit() * time.Duration(2+t.fallbackRank)
}

// waitLimit is Patience, or longer where fetches usually take long: on a slow
// link agents would otherwise consider each other unresponsive and request
// chunks in flight twice.
func (t *Transfer) waitLimit() time.Duration { return max(t.Patience, slowFetchFactor*t.meanFetchTime) }

// slowFetchFactor times the usual duration of a fetch counts as too long.
const slowFetchFactor = 4

// fallback fetches a chunk from the origin out of turn, one at a time. An outage of the origin
// doesn't count as a stall of the origin fetchers: otherwise all agents would fetch when it
// recovers, and delay the origin fetchers.
func (t *Transfer) fallback(now time.Time) (Order, bool) {
	if len(t.fetches) > 0 || !t.peersKnown(now) || !t.origin.usable(now) || !t.stalled(now) || now.Sub(t.originFailedAt) <= t.stallTimeout() {
		return Order{}, false
	}
	i, ok := t.any(t.unrequested)
	return Order{Chunk: i, Source: FromOrigin{}}, ok
}

// hedge requests a chunk whose fetch runs for too long from a second source. A
// stalled link shows only by its lack of progress; without a second attempt the
// last chunk would delay the whole set of weights until the call times out.
func (t *Transfer) hedge(now time.Time) (Order, bool) {
	for _, f := range t.fetches {
		// The chunk may have arrived from a second source while the first fetch
		// still runs.
		if t.have.Has(f.Chunk) || t.fetchCount(f.Chunk) > 1 {
			continue
		}
		if o, ok := t.orderFromFasterPeer(f, now); ok {
			return o, true
		}
		if now.Sub(f.started) <= t.waitLimit() {
			continue
		}
		other := func(p *peer) bool { return p.Region == t.Region && f.Source != FromPeer{ID: p.ID} }
		if o, ok := t.orderFrom(f.Chunk, now, other); ok {
			return o, true
		}
		if o, ok := t.orderFromOtherRegion(f, now); ok {
			return o, true
		}
		if t.shouldRefetchFromOrigin(f, now) {
			return Order{Chunk: f.Chunk, Source: FromOrigin{}}, true
		}
	}
	return Order{}, false
}

// orderFromFasterPeer orders a chunk in flight from a slow peer from one of this region
// that isn't slow, as soon as there is one.
func (t *Transfer) orderFromFasterPeer(f fetch, now time.Time) (Order, bool) {
	from, ok := f.Source.(FromPeer)
	if !ok {
		return Order{}, false
	}
	if p := t.peer(from.ID); p == nil || !t.isSlowPeer(p, now) {
		return Order{}, false
	}
	return t.orderFrom(f.Chunk, now, func(p *peer) bool { return p.Region == t.Region && !t.isSlowPeer(p, now) })
}

// orderFromOtherRegion orders a chunk whose fetch runs for too long from another
// region. The other regions often have it before the agents of a slow origin fetcher's
// own region.
func (t *Transfer) orderFromOtherRegion(f fetch, now time.Time) (Order, bool) {
	if !t.IsOriginFetcher() || t.crossRegionFetches >= t.AcrossSlots {
		return Order{}, false
	}
	return t.orderFrom(f.Chunk, now, func(p *peer) bool { return p.Region != t.Region && f.Source != FromPeer{ID: p.ID} })
}

// shouldRefetchFromOrigin reports whether this agent should fetch a chunk once more
// because its only holder doesn't deliver it in time.
func (t *Transfer) shouldRefetchFromOrigin(f fetch, now time.Time) bool {
	from, ok := f.Source.(FromPeer)
	if !ok || f.crossRegion || t.originFetches >= t.OriginSlots || !t.origin.usable(now) || t.originRegion(f.Chunk) != t.Region {
		return false
	}
	return t.topRanked(f.Chunk, t.Region, now, []string{from.ID}) == t.ID
}

func (t *Transfer) fetchCount(chunk int) int {
	n := 0
	for _, f := range t.fetches {
		if f.Chunk == chunk {
			n++
		}
	}
	return n
}
