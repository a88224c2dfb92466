// Package syncer keeps a process's registrar up to date. A few entries read the platform's store on
// behalf of all processes; the others ask these entries for updates and turn to the store only when
// they are unresponsive. A process that the store refuses still gets updates from its peers.
package syncer

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/storer"
)

const (
	// watchWait is how long the store may hold a watch without updates. It bounds how long an
	// unresponsive watch goes unnoticed, and costs a reader one call a second.
	watchWait = time.Second
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = 20 * time.Millisecond
	// peerWait is the same for calls between our own processes, which cost only bytes.
	peerWait = 400 * time.Millisecond
	// peerGrace is how long a peer's answer may take beyond its wait.
	peerGrace = 350 * time.Millisecond
	// avoidFor is how long a peer that did not answer is skipped.
	avoidFor = 2 * time.Second
	// storeBackoff is the first pause after a failed call to the store. It doubles up to
	// maxStoreBackoff, which prevents a storm of calls in an outage and bounds the time until a
	// recovery is noticed.
	storeBackoff    = 250 * time.Millisecond
	maxStoreBackoff = time.Second
	// watchPause is how long a reader waits after an update before it watches again. Changes come
	// in bursts, as when engines load one after the other, and each would otherwise cost a call of
	// each reader; updates have seconds to take effect.
	watchPause = 80 * time.Millisecond
	// idlePause is the mean pause after a round in which no source answered.
	idlePause = 150 * time.Millisecond
	// anyAge accepts answers of any age.
	anyAge = 24 * time.Hour
	// staleAge is the age from which a peer's last confirmation by the store is too old to rely on
	// that peer: a reader's is renewed at least every watchWait. A change that a silently
	// disconnected reader misses must arrive from another source within the two seconds that a
	// change has to take effect.
	staleAge = 1500 * time.Millisecond
)

// Calls to the store, as named in logs.
const (
	listCall  = "store list"
	watchCall = "store watch"
	// weightsCall is a watch for weights only.
	weightsCall = "store watch of weights"
)

// Store is the platform's key-value store.
type Store interface {
	List(ctx context.Context) (registrar.Batch, error)
	// Watch returns *storer.CompactedError when the history after the revision is gone.
	Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error)
	// WatchWeights is Watch for the records of weights only; its batch is marked as such.
	WatchWeights(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error)
}

// watchFunc is a watch of the store.
type watchFunc func(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error)

// Syncer keeps a registrar up to date. Set the exported fields before Serve.
type Syncer struct {
	// ID is the name of this process; Entry allows it to read the store for others.
	ID        string
	Entry     bool
	Region    string
	Registrar *registrar.Registrar
	Store     Store
	// Seeds are addresses to ask before any entry is known. Seed is set if this process is a seed
	// for others, so that it reads the store itself when it starts.
	Seeds []netip.AddrPort
	Seed  bool
	// Peers is the address at which this process answers its peers, so that a seed may refer them
	// to it; invalid for a process that doesn't answer.
	Peers netip.AddrPort
	// Dial returns a client for the address of a process.
	Dial func(netip.AddrPort) *messenger.Client
	// Clock should include the time for which the VM is suspended; none of its times leave the
	// syncer.
	Clock  clock.Clock
	Random *rand.Rand
	// Metrics counts this process's fallback calls to the store; nil disables the count.
	Metrics metrics.Registry

	clients messenger.Clients
	// seedsAskedSince is since when this process, which has no records, has asked the seeds.
	seedsAskedSince time.Time
	peers           map[netip.AddrPort]peer
	// nearSeeds are the seeds that answered this process when it started, nearest first.
	nearSeeds []netip.AddrPort
	// referral is the entry to which a seed referred this process at its start; referred is set
	// once a seed gave a referral, as that seed has the records.
	referral referral
	referred bool
	// storeRetryAt is when the store may be called again after a failure.
	storeRetryAt time.Time
	backoff      time.Duration
	// compacted is set when the store's history after the registrar's revision is gone, so that a
	// list is needed.
	compacted bool
	reading   bool
	relaying  bool
	// fallingBack is set while this process reads the store because no peer is fresh; peerFailure
	// is the cause of the last failure of a peer.
	fallingBack bool
	peerFailure fallbackCause
	// substituteUntil is until when this process reads the store in place of failed readers.
	substituteUntil time.Time
	// weightsSince is since when this process has read only weights from the store, for lack of fresh peers; zero if it
	// doesn't. weightsDueAt is when it reads them again.
	weightsSince, weightsDueAt time.Time
	// agePeersAsked is the number of peers that learnAges has asked since ages were last known.
	agePeersAsked int
	// jitter delays an agent's fallback by up to maxAgentJitter; listDelay delays this process's
	// list of the store at its start by up to listSpread.
	jitter, listDelay time.Duration
}

