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

// OriginFetchersPerRegion is how many agents of a region share the work of fetching a
// manifest's chunks from the origin or across a region link. A tracker includes these agents in
// each list of holders, so that all agents agree on them while each is sent only a few.
const OriginFetchersPerRegion = 6

// Peer is another agent that holds or wants the same manifest.
type Peer struct {
	ID, FailureDomain, Region string
	// Have is the set of chunks that the peer has reported.
	Have Bitmap
}

// Source is the source of an order's chunk.
type Source interface{ source() }

// FromPeer identifies another agent by its ID.
type FromPeer struct{ ID string }

// FromOrigin stands for the weight store, and the origin behind it.
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

// peer is a Peer and this agent's record of it.
type peer struct {
	Peer
	score    uint64
	inFlight int
	failures int
	// slow means that the last chunk from here took much longer than usual.
	slow bool
	// refreshed is when the peer's holdings were last queried or reported by
	// itself.
	refreshed time.Time
	// busyUntil and avoidUntil are in the past for a usable peer.
	busyUntil, avoidUntil time.Time
}

// fetch is an order in progress.
type fetch struct {
	Order
	started time.Time
	// crossRegion means that the peer is of another region.
	crossRegion bool
}

// originFetcher is an agent that may fetch chunks into its region.
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
	// SourceRegion is the region of the weight store and the origin; empty if
	// they are equally near to all.
	SourceRegion string
	// Slots bounds the fetches in flight, PeerSlots those from one peer,
	// OriginSlots those from the origin, AcrossSlots those from other regions.
	Slots, PeerSlots, OriginSlots, AcrossSlots int
	// Questions bounds the peers of this region, and those of others, whose holdings are queried
	// at one time while chunks, each of which refreshes them as well, are in flight; 0 for all.
	Questions int
	// Patience is how long an agent leaves a chunk to its designated origin fetcher
	// before it may fetch it itself, and how long a fetch may run before the chunk
	// is requested from another source too.
	Patience time.Duration
	// BusyBackoff is how long a peer without a free slot is avoided.
	BusyBackoff time.Duration
	// OriginBackoff is the longest pause after the origin did not answer; 0 means that
	// it grows like a peer's. All agents wait for the origin: a failed request costs
	// little compared with weights that arrive late after its recovery.
	OriginBackoff time.Duration
	// AvoidFor is how long a peer that sent a corrupt chunk is avoided.
	AvoidFor time.Duration
	// DrawAfter is the time before which nothing is fetched from the origin: at first
	// no agent has discovered others and each would act as the only origin fetcher.
	// Updates of others must have arrived after it, too, or be Patience late.
	DrawAfter time.Time
	Rand      *rand.Rand

	have, inFlight Bitmap
	// excluded are chunks in flight for another transfer of the same agent.
	excluded Bitmap
	// count is the number of chunks held; originFetches and crossRegionFetches
	// are the fetches in flight from the origin and from other regions.
	count, originFetches, crossRegionFetches int
	// meanFetchTime is the smoothed duration of a fetch.
	meanFetchTime time.Duration
	fetches       []fetch
	peers         []*peer
	// holders counts, for each chunk, the peers of this region that have it.
	holders        []int
	originFetchers map[string][]originFetcher
	// regionSeeds divide the chunks among the regions if SourceRegion has no
	// origin fetcher.
	regionSeeds map[string]uint64
	// fallbackRank spreads the fallbacks of the agents that are no origin
	// fetchers.
	fallbackRank int
	// hasRemotePeers reports whether agents of other regions are known.
	hasRemotePeers bool
	scratch        Bitmap
	lastChunkAt    time.Time
	peersSetAt     time.Time
	// originFailedAt is when the origin last did not answer.
	originFailedAt time.Time
	// originIdle and crossRegionIdle record since when this agent has had no chunk of its
	// own to fetch from the origin, or from another region.
	originIdle, crossRegionIdle idleTimer
	origin                      peer
}

// Score is an agent's rank among the origin fetchers of a manifest: those with the
// OriginFetchersPerRegion highest scores of a region fetch. It is a rendezvous hash, so that a
// change of one agent moves only that agent's chunks.
func Score(manifest, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(manifest)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// chunkScore is the rendezvous hash of a chunk with a seed.
func chunkScore(seed uint64, chunk int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(chunk))
	return xxhash.Sum64(b[:])
}

// Start initializes the transfer with the chunks that are already in memory.
func (t *Transfer) Start(now time.Time, have Bitmap) {
	t.have, t.inFlight = NewBitmap(t.Chunks), NewBitmap(t.Chunks)
	t.excluded, t.scratch = NewBitmap(t.Chunks), NewBitmap(t.Chunks)
	copy(t.have, have)
	t.count = t.have.Count()
	t.lastChunkAt = now
	t.fallbackRank = OriginFetchersPerRegion + t.Rand.IntN(4*OriginFetchersPerRegion)
	t.recountHolders()
	t.selectOriginFetchers()
}

// Have is the set of chunks held. It must not be changed.
func (t *Transfer) Have() Bitmap { return t.have }

// Count is the number of chunks held.
func (t *Transfer) Count() int { return t.count }

// Complete reports whether all chunks are held.
func (t *Transfer) Complete() bool { return t.count == t.Chunks }

