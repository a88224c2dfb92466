package planner

import (
	"math/bits"
	"slices"
	"time"
)

// Next gives the next fetch to start, if there is one worth starting now.
func (t *Transfer) Next(now time.Time) (Order, bool) {
	if t.Whole() || t.slotsTaken(now) >= t.Slots {
		return Order{}, false
	}
	for _, choose := range []func(time.Time) (Order, bool){t.draw, t.bring, t.relay, t.fallback, t.hedge} {
		if o, ok := choose(now); ok {
			t.begin(o, now)
			return o, true
		}
	}
	return Order{}, false
}

// slotsTaken is how many fetches hold a slot. Some that run for too long give theirs up:
// with every slot at slow peers, an agent would stand still beside quick ones.
func (t *Transfer) slotsTaken(now time.Time) int {
	overrun := 0
	for _, f := range t.flights {
		if t.slow(f, now) {
			overrun++
		}
	}
	return len(t.flights) - min(overrun, t.Slots)
}

// slow tells whether a fetch runs for much longer than is usual.
func (t *Transfer) slow(f flight, now time.Time) bool {
	return now.Sub(f.since) > t.patience()/2
}

func (t *Transfer) begin(o Order, now time.Time) {
	f := flight{Order: o, since: now}
	t.inFlight.Set(o.Chunk)
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight++
			f.across = p.Region != t.Region
		}
	case FromOrigin:
		t.drawing++
	}
	if f.across {
		t.bringing++
	}
	t.flights = append(t.flights, f)
}

