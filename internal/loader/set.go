package loader

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

func cmpString(a, b string) int { return cmp.Compare(a, b) }

// weightSet is one set of weights: wanted, being fetched, or held.
type weightSet struct {
	digest string
	// wantedSince is when the set was first wanted.
	wantedSince time.Time
	// manifest and body are nil until fetched.
	manifest *fetcher.Manifest
	body     []byte
	// chunkIndexes lists the chunk numbers of each digest.
	chunkIndexes map[string][]int
	// transfer is nil until memory is reserved for the set.
	transfer *planner.Transfer
	peers    []messenger.Holder
	polledAt time.Time
	// manifestRetryAt is when the manifest may be requested again.
	manifestRetryAt       time.Time
	refused               bool
	fromPeers, fromOrigin int64
	corrupt               int
}

func (s *weightSet) progress() Progress {
	p := Progress{
		Manifest: s.digest, FromPeers: s.fromPeers, FromOrigin: s.fromOrigin,
		Corrupt: s.corrupt, Refused: s.refused,
	}
	if s.manifest == nil {
		return p
	}
	p.AllChunks, p.AllBytes = len(s.manifest.Chunks), s.manifest.Size
	if s.transfer == nil {
		return p
	}
	p.Chunks = s.transfer.Count()
	for i := range s.manifest.Chunks {
		if s.transfer.Have().Has(i) {
			p.Bytes += s.manifest.ChunkBytes(i)
		}
	}
	return p
}

// updatePeers selects the holders of this set among the known ones.
func (s *weightSet) updatePeers(self, region string, known map[holderKey]reportedHolder, reportedAt time.Time) {
	s.peers = selectHolders(self, region, s.digest, known)
	if s.transfer != nil {
		s.transfer.SetPeers(plannerPeers(s.peers), reportedAt)
	}
}

func plannerPeers(hs []messenger.Holder) []planner.Peer {
	ps := make([]planner.Peer, 0, len(hs))
	for _, h := range hs {
		ps = append(ps, planner.Peer{
			ID: h.ID, FailureDomain: h.FailureDomain, Region: h.Region, Have: planner.Bitmap(h.Holding.Have),
		})
	}
	return ps
}

func (s *weightSet) peer(id string) (messenger.Holder, bool) {
	i := slices.IndexFunc(s.peers, func(h messenger.Holder) bool { return h.ID == id })
	if i < 0 {
		return messenger.Holder{}, false
	}
	return s.peers[i], true
}

// runFetch executes one order.
func (l *Loader) runFetch(ctx context.Context, s *weightSet, o planner.Order) {
	digest, size := s.manifest.Chunks[o.Chunk], s.manifest.ChunkBytes(o.Chunk)
	data, err := l.fetch(ctx, s, o, digest, size)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.triggerStep()
	f := fetchKey{s.digest, o}
	if cancel := l.cancels[f]; cancel != nil {
		cancel()
		delete(l.cancels, f)
	}
	l.updateSharing(s, o.Chunk, (*planner.Transfer).Include)
	if l.sets[s.digest] != s || s.transfer == nil {
		return
	}
	if err != nil {
		l.handleFailure(s, o, err)
		return
	}
	l.handleChunk(s, o, digest, data)
}

// fetch returns verified bytes. The fetcher's own types check the digest here even if the source
// promises to; other implementations of fetcher.Source must check it as well.
func (l *Loader) fetch(ctx context.Context, s *weightSet, o planner.Order, digest string, size int64) ([]byte, error) {
	switch from := o.Source.(type) {
	case planner.FromPeer:
		l.mu.Lock()
		h, ok := s.peer(from.ID)
		var held planner.Bitmap
		if s.transfer != nil {
			held = slices.Clone(s.transfer.Have())
		}
		l.mu.Unlock()
		if !ok {
			return nil, &fetcher.NotHeldError{Source: from.ID, Digest: digest}
		}
		return fetcher.Verified(l.withHoldingExchange(s, from.ID, held, l.Peer(h.Address))).Chunk(ctx, digest, size)
	default:
		return l.fromSources(func(src fetcher.Source) ([]byte, error) { return src.Chunk(ctx, digest, size) })
	}
}

// withHoldingExchange makes a chunk request report to each side what the other holds. With polls
// alone this information is as old as several chunks take on a fast link, and agents ask each other
// for chunks that are gone or have not arrived.
func (l *Loader) withHoldingExchange(s *weightSet, id string, held []byte, src fetcher.Source) fetcher.Source {
	peer, ok := src.(*fetcher.HTTP)
	if !ok {
		return src
	}
	extended := *peer
	extended.Watched, extended.Agent, extended.Held = s.digest, l.ID, held
	extended.OnHolding = func(have []byte) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.recordHolding(s, id, have)
	}
	return &extended
}

