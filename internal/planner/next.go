package planner

import (
	"slices"
	"time"
)

// Next gives the next fetch to start, if there is one worth starting now.
func (t *Transfer) Next(now time.Time) (Order, bool) {
	if t.Whole() || len(t.flights) >= t.Slots {
		return Order{}, false
	}
	for _, choose := range []func(time.Time) (Order, bool){t.draw, t.relay, t.fallback, t.hedge} {
		if o, ok := choose(now); ok {
			t.begin(o, now)
			return o, true
		}
	}
	return Order{}, false
}

func (t *Transfer) begin(o Order, now time.Time) {
	t.flights = append(t.flights, flight{Order: o, since: now})
	t.inFlight.Set(o.Chunk)
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight++
		}
	case FromOrigin:
		t.drawing++
	}
}

// end takes a fetch out of the flights; it tells whether it was among them.
func (t *Transfer) end(o Order) bool {
	i := slices.IndexFunc(t.flights, func(f flight) bool { return f.Order == o })
	if i < 0 {
		return false
	}
	t.flights = slices.Delete(t.flights, i, i+1)
	if !slices.ContainsFunc(t.flights, func(f flight) bool { return f.Chunk == o.Chunk }) {
		t.inFlight.Clear(o.Chunk)
	}
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight = max(0, p.inFlight-1)
		}
	case FromOrigin:
		t.drawing--
	}
	return true
}

// Done notes a verified chunk. It tells whether the chunk is new: two sources
// may have been asked for it.
func (t *Transfer) Done(o Order, now time.Time) bool {
	t.end(o)
	t.lastGain = now
	t.met(o.Source).failures = 0
	if t.have.Has(o.Chunk) {
		return false
	}
	t.have.Set(o.Chunk)
	t.count++
	return true
}

// Failed notes a fetch that gave nothing.
func (t *Transfer) Failed(o Order, cause Cause, now time.Time) {
	t.end(o)
	p := t.met(o.Source)
	switch cause {
	case Busy:
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case NotHeld:
		p.Have.Clear(o.Chunk)
		t.recount()
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case Unavailable:
		t.shun(p, now)
	case Corrupt:
		p.avoidUntil = now.Add(t.jitter(t.distrust(o.Source)))
		p.failures++
	}
}

// shun leaves a source that doesn't answer alone, longer with each failure.
func (t *Transfer) shun(p *peer, now time.Time) {
	p.avoidUntil = now.Add(t.jitter(t.Patience << min(p.failures, 5)))
	p.failures++
}

// distrust is how long a source that sent a corrupt chunk is avoided. A peer
// with bad memory sends bad chunks again and again, while others have the same
// chunk; the origin is the last resort and can't be left for long.
func (t *Transfer) distrust(s Source) time.Duration {
	if _, ok := s.(FromPeer); ok {
		return t.AvoidFor
	}
	return t.BusyBackoff << min(t.origin.failures, 5)
}

// met is what was met with a source; for a peer no longer known, a blank.
func (t *Transfer) met(s Source) *peer {
	switch s := s.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			return p
		}
		return new(peer)
	default:
		return &t.origin
	}
}

// jitter spreads a wait over half to one and a half of d. Agents fail together,
// as when the origin goes down, and would all come back at the same moment.
func (t *Transfer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.Rand.Int64N(int64(d)+1))
}

func (p *peer) usable(now time.Time) bool {
	return !now.Before(p.avoidUntil) && !now.Before(p.busyUntil)
}

// open tells whether chunk i is neither held nor on its way.
func (t *Transfer) open(i int) bool { return !t.have.Has(i) && !t.inFlight.Has(i) }

// draw picks a chunk that this agent alone should ask the origin for.
func (t *Transfer) draw(now time.Time) (Order, bool) {
	if now.Before(t.DrawAfter) || t.drawing >= t.OriginSlots || !t.origin.usable(now) || !t.draws() {
		return Order{}, false
	}
	mine := func(i int) bool {
		return t.open(i) && t.holders[i] == 0 && t.home(i) == t.Region && t.drawer(i, t.Region, now) == t.ID
	}
	i, ok := t.any(mine)
	return Order{Chunk: i, Source: FromOrigin{}}, ok
}