// end takes a fetch out of the flights and gives how long it ran.
func (t *Transfer) end(o Order, now time.Time) time.Duration {
	i := slices.IndexFunc(t.flights, func(f flight) bool { return f.Order == o })
	if i < 0 {
		return 0
	}
	took := now.Sub(t.flights[i].since)
	if t.flights[i].across {
		t.bringing--
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
	return took
}

// Done notes a verified chunk. It tells whether the chunk is new: two sources
// may have been asked for it.
func (t *Transfer) Done(o Order, now time.Time) bool {
	took := t.end(o, now)
	source := t.met(o.Source)
	source.slow = took > t.patience()/2
	source.failures = 0
	t.pace += (took - t.pace) / 8
	t.lastGain = now
	if t.have.Has(o.Chunk) {
		return false
	}
	t.have.Set(o.Chunk)
	t.count++
	return true
}

// Failed notes a fetch that gave nothing.
func (t *Transfer) Failed(o Order, cause Cause, now time.Time) {
	t.end(o, now)
	p := t.met(o.Source)
	switch cause {
	case Busy:
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case NotHeld:
		if p.Have.Has(o.Chunk) {
			p.Have = slices.Clone(p.Have)
			p.Have.Clear(o.Chunk)
			t.recount()
		}
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case Unavailable:
		t.shun(p, now)
	case Corrupt:
		p.avoidUntil = now.Add(t.jitter(t.distrust(o.Source)))
		p.failures++
	}
}

// mostDoublings bounds the exponential backoff, so that a source which comes back
// after a long outage is noticed soon.
const mostDoublings = 3

// shun leaves a source that doesn't answer alone, longer with each failure.
func (t *Transfer) shun(p *peer, now time.Time) {
	wait := t.Patience << min(p.failures, mostDoublings)
	if p == &t.origin && t.OriginBackoff > 0 {
		wait = min(wait, t.OriginBackoff)
	}
	p.avoidUntil = now.Add(t.jitter(wait))
	p.failures++
}

// distrust is how long a source that sent a corrupt chunk is avoided. A peer
// with bad memory sends bad chunks again and again, while others have the same
// chunk; the origin is the last resort and can't be left for long.
func (t *Transfer) distrust(s Source) time.Duration {
	if _, ok := s.(FromPeer); ok {
		return t.AvoidFor
	}
	return t.BusyBackoff << min(t.origin.failures, mostDoublings)
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

// open tells whether chunk i is neither here nor on its way.
func (t *Transfer) open(i int) bool { return !t.have.Has(i) && !t.inFlight.Has(i) && !t.held.Has(i) }

// draw picks a chunk that this agent alone should ask the origin for: its own first, and
// then those of drawers that are far behind.
func (t *Transfer) draw(now time.Time) (Order, bool) {
	if !t.settled(now) || t.drawing >= t.OriginSlots || !t.origin.usable(now) || !t.draws() {
		return Order{}, false
	}
	undrawn := func(i int) bool { return !t.have.Has(i) && t.holders[i] == 0 && t.home(i) == t.Region }
	own := func(i int) bool { return undrawn(i) && t.open(i) && t.drawer(i, t.Region, now) == t.ID }
	i, ok := t.upward(t.firstDrawn(t.ID), own)
	if idle := t.drawIdle.lasts(ok, now); !ok {
		i, ok = t.takeOver(undrawn, t.OriginSlots, idle, now)
	}
	return Order{Chunk: i, Source: FromOrigin{}}, ok
}

// idlePart is the part of Patience for which an agent must have had nothing of its own to
// fetch before it takes chunks over, and slowIdlePart the same for those of an agent that
// was slow. What others hold is heard with a delay; on quick links they would all seem far
// behind, and the origin be asked twice.
const (
	idlePart     = 2
	slowIdlePart = 8
)

// idleness is since when there has been nothing to do.
type idleness struct{ since time.Time }

// lasts notes whether there is something to do now, and gives how long there has been
// nothing.
func (i *idleness) lasts(busy bool, now time.Time) time.Duration {
	switch {
	case busy:
		i.since = time.Time{}
		return 0
	case i.since.IsZero():
		i.since = now
	}
	return now.Sub(i.since)
}

// takeOver picks a missing chunk of a drawer that has more left than the given number of
// slots when this one has none. A drawer behind a narrow link answers every call, so that
// it isn't passed over for its silence, and all agents wait for its chunks while the
// origin's link stands idle. Its chunks fall to the next in rank, who begins at the other
// end, so that few are fetched twice.
func (t *Transfer) takeOver(missing func(int) bool, slots int, idle time.Duration, now time.Time) (int, bool) {
	slow := t.slowDrawers(now)
	for _, d := range t.drawers[t.Region] {
		if d.id == t.ID {
			continue
		}
		left := t.inOrder(d.id, func(i int) bool { return missing(i) && t.drawer(i, t.Region, now) == d.id })
		// What is on its way to the drawer isn't known here, nor what came to it just now;
		// of a slow one even that is fetched once more.
		spared, wait := slots+1, t.Patience/idlePart
		if slices.Contains(slow, d.id) {
			spared, wait = 0, t.Patience/slowIdlePart
		}
		if idle < wait {
			continue
		}
		for n := len(left) - 1; n >= spared; n-- {
			if t.open(left[n]) && t.firstRanked(left[n], t.Region, now, append(slow, d.id)) == t.ID {
				return left[n], true
			}
		}
	}
	return 0, false
}

// inOrder lists the chunks that a drawer is still to fetch, the next one first.
func (t *Transfer) inOrder(id string, good func(int) bool) []int {
	var is []int
	t.upward(t.firstDrawn(id), func(i int) bool {
		if good(i) {
			is = append(is, i)
		}
		return false
	})
	return is
}

// slowDrawers are the drawers of this region whose chunks came slowly.
func (t *Transfer) slowDrawers(now time.Time) []string {
	var ids []string
	for _, d := range t.drawers[t.Region] {
		if p := t.peer(d.id); p != nil && t.sluggish(p, now) {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// sluggish tells whether the last chunk from a peer came slowly, or one is on its way for
// too long.
func (t *Transfer) sluggish(p *peer, now time.Time) bool {
	return p.slow || slices.ContainsFunc(t.flights, func(f flight) bool {
		return f.Source == FromPeer{ID: p.ID} && t.slow(f, now)
	})
}

// firstDrawn is the chunk from which a drawer goes upward, the same for all agents.
func (t *Transfer) firstDrawn(id string) int {
	return int(Score(t.Manifest, id) % uint64(t.Chunks))
}

// settled tells whether this agent knows enough of the others to draw.
func (t *Transfer) settled(now time.Time) bool {
	if now.Before(t.DrawAfter) {
		return false
	}
	return !t.learned.Before(t.DrawAfter) || now.Sub(t.DrawAfter) > t.Patience
}

// any picks a chunk by a random start, in order from there.
func (t *Transfer) any(good func(int) bool) (int, bool) {
	return t.upward(t.Rand.IntN(t.Chunks), good)
}

// upward picks the first good chunk from start on, in a circle.
func (t *Transfer) upward(start int, good func(int) bool) (int, bool) {
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
	return t.firstRanked(i, region, now, nil)
}

// firstRanked is the highest drawer of chunk i that answers and isn't left out.
func (t *Transfer) firstRanked(i int, region string, now time.Time, without []string) string {
	best, top := "", uint64(0)
	for _, d := range t.drawers[region] {
		if slices.Contains(without, d.id) {
			continue
		}
		if p := t.peer(d.id); p != nil && now.Before(p.avoidUntil) {
			continue
		}
		if s := mix(d.seed, i); best == "" || s > top {
			best, top = d.id, s
		}
	}
	return best
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
	if !t.remote || t.bringing >= t.AcrossSlots || !t.draws() {
		return Order{}, false
	}
	offered := t.offered(now, func(p *peer) bool { return p.Region != t.Region })
	missing := func(i int) bool {
		return offered.Has(i) && !t.have.Has(i) && t.holders[i] == 0 && t.arrives(i, now)
	}
	i, ok := t.upward(t.firstDrawn(t.ID), func(i int) bool { return missing(i) && t.open(i) && t.brings(i, now) })
	if idle := t.bringIdle.lasts(ok, now); !ok {
		i, ok = t.takeOver(missing, t.AcrossSlots, idle, now)
	}
	if !ok {
		return Order{}, false
	}
	from := t.before(i)
	return t.ask(i, now, func(p *peer) bool { return p.Region == from || t.stalled(now) && p.Region != t.Region })
}

// arrives tells whether a chunk can come into this region now, from the region before it
// in the chain.
func (t *Transfer) arrives(i int, now time.Time) bool {
	if t.stalled(now) {
		return true
	}
	from := t.before(i)
	return slices.ContainsFunc(t.peers, func(p *peer) bool {
		return p.Region == from && p.Have.Has(i) && t.free(p, now)
	})
}

// before is the region from which chunk i comes into this one.
func (t *Transfer) before(i int) string {
	home := t.home(i)
	best, highest := home, uint64(0)
	own := mix(t.regionSeeds[t.Region], i)
	for r, seed := range t.regionSeeds {
		// Of the regions ranked below this one the nearest comes before it.
		if s := mix(seed, i); r != home && s < own && s > highest {
			best, highest = r, s
		}
	}
	return best
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
	return t.drawer(i, t.Region, now) == t.ID || t.stalled(now)
}

// stalled tells whether nothing has arrived for longer than this agent leaves
// chunks to their drawers. A drawer that lives and makes no headway, such as
// one whose own link to the origin is down, shows in no failed call; its chunks
// would be missing for ever in all agents. The wait grows with the rank, so that
// the other drawers try before the many others do.
func (t *Transfer) stalled(now time.Time) bool {
	wait := t.patience()
	if !t.draws() {
		wait *= time.Duration(2 + t.rank)
	}
	return now.Sub(t.lastGain) > wait
}

// patience is Patience, or longer where fetches take long as a rule: on a slow
// link agents would otherwise think each other silent, and ask twice for what is
// on its way.
func (t *Transfer) patience() time.Duration { return max(t.Patience, paces*t.pace) }

// paces is how many times the usual duration of a fetch counts as too long.
const paces = 4

// fallback draws a chunk from the origin out of turn, one at a time.
func (t *Transfer) fallback(now time.Time) (Order, bool) {
	if len(t.flights) > 0 || !t.settled(now) || !t.origin.usable(now) || !t.stalled(now) {
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
		if now.Sub(f.since) <= t.patience() || t.tries(f.Chunk) > 1 {
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

// askAcross orders a chunk from another region whose fetch runs for too long. The other
// regions often have it before the agents that share a link with a slow drawer.
func (t *Transfer) askAcross(f flight, now time.Time) (Order, bool) {
	if !t.draws() || t.bringing >= t.AcrossSlots {
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