// recordHolding records the holdings that a peer itself reports.
func (l *Loader) recordHolding(s *weightSet, id string, have []byte) {
	if s.transfer != nil {
		s.transfer.SetHoldings(id, planner.Bitmap(have), l.Clock.Now())
	}
}

// fromSources tries the sources in order and returns the first successful response.
func (l *Loader) fromSources(request func(fetcher.Source) ([]byte, error)) ([]byte, error) {
	err := error(&fetcher.UnavailableError{Source: "no source"})
	for _, src := range l.Sources {
		data, e := request(fetcher.Verified(src))
		if e == nil {
			return data, nil
		}
		err = e
	}
	return nil, err
}

func (l *Loader) handleChunk(s *weightSet, o planner.Order, digest string, data []byte) {
	before := s.transfer.Count()
	s.transfer.Done(o, l.Clock.Now())
	switch o.Source.(type) {
	case planner.FromPeer:
		s.fromPeers += int64(len(data))
	default:
		s.fromOrigin += int64(len(data))
	}
	if c := l.chunks[digest]; c == nil || c.data != nil {
		return
	}
	l.storeChunk(digest, data)
	l.notifyChanged()
	l.logQuarterProgress(s, before)
	if s.transfer.Complete() {
		klog.InfoS("Weights complete", "agent", l.ID, "manifest", s.digest, "version", s.manifest.Version,
			"fromPeers", s.fromPeers, "fromOrigin", s.fromOrigin, "after", l.Clock.Since(s.wantedSince))
	}
}

// logQuarterProgress logs each quarter of a version that has arrived, which shows the slow agents
// when a version is late.
func (l *Loader) logQuarterProgress(s *weightSet, before int) {
	const quarters = 4
	count, all := s.transfer.Count(), s.transfer.Chunks
	if count < all && before*quarters/all < count*quarters/all {
		klog.InfoS("Weights arriving", "agent", l.ID, "manifest", s.digest, "version", s.manifest.Version, "chunks", count, "of", all,
			"fromPeers", s.fromPeers, "fromOrigin", s.fromOrigin, "after", l.Clock.Since(s.wantedSince))
	}
}

func (l *Loader) handleFailure(s *weightSet, o planner.Order, err error) {
	cause := causeOf(err)
	if cause == planner.Corrupt {
		s.corrupt++
		klog.ErrorS(err, "Corrupt chunk discarded", "agent", l.ID, "manifest", s.digest, "chunk", o.Chunk, "source", o.Source)
	} else {
		klog.V(2).InfoS("Fetch failed", "agent", l.ID, "manifest", s.digest, "chunk", o.Chunk, "source", o.Source, "err", err)
	}
	s.transfer.Failed(o, cause, l.Clock.Now())
}

func causeOf(err error) planner.Cause {
	var corrupt *fetcher.CorruptError
	var missing *fetcher.NotHeldError
	var unavailable *fetcher.UnavailableError
	switch {
	case errors.As(err, &corrupt):
		return planner.Corrupt
	case errors.As(err, &missing):
		return planner.NotHeld
	case errors.As(err, &unavailable) && unavailable.Busy():
		return planner.Busy
	default:
		return planner.Unavailable
	}
}

// pollPeers asks peers of a set for their current holdings. The tracker's reports are as old as a
// heartbeat, which is too old to pipeline chunks.
func (l *Loader) pollPeers(s *weightSet, now time.Time) {
	if now.Sub(s.polledAt) < l.Poll {
		return
	}
	s.polledAt = now
	for _, id := range s.transfer.PeersToQuery(now) {
		h, ok := s.peer(id)
		key := s.digest + " " + id
		if !ok || l.pendingRequests[key] {
			continue
		}
		src, ok := l.Peer(h.Address).(fetcher.HolderSource)
		if !ok {
			continue
		}
		l.pendingRequests[key] = true
		ctx := l.ctx
		l.running.Go(func() { l.requestHolding(ctx, s, id, key, src) })
	}
}

func (l *Loader) requestHolding(ctx context.Context, s *weightSet, id, key string, src fetcher.HolderSource) {
	have, err := src.Holding(ctx, s.digest)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingRequests, key)
	if s.transfer == nil {
		return
	}
	var missing *fetcher.NotHeldError
	switch {
	case err == nil:
		l.recordHolding(s, id, have)
		l.triggerStep()
	case errors.As(err, &missing):
		l.recordHolding(s, id, nil)
	case ctx.Err() == nil:
		s.transfer.MarkUnresponsive(id, l.Clock.Now())
	}
}

