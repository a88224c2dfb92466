package planner

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OriginFetchers is how many agents of a region share the work of drawing a manifest's
// chunks from the origin or across a region link. A tracker puts these agents
// into each list of holders, so that all agents agree on them while each knows
// only a handful.
const OriginFetchers = 6

// Peer is another agent that holds or wants the same manifest.
type Peer struct {
	ID, FailureDomain, Region string
	// Have is what the peer has told to hold.
	Have Bitmap
}

// Source is where an order sends the agent.
type Source interface{ source() }

// FromPeer names another agent by its ID.
type FromPeer struct{ ID string }

// FromOrigin stands for the weight store, and the origin after it.
type FromOrigin struct{}

func (FromPeer) source()   {}
func (FromOrigin) source() {}

// Order is one chunk to fetch.
type Order struct {
	Chunk  int
	Source Source
}

// Cause is why a fetch failed.
type Cause int

// The causes of a failed fetch.
const (
	// Busy peers have no free upload slot.
	Busy Cause = iota
	// NotHeld peers don't have the chunk.
	NotHeld
	// Unavailable sources didn't answer or broke off.
	Unavailable
	// Corrupt sources sent other bytes.
	Corrupt
)

// peer is a Peer and what this agent has met with it.
type peer struct {
	Peer
	score    uint64
	inFlight int
	failures int
	// slow tells that the last chunk from here took much longer than is usual.
	slow bool
	// refreshed is when the peer was last asked, or itself reported, what it holds.
	refreshed time.Time
	// busyUntil and avoidUntil are in the past for a peer in good standing.
	busyUntil, avoidUntil time.Time
}

// flight is a fetch that runs.
type flight struct {
	Order
	since time.Time
	// across tells that the peer is of another region.
	across bool
}

// originFetcher is an agent that may bring chunks into its region.
type originFetcher struct {
	id   string
	seed uint64
}

// Transfer plans the fetching of one manifest by one agent. It is not safe for
// concurrent use. Set the exported fields before Start.
type Transfer struct {
	ID, FailureDomain, Region string
	Manifest                  string
	Chunks                    int
	// SourceRegion is where the weight store and the origin stand; empty when
	// they are equally near to all.
	SourceRegion string
	// Slots bounds the fetches in flight, PeerSlots those from one peer,
	// OriginSlots those from the origin, AcrossSlots those from other regions.
	Slots, PeerSlots, OriginSlots, AcrossSlots int
	// Questions bounds the peers of this region, and those of others, that are asked at one time
	// what they hold while chunks are on their way, each of which refreshes that as well; 0 for
	// all.
	Questions int
	// Patience is how long an agent leaves a chunk to its designated origin fetcher
	// before it thinks of drawing it itself, and how long a fetch may run before
	// another source is asked too.
	Patience time.Duration
	// BusyBackoff is how long a peer without a free slot is left alone.
	BusyBackoff time.Duration
	// OriginBackoff is the longest pause after the origin did not answer; 0 means that
	// it grows like a peer's. All agents wait for the origin: what it costs to ask it in
	// vain is little against the time that weights come late after its return.
	OriginBackoff time.Duration
	// AvoidFor is how long a peer that sent a corrupt chunk is avoided.
	AvoidFor time.Duration
	// DrawAfter is the time before which nothing is drawn from the origin: at
	// first each agent knows no other and would think itself the only origin fetcher.
	// News of others must have come after it, too, or be Patience late.
	DrawAfter time.Time
	Rand      *rand.Rand

	have, inFlight Bitmap
	// held are chunks on their way for another transfer of the same agent.
	held Bitmap
	// count is of chunks held; drawing and bringing are of fetches in flight from
	// the origin and from other regions.
	count, drawing, bringing int
	// pace is the usual duration of a fetch, smoothed.
	pace    time.Duration
	flights []flight
	peers   []*peer
	// holders counts, for each chunk, the peers of this region that have it.
	holders        []int
	originFetchers map[string][]originFetcher
	// regionSeeds divide the chunks among the regions when SourceRegion has no
	// origin fetcher.
	regionSeeds map[string]uint64
	// rank spreads the fallbacks of the agents that are no origin fetchers.
	rank int
	// remote tells whether agents of other regions are known.
	remote   bool
	scratch  Bitmap
	lastGain time.Time
	learned  time.Time
	// originDown is when the origin last did not answer.
	originDown time.Time
	// drawIdle and bringIdle are since when this agent has had no chunk of its own to draw
	// from the origin, or to bring from another region.
	drawIdle, bringIdle idleness
	origin              peer
}

// Score is an agent's rank among the origin fetchers of a manifest: the highest OriginFetchers
// scores of a region draw. It is a rendezvous hash, so that a change of one agent
// moves only that agent's chunks.
func Score(manifest, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(manifest)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// mix is the rendezvous hash of a chunk with a seed.
func mix(seed uint64, chunk int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(chunk))
	return xxhash.Sum64(b[:])
}

// Start notes the chunks that are already in memory.
func (t *Transfer) Start(now time.Time, have Bitmap) {
	t.have, t.inFlight = NewBitmap(t.Chunks), NewBitmap(t.Chunks)
	t.held, t.scratch = NewBitmap(t.Chunks), NewBitmap(t.Chunks)
	copy(t.have, have)
	t.count = t.have.Count()
	t.lastGain = now
	t.rank = OriginFetchers + t.Rand.IntN(4*OriginFetchers)
	t.recount()
	t.elect()
}

// Have is the set of chunks held. It must not be changed.
func (t *Transfer) Have() Bitmap { return t.have }

// Count is the number of chunks held.
func (t *Transfer) Count() int { return t.count }

// Whole tells whether all chunks are held.
func (t *Transfer) Whole() bool { return t.count == t.Chunks }

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

