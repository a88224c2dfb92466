// Package loader fetches weights into an agent's memory and distributes them: it fetches verified
// chunks in the order of the planner, serves each to other agents as soon as it is verified, and
// gives the engine only complete weights.
package loader

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// Defaults of fields that are zero.
const (
	DefaultSlots       = 4
	DefaultUploadSlots = 4
	DefaultPatience    = 3 * time.Second
	DefaultSettle      = time.Second
	DefaultPoll        = time.Second
	DefaultNearly      = 0.9
)

// Loader holds the weights of one agent. Set the exported fields before Serve;
// all methods are safe for concurrent use.
type Loader struct {
	ID, FailureDomain, Region string
	// Self is the address at which other agents reach this one.
	Self netip.AddrPort
	// SourceRegion is the region of Sources; empty if they are equally near to all.
	SourceRegion string
	// Sources are tried in order: the weight store first, the origin last.
	Sources []fetcher.Source
	// Peer returns the source at another agent's address; a *fetcher.HTTP should carry this agent's
	// Region.
	Peer func(netip.AddrPort) fetcher.Source
	// Memory limits the weights held, in bytes, including chunks being fetched. Evicted bytes that
	// a reader of Weights still uses are not included.
	Memory int64
	// Clock provides the time; nil means the real one.
	Clock clock.WithTicker
	// Slots limits the concurrent fetches of each manifest, and OriginSlots those from Sources; 0
	// means half of Slots.
	Slots, OriginSlots int
	// Questions limits how many peers of this region, and of others, are asked for their holdings
	// of a manifest each Poll; 0 means all.
	Questions int
	// Upload limits the rate of uploads to other agents, in bytes; nil means unlimited. UploadSlots
	// limits the uploads in progress, separately for this region and for others.
	Upload      *rate.Limiter
	UploadSlots int
	// Patience is the planner's; Settle is the wait before a newly wanted manifest is fetched from
	// the origin; Poll is how often peers are asked for their holdings.
	Patience, Settle, Poll time.Duration
	// OriginBackoff is the planner's; 0 means increasing backoffs.
	OriginBackoff time.Duration
	// Nearly is the share of chunks from which a transfer is completed even if it is not wanted any
	// more.
	Nearly float64
	// Seed makes the random choices reproducible; 0 means a random seed.
	Seed uint64

	once        sync.Once
	uploadSlots chan struct{}
	exportSlots chan struct{}
	pacer       *pacer
	trigger     chan struct{}

	mu     sync.Mutex
	sets   map[string]*weightSet
	chunks map[string]*chunk
	used   int64
	wanted []string
	// prefetch lists the manifests that will be wanted next.
	prefetch         []string
	kept             map[string]bool
	holders          map[holderKey]reportedHolder
	holdersUpdatedAt time.Time
	changed          chan struct{}
	cancels          map[fetchKey]context.CancelFunc
	pendingRequests  map[string]bool
	transferCount    uint64
	ctx              context.Context
	running          sync.WaitGroup
}

// chunk is a chunk in memory; data is nil until verified bytes arrive.
type chunk struct {
	size int64
	data []byte
	refs int
}

// fetchKey identifies a fetch in progress.
type fetchKey struct {
	manifest string
	order    planner.Order
}

// IncompleteError reports weights with missing chunks.
type IncompleteError struct {
	Manifest  string
	Have, All int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("weights %s not whole: %d of %d chunks", e.Manifest, e.Have, e.All)
}

// Progress is the state of one manifest's transfer.
type Progress struct {
	Manifest string `json:"manifest"`
	// Chunks and Bytes are held, of AllChunks and AllBytes; all are 0 while the manifest itself is
	// unknown.
	Chunks    int   `json:"chunks"`
	AllChunks int   `json:"allChunks"`
	Bytes     int64 `json:"bytes"`
	AllBytes  int64 `json:"allBytes"`
	// FromPeers and FromOrigin are the bytes fetched, by kind of source.
	FromPeers  int64 `json:"fromPeers"`
	FromOrigin int64 `json:"fromOrigin"`
	// Corrupt counts chunks that were discarded because of wrong bytes.
	Corrupt int `json:"corrupt,omitempty"`
	// Refused is set when the memory is too small for the manifest.
	Refused bool `json:"refused,omitempty"`
}