// requestManifest fetches a manifest from agents that have it, and from the sources if this agent
// is an origin fetcher or has waited long enough.
func (l *Loader) requestManifest(s *weightSet, now time.Time) {
	if l.pendingRequests[s.digest] || now.Before(s.manifestRetryAt) {
		return
	}
	l.pendingRequests[s.digest] = true
	peers := l.manifestPeers(s)
	waited := now.Sub(s.wantedSince)
	sources := waited >= l.Patience || waited >= l.Settle && l.isOriginFetcher(s)
	ctx := l.ctx
	l.running.Go(func() { l.fetchManifest(ctx, s, peers, sources) })
}

// manifestPeers selects a few agents that should have the manifest: some that reported it, and the
// origin fetchers of this region, which fetch it first.
func (l *Loader) manifestPeers(s *weightSet) []messenger.Holder {
	hs := slices.Clone(s.peers)
	rank := func(h messenger.Holder) uint64 {
		if h.Holding.Chunks > 0 {
			return planner.Score(l.ID, h.ID) / 2
		}
		if h.Region == l.Region {
			return 1<<63 + (1<<63 - planner.Score(s.digest, h.ID)/2 - 1)
		}
		return 1<<64 - 1
	}
	slices.SortFunc(hs, func(a, b messenger.Holder) int { return cmp.Compare(rank(a), rank(b)) })
	return hs[:min(len(hs), maxManifestPeers)]
}

// maxManifestPeers limits how many agents are asked for a manifest in one round.
const maxManifestPeers = 4

// isOriginFetcher reports whether this agent ranks among the origin fetchers of its region.
func (l *Loader) isOriginFetcher(s *weightSet) bool {
	own, higher := planner.Score(s.digest, l.ID), 0
	for _, h := range s.peers {
		if h.Region == l.Region && planner.Score(s.digest, h.ID) > own {
			higher++
		}
	}
	return higher < planner.OriginFetchersPerRegion
}

func (l *Loader) fetchManifest(ctx context.Context, s *weightSet, peers []messenger.Holder, sources bool) {
	body, err := l.manifestFrom(ctx, s.digest, peers, sources)
	var m *fetcher.Manifest
	if err == nil {
		m, err = fetcher.ParseManifest(s.digest, body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.triggerStep()
	delete(l.pendingRequests, s.digest)
	s.manifestRetryAt = l.Clock.Now().Add(l.Poll)
	if err != nil {
		klog.V(1).InfoS("Manifest not fetched", "agent", l.ID, "manifest", s.digest, "err", err)
		return
	}
	if s.manifest == nil {
		s.setManifest(m, body)
	}
}

// setManifest stores the manifest.
func (s *weightSet) setManifest(m *fetcher.Manifest, body []byte) {
	s.manifest, s.body = m, body
	s.chunkIndexes = make(map[string][]int, len(m.Chunks))
	for i, c := range m.Chunks {
		s.chunkIndexes[c] = append(s.chunkIndexes[c], i)
	}
}

func (l *Loader) manifestFrom(ctx context.Context, digest string, peers []messenger.Holder, sources bool) ([]byte, error) {
	err := error(&fetcher.NotHeldError{Source: "no peer", Digest: digest})
	for _, h := range peers {
		body, e := fetcher.Verified(l.Peer(h.Address)).Manifest(ctx, digest)
		if e == nil {
			return body, nil
		}
		err = e
	}
	if !sources {
		return nil, err
	}
	return l.fromSources(func(src fetcher.Source) ([]byte, error) { return src.Manifest(ctx, digest) })
}

// newTransfer creates the planner's transfer of a set.
func (l *Loader) newTransfer(s *weightSet, now time.Time) *planner.Transfer {
	l.transferCount++
	seed := l.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &planner.Transfer{
		ID: l.ID, FailureDomain: l.FailureDomain, Region: l.Region,
		Manifest: s.digest, Chunks: len(s.manifest.Chunks), SourceRegion: l.SourceRegion,
		Slots: l.Slots, Questions: l.Questions, PeerSlots: max(1, l.Slots/2), OriginSlots: l.OriginSlots, AcrossSlots: max(1, l.Slots-1),
		Patience: l.Patience, BusyBackoff: l.Poll / 4, AvoidFor: avoidDuration,
		OriginBackoff: l.OriginBackoff,
		DrawAfter:     s.wantedSince.Add(l.Settle),
		Rand:          rand.New(rand.NewPCG(seed, planner.Score(s.digest, l.ID)+l.transferCount)),
	}
}

// avoidDuration is how long a peer that sent a corrupt chunk is avoided.
const avoidDuration = 5 * time.Minute