// peer is the state of a peer as observed from its answers.
type peer struct {
	// avoidUntil is until when it is skipped.
	avoidUntil time.Time
	// unhelpful is set if it timed out or had no fresh updates when it was last asked.
	unhelpful bool
	// downUntil is until when it counts as out of service, as it did not answer or had lost the
	// store. This process doesn't wait for it to read the store.
	downUntil time.Time
	// answeredAt is when it last answered.
	answeredAt time.Time
	// lostReply is its last answer without the records if it has lost the store, and empty otherwise.
	lostReply registrar.Batch
}

// Serve runs until the context ends.
func (s *Syncer) Serve(ctx context.Context) error {
	s.clients.Dial, s.clients.Timeout = s.Dial, peerWait+peerGrace
	s.peers = map[netip.AddrPort]peer{}
	s.jitter = time.Duration(s.Random.Int64N(int64(maxAgentJitter)))
	s.listDelay = time.Duration(s.Random.Int64N(int64(listSpread)))
	s.seedsAskedSince = s.Clock.Now()
	defer s.clients.Close()
	for ctx.Err() == nil {
		if s.step(ctx) {
			continue
		}
		pause := idlePause/2 + time.Duration(s.Random.Int64N(int64(idlePause)))
		if left := s.untilFallback(); left > 0 {
			pause = min(pause, left)
		}
		s.pause(ctx, pause)
	}
	return ctx.Err()
}

func (s *Syncer) String() string { return "syncer" }

// step tries the sources in turn and returns whether one answered.
func (s *Syncer) step(ctx context.Context) bool {
	_, _, known := s.Registrar.Revision()
	if !known && !s.Seed && s.syncFromSeeds(ctx) {
		return true
	}
	p := s.plan()
	candidates := p.candidates
	s.prunePeers(candidates)
	reads := !known || p.reads
	s.logRoles(reads, p.relays)
	if known && reads {
		s.learnAges(ctx, candidates)
	}
	if !reads && !s.isSubstituting(p) {
		if s.syncFromPeers(ctx, candidates, s.peerAskOptions(p)) {
			s.weightsSince = time.Time{}
			s.recordFallback(false)
			return true
		}
		if done, answered := s.awaitOthers(ctx, p); done {
			return answered
		}
	}
	if s.storeDue() {
		s.recordFallback(!reads)
		s.startSubstituting(p)
		if s.syncFromStore(ctx, p) {
			return true
		}
		// Without records, ask the seeds once more before the next list.
		s.seedsAskedSince = s.Clock.Now()
	}
	// Each unresponsive peer takes peerWait and peerGrace. With a dozen of them, a recovered store
	// would be asked again only after the bounds on changes.
	if s.syncFromPeers(ctx, s.untriedFirst(candidates), askOptions{wait: p.wait, maxAge: staleAge, stop: s.storeDue}) || s.storeDue() {
		return true
	}
	// Outdated records are better than none. Peers return them at once, so that a pause has to
	// follow.
	s.syncFromPeers(ctx, s.randomPeers(candidates), askOptions{wait: p.wait, maxAge: anyAge})
	return false
}

// storeDue returns whether the store may be called.
func (s *Syncer) storeDue() bool { return !s.Clock.Now().Before(s.storeRetryAt) }

// untriedFirst puts the peers that failed most recently last, so that repeated attempts at the
// first few reach all of them.
func (s *Syncer) untriedFirst(addrs []netip.AddrPort) []netip.AddrPort {
	addrs = slices.Clone(addrs)
	slices.SortStableFunc(addrs, func(a, b netip.AddrPort) int {
		return s.peers[a].avoidUntil.Compare(s.peers[b].avoidUntil)
	})
	return addrs
}

