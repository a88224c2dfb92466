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

// set is one set of weights: wanted, on its way, or held.
type set struct {
	digest string
	// since is when the set was first wanted.
	since time.Time
	// manifest and body are nil until fetched.
	manifest *fetcher.Manifest
	body     []byte
	// places gives the chunk numbers of each digest.
	places map[string][]int
	// transfer is nil until the set has room in memory.
	transfer *planner.Transfer
	peers    []messenger.Holder
	polled   time.Time
	// askAgain is when the manifest may be asked for again.
	askAgain              time.Time
	refused               bool
	fromPeers, fromOrigin int64
	corrupt               int
}

func (s *set) report() Progress {
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

// learn takes the holders of this set from what was heard.
func (s *set) learn(self, region string, known map[holderKey]reportedHolder, reportedAt time.Time) {
	s.peers = choose(self, region, s.digest, known)
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

func (s *set) peer(id string) (messenger.Holder, bool) {
	i := slices.IndexFunc(s.peers, func(h messenger.Holder) bool { return h.ID == id })
	if i < 0 {
		return messenger.Holder{}, false
	}
	return s.peers[i], true
}

// run carries out one order.
func (l *Loader) run(ctx context.Context, s *set, o planner.Order) {
	digest, size := s.manifest.Chunks[o.Chunk], s.manifest.ChunkBytes(o.Chunk)
	data, err := l.fetch(ctx, s, o, digest, size)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.nudge()
	f := fetch{s.digest, o}
	if cancel := l.cancels[f]; cancel != nil {
		cancel()
		delete(l.cancels, f)
	}
	l.share(s, o.Chunk, (*planner.Transfer).Include)
	if l.sets[s.digest] != s || s.transfer == nil {
		return
	}
	if err != nil {
		l.failed(s, o, err)
		return
	}
	l.arrived(s, o, digest, data)
}

// fetch gets verified bytes. Whatever a Source promises, the digest is checked
// here once more by the fetcher's own types; a Source of another make must do so
// as well.
func (l *Loader) fetch(ctx context.Context, s *set, o planner.Order, digest string, size int64) ([]byte, error) {
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
		return fetcher.Verified(l.exchanging(s, from.ID, held, l.Peer(h.Address))).Chunk(ctx, digest, size)
	default:
		return l.fromSources(func(src fetcher.Source) ([]byte, error) { return src.Chunk(ctx, digest, size) })
	}
}

// exchanging makes a fetch of a chunk report to each side what the other holds. Known from
// questions alone, that is as old as several chunks take on a fast link, and agents ask each other
// for what is gone or not yet there.
func (l *Loader) exchanging(s *set, id string, held []byte, src fetcher.Source) fetcher.Source {
	peer, ok := src.(*fetcher.HTTP)
	if !ok {
		return src
	}
	asked := *peer
	asked.Watched, asked.Agent, asked.Held = s.digest, l.ID, held
	asked.OnHolding = func(have []byte) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.observe(s, id, have)
	}
	return &asked
}

// observe takes over what a peer itself says that it holds.
func (l *Loader) observe(s *set, id string, have []byte) {
	if s.transfer != nil {
		s.transfer.SetHoldings(id, planner.Bitmap(have), l.Clock.Now())
	}
}

// fromSources asks the sources in turn and gives the first good answer.
func (l *Loader) fromSources(ask func(fetcher.Source) ([]byte, error)) ([]byte, error) {
	err := error(&fetcher.UnavailableError{Source: "no source"})
	for _, src := range l.Sources {
		data, e := ask(fetcher.Verified(src))
		if e == nil {
			return data, nil
		}
		err = e
	}
	return nil, err
}

func (l *Loader) arrived(s *set, o planner.Order, digest string, data []byte) {
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
	l.gain(digest, data)
	l.announce()
	l.logQuarter(s, before)
	if s.transfer.Complete() {
		klog.InfoS("Weights whole", "agent", l.ID, "manifest", s.digest, "version", s.manifest.Version,
			"fromPeers", s.fromPeers, "fromOrigin", s.fromOrigin, "after", l.Clock.Since(s.since))
	}
}

// logQuarter writes a line for each quarter of a version that has arrived: it shows who
// was slow when a version came late.
func (l *Loader) logQuarter(s *set, before int) {
	const quarters = 4
	count, all := s.transfer.Count(), s.transfer.Chunks
	if count < all && before*quarters/all < count*quarters/all {
		klog.InfoS("Weights arriving", "agent", l.ID, "manifest", s.digest, "version", s.manifest.Version, "chunks", count, "of", all,
			"fromPeers", s.fromPeers, "fromOrigin", s.fromOrigin, "after", l.Clock.Since(s.since))
	}
}

