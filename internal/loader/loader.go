// Package loader brings weights into an agent's memory and hands them on: it
// fetches verified chunks by the planner's orders, serves them to other agents
// as soon as each is verified, and gives the engine whole weights only.
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

// Defaults of the fields that are left zero.
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
	// Self is where other agents reach this one.
	Self netip.AddrPort
	// SourceRegion is where Sources stand; empty when equally near to all.
	SourceRegion string
	// Sources are asked in turn: the weight store first, the origin last.
	Sources []fetcher.Source
	// Peer makes the source of another agent's address; a *fetcher.HTTP should
	// carry this agent's Region.
	Peer func(netip.AddrPort) fetcher.Source
	// Memory bounds the weights held, in bytes. Chunks on their way count as held.
	// Bytes that a reader of Weights still uses when they are evicted come on top.
	Memory int64
	// Clock is the time; nil means the real one.
	Clock clock.WithTicker
	// Slots bounds the fetches in flight of each manifest, and OriginSlots those from
	// Sources; 0 means half of Slots.
	Slots, OriginSlots int
	// Questions bounds how many peers of the own region, and of others, are asked each Poll what
	// they hold of a manifest; 0 means all.
	Questions int
	// Upload paces what is sent to other agents, in bytes; nil means unpaced.
	// UploadSlots bounds the fetches of peers served at once, of this region and
	// of others each.
	Upload      *rate.Limiter
	UploadSlots int
	// Patience, Settle and Poll are the planner's patience, the wait before a
	// newly wanted manifest is drawn from the origin, and how often peers are
	// asked what they hold.
	Patience, Settle, Poll time.Duration
	// OriginBackoff is the planner's; 0 lets the pauses grow.
	OriginBackoff time.Duration
	// Nearly is the share of chunks from which a transfer that is wanted no more
	// is finished all the same.
	Nearly float64
	// Seed makes the random choices repeatable; 0 takes a random seed.
	Seed uint64

	once    sync.Once
	uploads chan struct{}
	exports chan struct{}
	pacer   *pacer
	wake    chan struct{}

	mu     sync.Mutex
	sets   map[string]*set
	chunks map[string]*chunk
	used   int64
	want   []string
	// prefetch lists manifests to be wanted next.
	prefetch   []string
	keep       map[string]bool
	holders    map[holderKey]reportedHolder
	reportedAt time.Time
	changed    chan struct{}
	cancels    map[fetch]context.CancelFunc
	asking     map[string]bool
	seeds      uint64
	ctx        context.Context
	running    sync.WaitGroup
}

// chunk is a chunk's place in memory; data is nil until verified bytes arrive.
type chunk struct {
	size int64
	data []byte
	refs int
}

// fetch names a running fetch.
type fetch struct {
	manifest string
	order    planner.Order
}

// IncompleteError reports weights of which chunks are still missing.
type IncompleteError struct {
	Manifest  string
	Have, All int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("weights %s not whole: %d of %d chunks", e.Manifest, e.Have, e.All)
}

// Progress is how far one manifest's transfer has come.
type Progress struct {
	Manifest string `json:"manifest"`
	// Chunks and Bytes are held, of AllChunks and AllBytes; these are 0 while the
	// manifest itself is unknown.
	Chunks    int   `json:"chunks"`
	AllChunks int   `json:"allChunks"`
	Bytes     int64 `json:"bytes"`
	AllBytes  int64 `json:"allBytes"`
	// FromPeers and FromOrigin are the bytes fetched, by kind of source.
	FromPeers  int64 `json:"fromPeers"`
	FromOrigin int64 `json:"fromOrigin"`
	// Corrupt counts chunks that came with wrong bytes and were thrown away.
	Corrupt int `json:"corrupt,omitempty"`
	// Refused tells that the memory is too small for the manifest.
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
		l.uploads = make(chan struct{}, l.UploadSlots)
		l.exports = make(chan struct{}, l.UploadSlots)
		l.pacer = &pacer{limiter: l.Upload}
		l.wake = make(chan struct{}, 1)
		l.sets = map[string]*set{}
		l.chunks = map[string]*chunk{}
		l.keep = map[string]bool{}
		l.holders = map[holderKey]reportedHolder{}
		l.changed = make(chan struct{})
		l.cancels = map[fetch]context.CancelFunc{}
		l.asking = map[string]bool{}
	})
}

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Serve fetches what is wanted until ctx is done. It returns after all its
// fetches have ended, and may be called again.
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
		case <-l.wake:
		}
	}
}