func (l *Loader) setUp() {
	l.once.Do(func() {
		if l.Clock == nil {
			l.Clock = clock.RealClock{}
		}
		l.Slots = orDefault(l.Slots, DefaultSlots)
		l.OriginSlots = orDefault(l.OriginSlots, max(1, l.Slots/2))
		l.UploadSlots = orDefault(l.UploadSlots, DefaultUploadSlots)
		l.Patience = orDefault(l.Patience, DefaultPatience)
		l.Settle = orDefault(l.Settle, DefaultSettle)
		l.Poll = orDefault(l.Poll, DefaultPoll)
		l.Nearly = orDefault(l.Nearly, DefaultNearly)
		l.uploadSlots = make(chan struct{}, l.UploadSlots)
		l.exportSlots = make(chan struct{}, l.UploadSlots)
		l.pacer = &pacer{limiter: l.Upload}
		l.trigger = make(chan struct{}, 1)
		l.sets = map[string]*weightSet{}
		l.chunks = map[string]*chunk{}
		l.kept = map[string]bool{}
		l.holders = map[holderKey]reportedHolder{}
		l.changed = make(chan struct{})
		l.cancels = map[fetchKey]context.CancelFunc{}
		l.pendingRequests = map[string]bool{}
	})
}

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Serve fetches the wanted manifests until ctx is done. It returns after all fetches have ended,
// and may be called again.
func (l *Loader) Serve(ctx context.Context) error {
	l.setUp()
	ctx, cancel := context.WithCancel(ctx)
	defer l.running.Wait()
	defer cancel()
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	tick := l.Clock.NewTicker(min(l.Poll, l.Patience) / 2)
	defer tick.Stop()
	for {
		l.step()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		case <-l.trigger:
		}
	}
}

// triggerStep makes Serve run its next step at once.
func (l *Loader) triggerStep() {
	select {
	case l.trigger <- struct{}{}:
	default:
	}
}

// Want replaces the list of wanted manifests, the most important first. Others may be evicted, and
// their transfers are stopped unless nearly complete.
func (l *Loader) Want(manifests []string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaceList(&l.wanted, manifests)
}

// replaceList replaces one of the lists of manifests.
func (l *Loader) replaceList(list *[]string, manifests []string) {
	if slices.Equal(*list, manifests) {
		return
	}
	*list = slices.Clone(manifests)
	for _, m := range manifests {
		l.ensureSet(m)
	}
	l.stopUnwanted()
	l.notifyChanged()
	l.triggerStep()
}

// isListed reports whether a manifest is wanted or prefetched.
func (l *Loader) isListed(manifest string) bool {
	return slices.Contains(l.wanted, manifest) || slices.Contains(l.prefetch, manifest)
}

// ensureSet creates the set of a manifest unless it exists.
func (l *Loader) ensureSet(manifest string) {
	if l.sets[manifest] == nil {
		l.sets[manifest] = &weightSet{digest: manifest, wantedSince: l.Clock.Now()}
	}
}

// stopUnwanted stops the transfers that are neither wanted nor prefetched nor nearly complete.
func (l *Loader) stopUnwanted() {
	for _, s := range l.sets {
		if !l.isListed(s.digest) && !l.isNearlyComplete(s) {
			l.stopFetches(s)
		}
	}
}

// isNearlyComplete reports whether a transfer should continue even if it is not wanted any more.
func (l *Loader) isNearlyComplete(s *weightSet) bool {
	t := s.transfer
	return t != nil && !t.Complete() && float64(t.Count()) >= l.Nearly*float64(t.Chunks)
}

// stopFetches cancels the fetches of a set. Chunks that arrived stay until their memory is needed.
func (l *Loader) stopFetches(s *weightSet) {
	for f, cancel := range l.cancels {
		if f.manifest == s.digest {
			cancel()
		}
	}
	if s.manifest == nil {
		delete(l.sets, s.digest)
	}
}

// Keep replaces the list of manifests that must not be evicted: those that the engine holds or is
// being ordered to load.
func (l *Loader) Keep(manifests ...string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.kept)
	for _, m := range manifests {
		l.kept[m] = true
	}
	l.triggerStep()
}

// SetHolders adds reports of other agents' holdings. An agent reports to a few entries, each of
// which has reports of different agents. If the report of one entry replaced another's, the origin
// fetchers would change with each report, and several of them would request the same chunk from the
// origin. So each report is kept for holderTTL.
func (l *Loader) SetHolders(hs []messenger.Holder) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdersUpdatedAt = l.Clock.Now()
	for _, h := range hs {
		l.holders[holderKey{h.Holding.Manifest, h.ID}] = reportedHolder{h, l.holdersUpdatedAt}
	}
	for k, h := range l.holders {
		if l.holdersUpdatedAt.Sub(h.reportedAt) > holderTTL {
			delete(l.holders, k)
		}
	}
	for _, s := range l.sets {
		s.updatePeers(l.ID, l.Region, l.holders, l.holdersUpdatedAt)
	}
	l.triggerStep()
}

// Holdings lists what is held and wanted, in the order of the digests. A wanted manifest of which
// nothing is held yet is included, so that a tracker can list this agent as a fetcher of it.
func (l *Loader) Holdings() []messenger.Holding {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	hs := make([]messenger.Holding, 0, len(l.sets))
	for _, s := range l.sets {
		if s.refused {
			// A refused set fetches nothing: as an origin fetcher it would only delay others.
			continue
		}
		h := messenger.Holding{Manifest: s.digest}
		if s.manifest != nil {
			h.Bytes = s.manifest.Size
		}
		if s.transfer != nil {
			h.Chunks = s.transfer.Chunks
			h.Have = slices.Clone(s.transfer.Have())
		}
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b messenger.Holding) int { return cmpString(a.Manifest, b.Manifest) })
	return hs
}