// logRoles logs when this process takes on or gives up a role.
func (s *Syncer) logRoles(reads, relays bool) {
	if reads != s.reading {
		klog.InfoS("Store reader role", "reads", reads)
	}
	if relays != s.relaying {
		klog.InfoS("Update relay role", "relays", relays)
	}
	s.reading, s.relaying = reads, relays
}

// prunePeers drops the clients and states of addresses that are not candidates.
func (s *Syncer) prunePeers(candidates []netip.AddrPort) {
	used := make(map[netip.AddrPort]bool, len(candidates))
	for _, a := range candidates {
		used[a] = true
	}
	s.clients.CloseUnused(used)
	maps.DeleteFunc(s.peers, func(a netip.AddrPort, _ peer) bool { return !used[a] })
}

func (s *Syncer) randomPeers(addrs []netip.AddrPort) []netip.AddrPort {
	addrs = slices.Clone(addrs)
	s.Random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), readerCount)]
}

// askOptions controls how peers are asked.
type askOptions struct {
	// wait is how long a peer may hold its answer, maxAge how old the store's last confirmation may
	// be.
	wait, maxAge time.Duration
	// stop returns whether to skip the remaining peers; nil for never.
	stop func() bool
	// maxUnhelpful bounds how many peers may time out or have no fresh updates, including avoided
	// ones that did so when they were last asked; 0 for any number.
	maxUnhelpful int
	// countAskedOnly excludes avoided peers from that bound.
	countAskedOnly bool
	// awaitRead has peers hold their answers although their updates are stale, as they are about to
	// read the store.
	awaitRead bool
}

// syncFromPeers asks peers in turn until one has updates that the store confirmed at most maxAge
// ago, or a limit of the options is reached.
func (s *Syncer) syncFromPeers(ctx context.Context, addrs []netip.AddrPort, opts askOptions) bool {
	failed, unhelpful := false, 0
	for _, a := range addrs {
		if opts.maxUnhelpful > 0 && unhelpful >= opts.maxUnhelpful {
			return false
		}
		if opts.stop != nil && opts.stop() {
			return false
		}
		if opts.maxUnhelpful > 0 && unhelpful > 0 && s.storeDue() && s.untilFallback() == 0 {
			// Another unhelpful peer would delay the fallback.
			return false
		}
		if p := s.peers[a]; !opts.awaitRead && s.Clock.Now().Before(p.avoidUntil) {
			if p.unhelpful && !opts.countAskedOnly {
				unhelpful++
			}
			continue
		}
		b, curtailed, err := s.askPeer(ctx, a, opts, failed)
		if ctx.Err() != nil || curtailed && timedOut(err) {
			return false
		}
		failed = true
		var p peer
		if err != nil {
			now := s.Clock.Now()
			p = peer{avoidUntil: now.Add(avoidFor), unhelpful: timedOut(err), downUntil: now.Add(downFor)}
			s.peerFailure = peersUnresponsive
			klog.InfoS("Peer did not answer", "peer", a, "err", err)
		} else {
			p = s.applyAnswer(a, b, opts)
			p.answeredAt = s.Clock.Now()
			if b.Lost {
				p.lostReply = b
				p.lostReply.Records = nil
			}
		}
		s.peers[a] = p
		if err == nil && !p.unhelpful {
			return true
		}
		if p.unhelpful {
			unhelpful++
		}
	}
	return false
}