func (l *Loader) failed(s *set, o planner.Order, err error) {
	cause := causeOf(err)
	if cause == planner.Corrupt {
		s.corrupt++
		klog.ErrorS(err, "Corrupt chunk thrown away", "agent", l.ID, "manifest", s.digest, "chunk", o.Chunk, "source", o.Source)
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

// poll asks peers of a set what they hold now. The tracker's account is as
// old as a heartbeat; a pipeline of chunks needs a younger one.
func (l *Loader) poll(s *set, now time.Time) {
	if now.Sub(s.polled) < l.Poll {
		return
	}
	s.polled = now
	for _, id := range s.transfer.PeersToQuery(now) {
		h, ok := s.peer(id)
		key := s.digest + " " + id
		if !ok || l.asking[key] {
			continue
		}
		src, ok := l.Peer(h.Address).(fetcher.HolderSource)
		if !ok {
			continue
		}
		l.asking[key] = true
		ctx := l.ctx
		l.running.Go(func() { l.ask(ctx, s, id, key, src) })
	}
}

func (l *Loader) ask(ctx context.Context, s *set, id, key string, src fetcher.HolderSource) {
	have, err := src.Holding(ctx, s.digest)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asking, key)
	if s.transfer == nil {
		return
	}
	var missing *fetcher.NotHeldError
	switch {
	case err == nil:
		l.observe(s, id, have)
		l.nudge()
	case errors.As(err, &missing):
		l.observe(s, id, nil)
	case ctx.Err() == nil:
		s.transfer.MarkUnresponsive(id, l.Clock.Now())
	}
}

// askManifest fetches a manifest from agents that have it, and from the sources
// when this agent would be an origin fetcher, or when it has waited long enough.
func (l *Loader) askManifest(s *set, now time.Time) {
	if l.asking[s.digest] || now.Before(s.askAgain) {
		return
	}
	l.asking[s.digest] = true
	peers := l.manifestPeers(s)
	waited := now.Sub(s.since)
	sources := waited >= l.Patience || waited >= l.Settle && l.wouldDraw(s)
	ctx := l.ctx
	l.running.Go(func() { l.fetchManifest(ctx, s, peers, sources) })
}

// manifestPeers picks a few agents that should have the manifest: some that told
// so, and the origin fetchers of this region, who fetch it first.
func (l *Loader) manifestPeers(s *set) []messenger.Holder {
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
	return hs[:min(len(hs), manifestTries)]
}

// manifestTries bounds how many agents are asked for a manifest in one round.
const manifestTries = 4

// wouldDraw tells whether this agent ranks among the origin fetchers of its region.
func (l *Loader) wouldDraw(s *set) bool {
	own, higher := planner.Score(s.digest, l.ID), 0
	for _, h := range s.peers {
		if h.Region == l.Region && planner.Score(s.digest, h.ID) > own {
			higher++
		}
	}
	return higher < planner.OriginFetchersPerRegion
}

func (l *Loader) fetchManifest(ctx context.Context, s *set, peers []messenger.Holder, sources bool) {
	body, err := l.manifestFrom(ctx, s.digest, peers, sources)
	var m *fetcher.Manifest
	if err == nil {
		m, err = fetcher.ParseManifest(s.digest, body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.nudge()
	delete(l.asking, s.digest)
	s.askAgain = l.Clock.Now().Add(l.Poll)
	if err != nil {
		klog.V(1).InfoS("No manifest yet", "agent", l.ID, "manifest", s.digest, "err", err)
		return
	}
	if s.manifest == nil {
		s.take(m, body)
	}
}

// take keeps the manifest.
func (s *set) take(m *fetcher.Manifest, body []byte) {
	s.manifest, s.body = m, body
	s.places = make(map[string][]int, len(m.Chunks))
	for i, c := range m.Chunks {
		s.places[c] = append(s.places[c], i)
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

// newTransfer makes the planner's side of a set.
func (l *Loader) newTransfer(s *set, now time.Time) *planner.Transfer {
	l.seeds++
	seed := l.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &planner.Transfer{
		ID: l.ID, FailureDomain: l.FailureDomain, Region: l.Region,
		Manifest: s.digest, Chunks: len(s.manifest.Chunks), SourceRegion: l.SourceRegion,
		Slots: l.Slots, Questions: l.Questions, PeerSlots: max(1, l.Slots/2), OriginSlots: l.OriginSlots, AcrossSlots: max(1, l.Slots-1),
		Patience: l.Patience, BusyBackoff: l.Poll / 4, AvoidFor: avoidFor,
		OriginBackoff: l.OriginBackoff,
		DrawAfter:     s.since.Add(l.Settle),
		Rand:          rand.New(rand.NewPCG(seed, planner.Score(s.digest, l.ID)+l.seeds)),
	}
}

// avoidFor is how long a peer that sent a corrupt chunk is avoided.
const avoidFor = 5 * time.Minute