// any picks a chunk by a random start, in order from there.
func (t *Transfer) any(good func(int) bool) (int, bool) {
	start := t.Rand.IntN(t.Chunks)
	for k := range t.Chunks {
		if i := (start + k) % t.Chunks; good(i) {
			return i, true
		}
	}
	return 0, false
}

// home is the region that draws chunk i from the origin.
func (t *Transfer) home(i int) string {
	if len(t.drawers[t.SourceRegion]) > 0 {
		return t.SourceRegion
	}
	best, top := t.Region, uint64(0)
	for r := range t.drawers {
		if s := mix(t.regionSeeds[r], i); s > top || s == top && r < best {
			best, top = r, s
		}
	}
	return best
}

// drawer is the agent of a region that brings chunk i into it. Drawers that
// don't answer are passed over, so that their chunks fall to the next in rank.
func (t *Transfer) drawer(i int, region string, now time.Time) string {
	best, top := "", uint64(0)
	for _, d := range t.drawers[region] {
		if p := t.peer(d.id); p != nil && now.Before(p.avoidUntil) {
			continue
		}
		if s := mix(d.seed, i); best == "" || s > top {
			best, top = d.id, s
		}
	}
	return best
}

// relay picks the rarest chunk that a peer can give, ties at random.
func (t *Transfer) relay(now time.Time) (Order, bool) {
	best, rarest, source := 0, int(^uint(0)>>1), (*peer)(nil)
	start := t.Rand.IntN(t.Chunks)
	for k := range t.Chunks {
		i := (start + k) % t.Chunks
		if !t.open(i) || t.holders[i] >= rarest {
			continue
		}
		if p := t.giver(i, now, ""); p != nil {
			best, rarest, source = i, t.holders[i], p
		}
	}
	if source == nil {
		return Order{}, false
	}
	return Order{Chunk: best, Source: FromPeer{ID: source.ID}}, true
}

// giver picks the peer to ask for chunk i: one of this region, or, when this
// agent is the one to bring the chunk into its region, of another. The least
// asked is taken, ties at random. The peer named not is left out.
func (t *Transfer) giver(i int, now time.Time, not string) *peer {
	across := t.holders[i] == 0 && t.brings(i, now)
	var best *peer
	ties := 0
	for _, p := range t.peers {
		if !p.Have.Has(i) || !p.usable(now) || p.inFlight >= t.PeerSlots || p.ID == not {
			continue
		}
		if p.Region != t.Region && !across {
			continue
		}
		if best == nil || p.inFlight < best.inFlight {
			best, ties = p, 1
			continue
		}
		if p.inFlight > best.inFlight {
			continue
		}
		ties++
		if t.Rand.IntN(ties) == 0 {
			best = p
		}
	}
	return best
}

// brings tells whether this agent is the one to bring chunk i into its region,
// or the one that should have has been silent for too long.
func (t *Transfer) brings(i int, now time.Time) bool {
	return t.drawer(i, t.Region, now) == t.ID || t.stalled(now)
}

// stalled tells whether nothing has arrived for longer than this agent leaves
// chunks to their drawers. A drawer that lives and makes no headway, such as
// one whose own link to the origin is down, shows in no failed call; its chunks
// would be missing for ever in all agents. The wait grows with the rank, so that
// the other drawers try before the many others do.
func (t *Transfer) stalled(now time.Time) bool {
	wait := t.Patience
	if !t.draws() {
		wait *= time.Duration(2 + t.rank)
	}
	return now.Sub(t.lastGain) > wait
}

// fallback draws a chunk from the origin out of turn, one at a time.
func (t *Transfer) fallback(now time.Time) (Order, bool) {
	if len(t.flights) > 0 || now.Before(t.DrawAfter) || !t.origin.usable(now) || !t.stalled(now) {
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
		if now.Sub(f.since) <= t.Patience || t.tries(f.Chunk) > 1 {
			continue
		}
		not := ""
		if s, ok := f.Source.(FromPeer); ok {
			not = s.ID
		}
		if p := t.giver(f.Chunk, now, not); p != nil {
			return Order{Chunk: f.Chunk, Source: FromPeer{ID: p.ID}}, true
		}
	}
	return Order{}, false
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