// timedOut returns whether a call got no answer in time. Other errors arrive at once, as from a VM
// that refuses the connection or a process that shuts down.
func timedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// applyAnswer applies a peer's answer to the registrar and returns the peer's new state.
func (s *Syncer) applyAnswer(a netip.AddrPort, b registrar.Batch, opts askOptions) peer {
	now := s.Clock.Now()
	if b.At == 0 {
		// The peer has no records yet; applied, its answer would look like an empty store.
		return peer{avoidUntil: now.Add(peerWait), unhelpful: true, downUntil: now.Add(downFor)}
	}
	s.Registrar.Apply(b)
	if at, _, _ := s.Registrar.Revision(); at < b.At {
		// Its records can't be decoded. It would send the same ones again, at once and forever.
		klog.InfoS("Peer's records can't be applied", "peer", a, "revision", at, "told", b.At)
		return peer{avoidUntil: now.Add(avoidFor), unhelpful: true, downUntil: now.Add(downFor)}
	}
	lost := b.Lost && (opts.maxAge != anyAge || opts.awaitRead)
	switch {
	case lost:
		s.peerFailure = peersLostStore
	case b.Age > opts.maxAge:
		s.peerFailure = peersStale
	case opts.awaitRead && len(b.Records) == 0 && b.Held < opts.wait/2:
		// A peer of an older version doesn't hold an answer without changes.
	default:
		return peer{}
	}
	p := peer{avoidUntil: now.Add(peerWait), unhelpful: true}
	if lost {
		p.downUntil = now.Add(downFor)
	}
	return p
}

// askPeer asks one peer. A failed peer may have used up the time for which this process's updates
// are fresh, as when it waited itself for a suspended reader. If the next one were suspended too
// and took as long, a change would take effect too late, so that peer has to answer at once.
// Curtailed reports a call that ends as this process falls back to the store, whose timeout says little about the peer.
func (s *Syncer) askPeer(ctx context.Context, a netip.AddrPort, opts askOptions, failed bool) (b registrar.Batch, curtailed bool, err error) {
	at, age, _ := s.Registrar.Revision()
	wait := opts.wait
	if failed && age > staleAge-peerWait {
		wait = 0
	}
	timeout := wait + peerGrace
	if left := s.untilFallback(); left > 0 && left < timeout {
		timeout, curtailed = max(left, minPeerTimeout), true
		wait = min(wait, timeout)
	}
	q := messenger.RecordsQuery{After: at, WaitMS: wait.Milliseconds(), Stale: opts.awaitRead, Ages: s.Registrar.NeedsAges(), Weights: s.weightsReport(a)}
	b, err = s.queryRecords(ctx, a, q, timeout)
	return b, curtailed, err
}

// queryRecords queries a peer for records. The ages in the answer count up to its return.
func (s *Syncer) queryRecords(ctx context.Context, a netip.AddrPort, q messenger.RecordsQuery, timeout time.Duration) (registrar.Batch, error) {
	asked := s.Clock.Now()
	b, err := s.clients.Get(a).Records(ctx, q, timeout)
	b.AsOf = s.Registrar.Clock.Now()
	took := s.Clock.Since(asked)
	b.Source = registrar.Source{Name: a.String(), Took: took, Wait: q.Wait(), Held: b.Held}
	return b.Older(max(0, took-b.Held)), err
}

// syncFromStore reads the store once, with a list at first and after a compaction.
func (s *Syncer) syncFromStore(ctx context.Context, p plan) bool {
	weightsOnly := !s.readsAll(p)
	b, err := s.readStore(ctx, weightsOnly)
	if ctx.Err() != nil {
		return false
	}
	var compacted *storer.CompactedError
	if errors.As(err, &compacted) {
		klog.InfoS("Store history compacted, listing all records", "err", err)
		s.compacted = true
		return true
	}
	if err != nil {
		s.storeFailed(err)
		return false
	}
	if s.backoff > 0 {
		klog.InfoS("Store reachable again")
	}
	s.backoff = 0
	b.ConfirmedBy = s.ID
	s.Registrar.StoreCallSucceeded()
	s.Registrar.Apply(b)
	if weightsOnly {
		s.recordWeightsRead()
		return true
	}
	s.compacted, s.weightsSince = false, time.Time{}
	if len(b.Records) > 0 {
		s.pause(ctx, watchPause)
	}
	return true
}

func (s *Syncer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.Clock.After(d):
	}
}