// Complete returns the manifest once all its chunks are held.
func (l *Loader) Complete(manifest string) (*fetcher.Manifest, bool) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sets[manifest]
	if s == nil || s.transfer == nil || !s.transfer.Complete() {
		return nil, false
	}
	return s.manifest, true
}

// Chunk returns the verified bytes of chunk i of a manifest, complete or not; false while they are
// not held.
func (l *Loader) Chunk(manifest string, i int) ([]byte, bool) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sets[manifest]
	if s == nil || s.manifest == nil || i >= len(s.manifest.Chunks) {
		return nil, false
	}
	c := l.chunks[s.manifest.Chunks[i]]
	if c == nil || c.data == nil {
		return nil, false
	}
	return c.data, true
}

// Weights reads the verified bytes of a complete manifest in order. It returns an *IncompleteError
// while chunks are missing.
func (l *Loader) Weights(manifest string) (io.ReadSeeker, error) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sets[manifest]
	if s == nil || s.transfer == nil {
		return nil, &IncompleteError{Manifest: manifest}
	}
	if !s.transfer.Complete() {
		return nil, &IncompleteError{Manifest: manifest, Have: s.transfer.Count(), All: s.transfer.Chunks}
	}
	r := &reader{chunkSize: s.manifest.ChunkSize, size: s.manifest.Size}
	for _, c := range s.manifest.Chunks {
		r.chunks = append(r.chunks, l.chunks[c].data)
	}
	return r, nil
}

// Changed returns a channel that is closed at the next change of holdings.
func (l *Loader) Changed() <-chan struct{} {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Loader) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Progress returns the state of each manifest's transfer, in the order of the digests.
func (l *Loader) Progress() []Progress {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	ps := make([]Progress, 0, len(l.sets))
	for _, s := range l.sets {
		ps = append(ps, s.progress())
	}
	slices.SortFunc(ps, func(a, b Progress) int { return cmpString(a.Manifest, b.Manifest) })
	return ps
}

// step starts all fetches that are due.
func (l *Loader) step() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	now := l.Clock.Now()
	for _, s := range l.activeSets() {
		if !l.prepare(s, now) {
			continue
		}
		l.cancelOverdue(s, now)
		l.pollPeers(s, now)
		l.startFetches(s, now, (*planner.Transfer).Next)
	}
	l.stepPrefetch(now)
}

// prepare reports whether a set's chunks can be fetched. It requests a missing manifest.
func (l *Loader) prepare(s *weightSet, now time.Time) bool {
	if s.manifest == nil {
		l.requestManifest(s, now)
		return false
	}
	return s.transfer != nil || l.admit(s, now)
}

// activeSets lists the sets to work on: first those nearly complete, then the wanted ones in their
// order.
func (l *Loader) activeSets() []*weightSet {
	var ss []*weightSet
	for _, s := range l.sets {
		if !l.isListed(s.digest) && l.isNearlyComplete(s) {
			ss = append(ss, s)
		}
	}
	for _, m := range l.wanted {
		if s := l.sets[m]; s != nil && (s.transfer == nil || !s.transfer.Complete()) {
			ss = append(ss, s)
		}
	}
	return ss
}

// startFetches starts the fetches that the planner orders.
func (l *Loader) startFetches(s *weightSet, now time.Time, next func(*planner.Transfer, time.Time) (planner.Order, bool)) {
	for {
		o, ok := next(s.transfer, now)
		if !ok {
			return
		}
		klog.V(2).InfoS("Fetch planned", "agent", l.ID, "manifest", s.digest, "chunk", o.Chunk, "source", o.Source)
		ctx, cancel := context.WithCancel(l.ctx)
		l.cancels[fetchKey{s.digest, o}] = cancel
		l.updateSharing(s, o.Chunk, (*planner.Transfer).Exclude)
		l.running.Go(func() { l.runFetch(ctx, s, o) })
	}
}

// updateSharing updates the other transfers that include the same chunk. Two versions often share
// most of their chunks, and each would otherwise fetch them separately.
func (l *Loader) updateSharing(s *weightSet, chunk int, update func(*planner.Transfer, int)) {
	digest := s.manifest.Chunks[chunk]
	for _, other := range l.sets {
		if other == s || other.transfer == nil {
			continue
		}
		for _, i := range other.chunkIndexes[digest] {
			update(other.transfer, i)
		}
	}
}

// cancelOverdue cancels fetches that are very slow: they occupy a slot, and neither fail nor end.
func (l *Loader) cancelOverdue(s *weightSet, now time.Time) {
	for _, o := range s.transfer.Overdue(overdueFactor*l.Patience, now) {
		if cancel := l.cancels[fetchKey{s.digest, o}]; cancel != nil {
			cancel()
		}
	}
}

// overdueFactor is how many times Patience a fetch may take.
const overdueFactor = 10