// InFlight is the number of fetches that run.
func (t *Transfer) InFlight() int { return len(t.flights) }

// Learn replaces the known peers. What was met with those that stay is kept.
func (t *Transfer) Learn(peers []Peer, now time.Time) {
	t.learned = now
	next := make([]*peer, 0, len(peers))
	for _, p := range peers {
		if p.ID == t.ID {
			continue
		}
		q := t.peer(p.ID)
		if q == nil {
			q = &peer{Peer: p, score: Score(t.Manifest, p.ID)}
		} else {
			q.FailureDomain, q.Region = p.FailureDomain, p.Region
			q.Have = union(q.Have, p.Have)
		}
		next = append(next, q)
	}
	t.peers = next
	t.recount()
	t.elect()
}

// Saw notes what a peer itself says that it holds.
func (t *Transfer) Saw(id string, have Bitmap, now time.Time) {
	p := t.peer(id)
	if p == nil {
		return
	}
	p.refreshed = now
	have = have[:min(len(have), len(t.have))]
	if p.Region == t.Region {
		t.adjust(p.Have, have)
	}
	p.Have = have
}

// adjust counts the difference between what a peer held and what it holds.
func (t *Transfer) adjust(before, after Bitmap) {
	for b := range max(len(before), len(after)) {
		old, now := before.octet(b), after.octet(b)
		for diff := old ^ now; diff != 0; diff &= diff - 1 {
			i := b*8 + bits.TrailingZeros8(diff)
			if i >= t.Chunks {
				break
			}
			if now&(1<<(i%8)) != 0 {
				t.holders[i]++
			} else {
				t.holders[i]--
			}
		}
	}
}

// Silent notes a peer that didn't answer when asked what it holds.
func (t *Transfer) Silent(id string, now time.Time) {
	if p := t.peer(id); p != nil {
		t.shun(p, now)
	}
}

// Gain notes a chunk that came to memory by another way than an order, as when
// two versions share it.
func (t *Transfer) Gain(chunk int) {
	if !t.have.Has(chunk) {
		t.have.Set(chunk)
		t.count++
	}
}

// Hold leaves a chunk alone until Release: it is on its way for another transfer
// of this agent that shares it.
func (t *Transfer) Hold(chunk int) { t.held.Set(chunk) }

// Release undoes Hold.
func (t *Transfer) Release(chunk int) { t.held.Clear(chunk) }

// Ask gives the peers to ask now what they hold, and counts them as asked: those that this agent
// may fetch from, that lack chunks as far as is known and that haven't failed lately, the one
// whose holdings are the oldest first.
func (t *Transfer) Ask(now time.Time) []string {
	most := len(t.peers)
	if t.Questions > 0 && len(t.flights) > 0 {
		most = t.Questions
	}
	own := t.stalest(most, now, func(p *peer) bool { return p.Region == t.Region })
	if !t.IsOriginFetcher() {
		return own
	}
	return append(own, t.stalest(most, now, func(p *peer) bool { return p.Region != t.Region })...)
}

// stalest picks up to so many of the chosen peers.
func (t *Transfer) stalest(most int, now time.Time, chosen func(*peer) bool) []string {
	var ps []*peer
	for _, p := range t.peers {
		if chosen(p) && !now.Before(p.avoidUntil) && p.Have.Count() < t.Chunks {
			ps = append(ps, p)
		}
	}
	slices.SortStableFunc(ps, func(a, b *peer) int { return a.refreshed.Compare(b.refreshed) })
	ids := make([]string, 0, min(len(ps), most))
	for _, p := range ps[:min(len(ps), most)] {
		p.refreshed = now
		ids = append(ids, p.ID)
	}
	return ids
}

// Overdue lists the fetches that have run for longer than limit.
func (t *Transfer) Overdue(limit time.Duration, now time.Time) []Order {
	var os []Order
	for _, f := range t.flights {
		if now.Sub(f.since) > limit {
			os = append(os, f.Order)
		}
	}
	return os
}

// recount counts the holders of each chunk anew.
func (t *Transfer) recount() {
	if t.holders == nil {
		t.holders = make([]int, t.Chunks)
	}
	clear(t.holders)
	for _, p := range t.peers {
		if p.Region == t.Region {
			t.adjust(nil, p.Have)
		}
	}
}

func union(a, b Bitmap) Bitmap {
	if len(a) < len(b) {
		a, b = b, a
	}
	u := slices.Clone(a)
	for i, v := range b {
		u[i] |= v
	}
	return u
}

func (t *Transfer) peer(id string) *peer {
	for _, p := range t.peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// elect finds the origin fetchers of each region among the known agents and this one.
func (t *Transfer) elect() {
	t.originFetchers = map[string][]originFetcher{t.Region: {{id: t.ID, seed: Score(t.Manifest, t.ID)}}}
	for _, p := range t.peers {
		t.originFetchers[p.Region] = append(t.originFetchers[p.Region], originFetcher{id: p.ID, seed: p.score})
	}
	t.regionSeeds = make(map[string]uint64, len(t.originFetchers))
	t.remote = len(t.originFetchers) > 1
	for r, ds := range t.originFetchers {
		slices.SortFunc(ds, func(a, b originFetcher) int { return cmp.Compare(b.seed, a.seed) })
		t.originFetchers[r] = ds[:min(len(ds), OriginFetchers)]
		t.regionSeeds[r] = Score(t.Manifest, "region "+r)
	}
}

// IsOriginFetcher tells whether this agent is among the origin fetchers of its region.
func (t *Transfer) IsOriginFetcher() bool {
	return slices.ContainsFunc(t.originFetchers[t.Region], func(d originFetcher) bool { return d.id == t.ID })
}