// FetchedFromOrigin reports whether the origin has delivered every chunk that this region
// fetches from it, as far as its agents are known here.
func (t *Transfer) FetchedFromOrigin() bool {
	for i := range t.Chunks {
		if t.originRegion(i) == t.Region && !t.have.Has(i) && t.holders[i] == 0 {
			return false
		}
	}
	return true
}

// InFlight is the number of fetches in progress.
func (t *Transfer) InFlight() int { return len(t.fetches) }

// SetPeers replaces the known peers. The state of those that stay is kept.
func (t *Transfer) SetPeers(peers []Peer, now time.Time) {
	t.peersSetAt = now
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
	t.recountHolders()
	t.selectOriginFetchers()
}

// SetHoldings records the holdings that a peer itself reported.
func (t *Transfer) SetHoldings(id string, have Bitmap, now time.Time) {
	p := t.peer(id)
	if p == nil {
		return
	}
	p.refreshed = now
	have = have[:min(len(have), len(t.have))]
	if p.Region == t.Region {
		t.updateHolders(p.Have, have)
	}
	p.Have = have
}

// updateHolders applies a change of a peer's holdings to the holder counts.
func (t *Transfer) updateHolders(before, after Bitmap) {
	for b := range max(len(before), len(after)) {
		old, now := before.byteAt(b), after.byteAt(b)
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

// MarkUnresponsive records a peer that didn't answer a query for its holdings.
func (t *Transfer) MarkUnresponsive(id string, now time.Time) {
	if p := t.peer(id); p != nil {
		t.backOff(p, now)
	}
}

// AddChunk records a chunk obtained without an order, such as one shared by two
// versions.
func (t *Transfer) AddChunk(chunk int) {
	if !t.have.Has(chunk) {
		t.have.Set(chunk)
		t.count++
	}
}

// Exclude keeps a chunk from being ordered until Include: it is in flight for
// another transfer of this agent that shares it.
func (t *Transfer) Exclude(chunk int) { t.excluded.Set(chunk) }

// Include undoes Exclude.
func (t *Transfer) Include(chunk int) { t.excluded.Clear(chunk) }

// PeersToQuery returns the peers to query for their holdings now, and records them as queried: those that
// this agent may fetch from, that lack chunks as far as is known and that haven't failed recently, the
// one with the oldest holdings first.
func (t *Transfer) PeersToQuery(now time.Time) []string {
	limit := len(t.peers)
	if t.Questions > 0 && len(t.fetches) > 0 {
		limit = t.Questions
	}
	own := t.leastRecentlyRefreshed(limit, now, func(p *peer) bool { return p.Region == t.Region })
	if !t.IsOriginFetcher() {
		return own
	}
	return append(own, t.leastRecentlyRefreshed(limit, now, func(p *peer) bool { return p.Region != t.Region })...)
}

// leastRecentlyRefreshed picks up to limit of the chosen peers.
func (t *Transfer) leastRecentlyRefreshed(limit int, now time.Time, chosen func(*peer) bool) []string {
	var ps []*peer
	for _, p := range t.peers {
		if chosen(p) && !now.Before(p.avoidUntil) && p.Have.Count() < t.Chunks {
			ps = append(ps, p)
		}
	}
	slices.SortStableFunc(ps, func(a, b *peer) int { return a.refreshed.Compare(b.refreshed) })
	ids := make([]string, 0, min(len(ps), limit))
	for _, p := range ps[:min(len(ps), limit)] {
		p.refreshed = now
		ids = append(ids, p.ID)
	}
	return ids
}

// Overdue lists the fetches that have run for longer than limit.
func (t *Transfer) Overdue(limit time.Duration, now time.Time) []Order {
	var os []Order
	for _, f := range t.fetches {
		if now.Sub(f.started) > limit {
			os = append(os, f.Order)
		}
	}
	return os
}

// recountHolders recomputes the holders of each chunk.
func (t *Transfer) recountHolders() {
	if t.holders == nil {
		t.holders = make([]int, t.Chunks)
	}
	clear(t.holders)
	for _, p := range t.peers {
		if p.Region == t.Region {
			t.updateHolders(nil, p.Have)
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

// selectOriginFetchers determines the origin fetchers of each region among the known
// agents and this one.
func (t *Transfer) selectOriginFetchers() {
	t.originFetchers = map[string][]originFetcher{t.Region: {{id: t.ID, seed: Score(t.Manifest, t.ID)}}}
	for _, p := range t.peers {
		t.originFetchers[p.Region] = append(t.originFetchers[p.Region], originFetcher{id: p.ID, seed: p.score})
	}
	t.regionSeeds = make(map[string]uint64, len(t.originFetchers))
	t.hasRemotePeers = len(t.originFetchers) > 1
	for r, ds := range t.originFetchers {
		slices.SortFunc(ds, func(a, b originFetcher) int { return cmp.Compare(b.seed, a.seed) })
		t.originFetchers[r] = ds[:min(len(ds), OriginFetchersPerRegion)]
		t.regionSeeds[r] = Score(t.Manifest, "region "+r)
	}
}

// IsOriginFetcher reports whether this agent is among the origin fetchers of its
// region.
func (t *Transfer) IsOriginFetcher() bool {
	return slices.ContainsFunc(t.originFetchers[t.Region], func(d originFetcher) bool { return d.id == t.ID })
}