// nudge makes Serve look again at once.
func (l *Loader) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Want replaces the list of wanted manifests, the most important first. Others
// may be evicted, and their transfers are stopped unless nearly done.
func (l *Loader) Want(manifests []string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(&l.want, manifests)
}

// replace takes over one of the lists of manifests.
func (l *Loader) replace(list *[]string, manifests []string) {
	if slices.Equal(*list, manifests) {
		return
	}
	*list = slices.Clone(manifests)
	for _, m := range manifests {
		l.open(m)
	}
	l.stopUnwanted()
	l.announce()
	l.nudge()
}

// listed tells whether a manifest is wanted or prefetched.
func (l *Loader) listed(manifest string) bool {
	return slices.Contains(l.want, manifest) || slices.Contains(l.prefetch, manifest)
}

// open makes the set of a manifest unless there is one.
func (l *Loader) open(manifest string) {
	if l.sets[manifest] == nil {
		l.sets[manifest] = &set{digest: manifest, since: l.Clock.Now()}
	}
}

// stopUnwanted ends the transfers that are neither wanted nor prefetched nor nearly done.
func (l *Loader) stopUnwanted() {
	for _, s := range l.sets {
		if !l.listed(s.digest) && !l.finishes(s) {
			l.stop(s)
		}
	}
}

// finishes tells whether a transfer that is wanted no more goes on because it is
// nearly there.
func (l *Loader) finishes(s *set) bool {
	t := s.transfer
	return t != nil && !t.Whole() && float64(t.Count()) >= l.Nearly*float64(t.Chunks)
}

// stop ends the fetches of a set. What arrived stays until its room is needed.
func (l *Loader) stop(s *set) {
	for f, cancel := range l.cancels {
		if f.manifest == s.digest {
			cancel()
		}
	}
	if s.manifest == nil {
		delete(l.sets, s.digest)
	}
}

// Keep replaces the list of manifests that must not be evicted: what the engine
// holds, or is being ordered to load.
func (l *Loader) Keep(manifests ...string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.keep)
	for _, m := range manifests {
		l.keep[m] = true
	}
	l.nudge()
}

// SetHolders takes in news of other agents' holdings. An agent reports to a few
// entries, and each knows other agents; were the news of one to replace that of
// another, the origin fetchers would change with each answer, and the origin would be
// asked for a chunk by one after the other. So what was heard stays until it is
// holdersFor old.
func (l *Loader) SetHolders(hs []messenger.Holder) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt = l.Clock.Now()
	for _, h := range hs {
		l.holders[holderKey{h.Holding.Manifest, h.ID}] = reportedHolder{h, l.reportedAt}
	}
	for k, h := range l.holders {
		if l.reportedAt.Sub(h.at) > holdersFor {
			delete(l.holders, k)
		}
	}
	for _, s := range l.sets {
		s.learn(l.ID, l.Region, l.holders, l.reportedAt)
	}
	l.nudge()
}