// readStore watches from the registrar's revision, whatever its source. A list holds the whole
// route table: if each process listed the store when its peers became unresponsive, all lists at
// once would saturate the links to the store, time out and be retried, and no process would find a
// fresh peer.
func (s *Syncer) readStore(ctx context.Context, weightsOnly bool) (registrar.Batch, error) {
	_, age, known := s.Registrar.Revision()
	s.Registrar.StoreCallStarted()
	if weightsOnly {
		return s.watchWeights(ctx)
	}
	if !known || s.compacted {
		asked := s.Clock.Now()
		b, err := s.list(ctx)
		b.AsOf = s.Registrar.Clock.Now()
		took := s.Clock.Since(asked)
		b.Source = registrar.Source{Name: listCall, Took: took}
		return b.Older(took), err
	}
	// If the updates are old, peers wait for this process to have them confirmed. Fresh ones need
	// no quick confirmation: the time limit of a call depends on its wait, and behind a saturated
	// link calls with short waits would fail one after the other.
	wait := max(minWatchWait, watchWait-age).Truncate(time.Millisecond)
	if s.Registrar.AwaitsRest() && s.Registrar.ConfirmedAge() > registrar.ConfirmationTimeout {
		// While a large table changes more often than once in a wait, each answer has it again and confirms nothing.
		wait = minWatchWait
	}
	return s.watchAll(ctx, wait)
}

// watch calls one of the store's watches. The ages in the answer count up to its return.
func (s *Syncer) watch(ctx context.Context, name string, watch watchFunc, wait time.Duration) (registrar.Batch, error) {
	at, _, _ := s.Registrar.Revision()
	asked := s.Clock.Now()
	b, err := watch(ctx, at, wait)
	b.AsOf = s.Registrar.Clock.Now()
	took := s.Clock.Since(asked)
	b.Source = registrar.Source{Name: name, Took: took, Wait: wait}
	if len(b.Records) > 0 || took < wait {
		// Such an answer may have been in transit ever since the call was made.
		b.Unconfirmed = min(took, wait)
	}
	for i := range b.Records {
		// An upstream lingers from the earliest time at which its record can have expired.
		if b.Records[i].Deleted {
			b.Records[i].Age = b.Unconfirmed
		}
	}
	// The store answers within the wait; any further time was spent in transit or unread.
	return b.Older(max(0, took-wait)), err
}

func (s *Syncer) storeFailed(err error) {
	s.Registrar.StoreCallFailed()
	if s.backoff == 0 {
		klog.InfoS("Store unreachable", "err", err)
	}
	s.backoff = min(max(2*s.backoff, storeBackoff), maxStoreBackoff)
	s.storeRetryAt = s.Clock.Now().Add(s.backoff/2 + time.Duration(s.Random.Int64N(int64(s.backoff))))
}

// RecordsHandler returns a handler that sends a peer the changes after a revision, once there are
// any or the wait of the query is over.
func RecordsHandler(r *registrar.Registrar, c clock.Clock) func(context.Context, messenger.RecordsQuery) registrar.Batch {
	refs := &referrals{clock: c, region: r.Region}
	reports := newReportReceiver(r, c)
	return func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		if q.Weights != nil {
			reports.apply(*q.Weights)
		}
		_, age, _ := r.Revision()
		// An answer held longer would be stale on arrival.
		maxHold := q.Wait()
		if !q.Stale {
			maxHold = min(maxHold, max(staleAge-age, 0))
		}
		timeout := c.After(maxHold)
		received := c.Now()
		// If this process is paused between the two readings, the reported ages are too high by the
		// pause, and old weights end too early. In the reverse order, they would serve too long.
		answer := func() registrar.Batch {
			held := c.Since(received)
			b := r.ChangesSince(q.After)
			if q.Ages {
				b = r.ChangesSinceWithAges(q.After)
			}
			// The requester counts time that isn't held as time in transit and adds it to all ages.
			b.Held = held - b.RecordsAge
			return reports.stamp(b)
		}
		for {
			changed := r.Changed()
			if at, _, _ := r.Revision(); at > q.After {
				if to, ok := refs.refer(q); ok {
					return registrar.Batch{Refer: to}
				}
				if b := answer(); len(b.Records) > 0 {
					return b
				}
			}
			if r.StoreUnreachable() {
				return answer()
			}
			select {
			case <-changed:
			case <-timeout:
				return answer()
			case <-ctx.Done():
				return answer()
			}
		}
	}
}