// Holdings tells what is held and wanted, in the order of the digests. A wanted
// manifest of which nothing is held yet is listed too: so a tracker learns who
// wants it.
func (l *Loader) Holdings() []messenger.Holding {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	hs := make([]messenger.Holding, 0, len(l.sets))
	for _, s := range l.sets {
		if s.refused {
			// Without room it fetches nothing: as an origin fetcher it would only be waited for.
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

// Complete gives the manifest once all its chunks are held.
func (l *Loader) Complete(manifest string) (*fetcher.Manifest, bool) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sets[manifest]
	if s == nil || s.transfer == nil || !s.transfer.Whole() {
		return nil, false
	}
	return s.manifest, true
}

// Chunk gives the verified bytes of chunk i of a manifest, whole or not; false while it
// isn't held.
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

// Weights reads the verified bytes of a whole manifest in order. It returns a
// *NotWholeError while chunks are missing.
func (l *Loader) Weights(manifest string) (io.ReadSeeker, error) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sets[manifest]
	if s == nil || s.transfer == nil {
		return nil, &IncompleteError{Manifest: manifest}
	}
	if !s.transfer.Whole() {
		return nil, &IncompleteError{Manifest: manifest, Have: s.transfer.Count(), All: s.transfer.Chunks}
	}
	r := &reader{chunkSize: s.manifest.ChunkSize, size: s.manifest.Size}
	for _, c := range s.manifest.Chunks {
		r.chunks = append(r.chunks, l.chunks[c].data)
	}
	return r, nil
}

// Changed is closed at the next change of holdings.
func (l *Loader) Changed() <-chan struct{} {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Loader) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Progress lists how far each manifest has come, in the order of the digests.
func (l *Loader) Progress() []Progress {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	ps := make([]Progress, 0, len(l.sets))
	for _, s := range l.sets {
		ps = append(ps, s.report())
	}
	slices.SortFunc(ps, func(a, b Progress) int { return cmpString(a.Manifest, b.Manifest) })
	return ps
}

// step starts whatever is worth starting now.
func (l *Loader) step() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	now := l.Clock.Now()
	for _, s := range l.active() {
		if !l.ready(s, now) {
			continue
		}
		l.cancelOverdue(s, now)
		l.poll(s, now)
		l.order(s, now, (*planner.Transfer).Next)
	}
	l.stepPrefetch(now)
}

// ready tells whether a set's chunks can be fetched. Without its manifest that is asked for.
func (l *Loader) ready(s *set, now time.Time) bool {
	if s.manifest == nil {
		l.askManifest(s, now)
		return false
	}
	return s.transfer != nil || l.admit(s, now)
}

// active lists the sets to work on: those nearly there first, then the wanted
// in their order.
func (l *Loader) active() []*set {
	var ss []*set
	for _, s := range l.sets {
		if !l.listed(s.digest) && l.finishes(s) {
			ss = append(ss, s)
		}
	}
	for _, m := range l.want {
		if s := l.sets[m]; s != nil && (s.transfer == nil || !s.transfer.Whole()) {
			ss = append(ss, s)
		}
	}
	return ss
}

// order starts the fetches that the planner asks for.
func (l *Loader) order(s *set, now time.Time, next func(*planner.Transfer, time.Time) (planner.Order, bool)) {
	for {
		o, ok := next(s.transfer, now)
		if !ok {
			return
		}
		klog.V(2).InfoS("Fetch planned", "agent", l.ID, "manifest", s.digest, "chunk", o.Chunk, "source", o.Source)
		ctx, cancel := context.WithCancel(l.ctx)
		l.cancels[fetch{s.digest, o}] = cancel
		l.share(s, o.Chunk, (*planner.Transfer).Hold)
		l.running.Go(func() { l.run(ctx, s, o) })
	}
}

// share tells the other transfers that want the same chunk. Two versions often
// share most of their chunks; each would otherwise fetch them for itself.
func (l *Loader) share(s *set, chunk int, tell func(*planner.Transfer, int)) {
	digest := s.manifest.Chunks[chunk]
	for _, other := range l.sets {
		if other == s || other.transfer == nil {
			continue
		}
		for _, i := range other.places[digest] {
			tell(other.transfer, i)
		}
	}
}

// cancelOverdue cuts fetches that trickle: they keep a slot, and neither fail
// nor end.
func (l *Loader) cancelOverdue(s *set, now time.Time) {
	for _, o := range s.transfer.Overdue(overdueAfter*l.Patience, now) {
		if cancel := l.cancels[fetch{s.digest, o}]; cancel != nil {
			cancel()
		}
	}
}

// overdueAfter is how many times the patience a fetch may run.
const overdueAfter = 10
