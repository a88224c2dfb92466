// Package syncer keeps a process's registrar up to date. A few entries read the
// platform's store for all; everybody else asks these for news and turns to the
// store only when they fall silent. Whoever the store refuses learns from the
// others all the same.
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
	// watchWait is how long the store holds an answer back without news. It bounds
	// how long a watch that has gone silent goes unnoticed, and costs a reader one
	// call a second.
	watchWait = time.Second
	// leastWatchWait is the shortest such time.
	leastWatchWait = 20 * time.Millisecond
	// peerWait is the same between our own processes, where calls cost only bytes.
	peerWait = 400 * time.Millisecond
	// peerGrace is what a peer's answer may take beyond its wait.
	peerGrace = 350 * time.Millisecond
	// avoidFor is how long a peer that did not answer is passed over.
	avoidFor = 2 * time.Second
	// storeBackoff is the first pause after the store failed; it doubles up to
	// maxStoreBackoff, so that an outage isn't met with a storm of calls, and the
	// store's return is noticed within that time.
	storeBackoff    = 250 * time.Millisecond
	maxStoreBackoff = time.Second
	// watchPause is how long a reader waits after news before it watches again. Changes come
	// in runs, as when engines load one after the other, and each would otherwise cost a
	// call of each reader; news have seconds to come into force.
	watchPause = 80 * time.Millisecond
	// idlePause is the pause when nobody has news.
	idlePause = 150 * time.Millisecond
	// anyAge accepts whatever a peer knows.
	anyAge = 24 * time.Hour
	// staleNews is the age from which a peer's confirmation by the store is too old
	// to rely on that peer: a reader's is confirmed at least every watchWait. What a
	// reader behind a silent cut does not hear must be heard from elsewhere within the
	// two seconds that a change has to come into force.
	staleNews = 1500 * time.Millisecond
)

// Calls to the store, as log lines name them.
const (
	listCall  = "store list"
	watchCall = "store watch"
)

// Store is the platform's key-value store.
type Store interface {
	List(ctx context.Context) (registrar.Batch, error)
	// Watch gives *storer.CompactedError when the history is gone.
	Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error)
}

// Syncer feeds a registrar. Set the exported fields before Serve.
type Syncer struct {
	// ID is this process's name; Entry tells that it may read the store for others.
	ID        string
	Entry     bool
	Region    string
	Registrar *registrar.Registrar
	Store     Store
	// Seeds are addresses to ask before any entry is known. Seed tells that this process
	// is one of them for the others, so that it reads the store itself at its start.
	Seeds []netip.AddrPort
	Seed  bool
	// Peers is the address at which this process answers others, so that a seed may refer them
	// to it; invalid for one that doesn't answer.
	Peers netip.AddrPort
	// Dial makes the client of a process's address.
	Dial func(netip.AddrPort) *messenger.Client
	// Clock should count the time for which the VM is suspended; no time of it leaves the
	// syncer.
	Clock  clock.Clock
	Random *rand.Rand
	// Metrics counts the calls to the store by which this process replaces its peers; nil for
	// no count.
	Metrics metrics.Registry

	clients messenger.Clients
	// seedsSince is since when this process, which knows nothing, has asked the seeds.
	seedsSince time.Time
	peers      map[netip.AddrPort]peer
	// nearSeeds are the seeds that answered this process when it started, the nearest first.
	nearSeeds []netip.AddrPort
	// referral is the one that this process follows at its start; referred tells that a seed gave one, so that it has
	// the records.
	referral referral
	referred bool
	// storeFrom is when the store may be asked again after a failure.
	storeFrom time.Time
	backoff   time.Duration
	// compacted tells that the store's history is gone from what is known here, so that
	// a list has to be read.
	compacted bool
	reading   bool
	relaying  bool
	// fallingBack is set while this process reads the store for want of fresh peers; peerFailure
	// is why the last peer that failed it did.
	fallingBack bool
	peerFailure fallbackCause
	// substituteUntil is until when this process reads the store in place of readers that failed.
	substituteUntil time.Time
	// agePeersAsked is how many peers learnAges has asked.
	agePeersAsked int
	// jitter is how much later than others an agent falls back, up to agentJitter; listDelay how
	// much later than others this process lists the store at its start, up to listSpread.
	jitter, listDelay time.Duration
}

// peer is what is known of a peer from asking it.
type peer struct {
	// avoidUntil is until when it is passed over.
	avoidUntil time.Time
	// unhelpful is set if it timed out or had no fresh news when it was last asked.
	unhelpful bool
	// downUntil is until when it counts as out of service, as it did not answer or had lost the
	// store: nobody waits for it to read the store.
	downUntil time.Time
}

// Serve runs until the context ends.
func (s *Syncer) Serve(ctx context.Context) error {
	s.clients.Dial, s.clients.Timeout = s.Dial, peerWait+peerGrace
	s.peers = map[netip.AddrPort]peer{}
	s.jitter = time.Duration(s.Random.Int64N(int64(agentJitter)))
	s.listDelay = time.Duration(s.Random.Int64N(int64(listSpread)))
	s.seedsSince = s.Clock.Now()
	defer s.clients.Close()
	for ctx.Err() == nil {
		if s.step(ctx) {
			continue
		}
		s.pause(ctx, idlePause/2+time.Duration(s.Random.Int64N(int64(idlePause))))
	}
	return ctx.Err()
}

func (s *Syncer) String() string { return "syncer" }

// step asks one source and tells whether it answered.
func (s *Syncer) step(ctx context.Context) bool {
	_, _, known := s.Registrar.At()
	if !known && !s.Seed && s.fromSeeds(ctx) {
		return true
	}
	o := s.order()
	candidates := o.candidates
	s.forgetOthers(candidates)
	reads := !known || o.reads
	s.logRoles(reads, o.relays)
	if known && reads {
		s.learnAges(ctx, candidates)
	}
	if !reads && !s.substitutes(o) {
		if s.fromPeers(ctx, candidates, s.peersFirst(o)) {
			s.noteFallback(false)
			return true
		}
		if done, answered := s.awaitOthers(ctx, o); done {
			return answered
		}
	}
	if s.storeDue() {
		s.noteFallback(!reads)
		s.substitute(o)
		if s.fromStore(ctx) {
			return true
		}
		// Who still knows nothing asks the seeds once more before the next list.
		s.seedsSince = s.Clock.Now()
	}
	// Each silent peer takes peerWait and peerGrace. With a dozen of them the store, which may
	// be back long since, would be asked again only after the bounds on changes.
	if s.fromPeers(ctx, s.untriedFirst(candidates), asking{wait: o.wait, limit: staleNews, better: s.storeDue}) || s.storeDue() {
		return true
	}
	// Whatever the others have is better than nothing, however old. They answer at once
	// then, so that a pause has to follow.
	s.fromPeers(ctx, s.shuffled(candidates), asking{wait: o.wait, limit: anyAge})
	return false
}

// storeDue tells whether the store may be asked.
func (s *Syncer) storeDue() bool { return !s.Clock.Now().Before(s.storeFrom) }

// untriedFirst puts those last that failed last, so that going on with the first few each time
// comes to all of them.
func (s *Syncer) untriedFirst(as []netip.AddrPort) []netip.AddrPort {
	as = slices.Clone(as)
	slices.SortStableFunc(as, func(a, b netip.AddrPort) int {
		return s.peers[a].avoidUntil.Compare(s.peers[b].avoidUntil)
	})
	return as
}

// logRoles tells when this process takes on a role, or gives one up.
func (s *Syncer) logRoles(reads, relays bool) {
	if reads != s.reading {
		klog.InfoS("Store reader role", "reads", reads)
	}
	if relays != s.relaying {
		klog.InfoS("News relay role", "relays", relays)
	}
	s.reading, s.relaying = reads, relays
}

// forgetOthers drops what is kept of addresses that are nobody's any more.
func (s *Syncer) forgetOthers(candidates []netip.AddrPort) {
	used := make(map[netip.AddrPort]bool, len(candidates))
	for _, a := range candidates {
		used[a] = true
	}
	s.clients.CloseUnused(used)
	maps.DeleteFunc(s.peers, func(a netip.AddrPort, _ peer) bool { return !used[a] })
}

func (s *Syncer) shuffled(as []netip.AddrPort) []netip.AddrPort {
	as = slices.Clone(as)
	s.Random.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), readers)]
}

// asking is how processes are asked.
type asking struct {
	// wait is how long each may hold its answer back, limit how old the store's last
	// confirmation may be.
	wait, limit time.Duration
	// better tells that there is something better to do than to ask the rest; nil for never.
	better func() bool
	// unhelpful bounds how many may time out or have no fresh news, those included that did so
	// when they were last asked; 0 for any number.
	unhelpful int
	// onlyAsked leaves peers that are avoided out of that bound.
	onlyAsked bool
	// awaits has peers hold their answers back although their news are old, as they are about to
	// read the store.
	awaits bool
}

// fromPeers asks processes in turn until one answers whose news the store confirmed
// not longer ago than limit, or until there is something better to do.
func (s *Syncer) fromPeers(ctx context.Context, as []netip.AddrPort, how asking) bool {
	failed, unhelpful := false, 0
	for _, a := range as {
		if how.unhelpful > 0 && unhelpful >= how.unhelpful {
			return false
		}
		if how.better != nil && how.better() {
			return false
		}
		if p := s.peers[a]; !how.awaits && s.Clock.Now().Before(p.avoidUntil) {
			if p.unhelpful && !how.onlyAsked {
				unhelpful++
			}
			continue
		}
		b, err := s.ask(ctx, a, how, failed)
		if ctx.Err() != nil {
			return false
		}
		failed = true
		var p peer
		if err != nil {
			now := s.Clock.Now()
			p = peer{avoidUntil: now.Add(avoidFor), unhelpful: timedOut(err), downUntil: now.Add(downFor)}
			s.peerFailure = peersUnresponsive
			klog.InfoS("Peer lost", "peer", a, "err", err)
		} else {
			p = s.takeNews(a, b, how)
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

// timedOut tells whether a call got no answer in time. Other errors come at once, as from a VM
// that refuses the connection or a process that ends.
func timedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// takeNews takes over a peer's answer, and gives what is known of that peer by it.
func (s *Syncer) takeNews(a netip.AddrPort, b registrar.Batch, how asking) peer {
	now := s.Clock.Now()
	if b.At == 0 {
		// It knows nothing itself yet; taken over, that would look like an empty store.
		return peer{avoidUntil: now.Add(peerWait), unhelpful: true, downUntil: now.Add(downFor)}
	}
	s.Registrar.Apply(b)
	if at, _, _ := s.Registrar.At(); at < b.At {
		// Its records can't be read. It would tell the same again, at once and for good.
		klog.InfoS("Peer's news of no use", "peer", a, "revision", at, "told", b.At)
		return peer{avoidUntil: now.Add(avoidFor), unhelpful: true, downUntil: now.Add(downFor)}
	}
	lost := b.Lost && (how.limit != anyAge || how.awaits)
	switch {
	case lost:
		s.peerFailure = peersLostStore
	case b.Age > how.limit:
		s.peerFailure = peersStale
	case how.awaits && len(b.Records) == 0 && b.Held < how.wait/2:
		// One of an older version doesn't hold back an answer for want of changes.
	default:
		return peer{}
	}
	p := peer{avoidUntil: now.Add(peerWait), unhelpful: true}
	if lost {
		p.downUntil = now.Add(downFor)
	}
	return p
}

// ask asks one process. The first one may have taken all the time that its news were young
// enough for, as when it waited itself for a reader that is frozen. Were the next one frozen,
// too, and waited for as long, a change would come into force too late; it has to answer at
// once then.
func (s *Syncer) ask(ctx context.Context, a netip.AddrPort, how asking, failed bool) (registrar.Batch, error) {
	at, age, _ := s.Registrar.At()
	wait := how.wait
	if failed && age > staleNews-peerWait {
		wait = 0
	}
	q := messenger.RecordsQuery{After: at, WaitMS: wait.Milliseconds(), Stale: how.awaits, Ages: s.Registrar.Undated()}
	return s.records(ctx, a, q, wait+peerGrace)
}

// records asks a peer for records. The ages in the answer count up to its return.
func (s *Syncer) records(ctx context.Context, a netip.AddrPort, q messenger.RecordsQuery, timeout time.Duration) (registrar.Batch, error) {
	asked := s.Clock.Now()
	b, err := s.clients.Get(a).Records(ctx, q, timeout)
	b.AsOf = s.Registrar.Clock.Now()
	took := s.Clock.Since(asked)
	b.Source = registrar.Source{Name: a.String(), Took: took, Wait: q.Wait(), Held: b.Held}
	return b.Older(max(0, took-b.Held)), err
}

// fromStore reads the store once, by a list at first and after its history is gone.
func (s *Syncer) fromStore(ctx context.Context) bool {
	b, err := s.read(ctx)
	if ctx.Err() != nil {
		return false
	}
	var compacted *storer.CompactedError
	if errors.As(err, &compacted) {
		klog.InfoS("Store's history gone, listing anew", "err", err)
		s.compacted = true
		return true
	}
	if err != nil {
		s.storeFailed(err)
		return false
	}
	if s.backoff > 0 {
		klog.InfoS("Store regained")
	}
	s.backoff = 0
	s.compacted = false
	s.Registrar.StoreFound()
	s.Registrar.Apply(b)
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

// read watches from what is known, wherever that came from. A list holds the whole route
// table: were each process to read one when the peers that it relied on fall silent, the
// links to the store would be full of lists just when everybody turns to it, these would
// run into their timeouts and be asked for again, and nobody would find a peer any more.
func (s *Syncer) read(ctx context.Context) (registrar.Batch, error) {
	at, age, known := s.Registrar.At()
	asked := s.Clock.Now()
	s.Registrar.StoreAsked()
	if !known || s.compacted {
		b, err := s.list(ctx)
		b.AsOf = s.Registrar.Clock.Now()
		took := s.Clock.Since(asked)
		b.Source = registrar.Source{Name: listCall, Took: took}
		return b.Older(took), err
	}
	// When the news are old, peers wait for this process to have them confirmed. Fresh ones wait for no confirmation:
	// the time that a call may take goes by its wait, and behind a saturated link short ones would fail one after the
	// other.
	wait := max(leastWatchWait, watchWait-age).Truncate(time.Millisecond)
	b, err := s.Store.Watch(ctx, at, wait)
	b.AsOf = s.Registrar.Clock.Now()
	took := s.Clock.Since(asked)
	b.Source = registrar.Source{Name: watchCall, Took: took, Wait: wait}
	if len(b.Records) > 0 || took < wait {
		// Such an answer may have been on its way ever since the call was made.
		b.Unconfirmed = min(took, wait)
	}
	for i := range b.Records {
		// An upstream whose record lapsed is left alone some time after the earliest moment at which it can
		// have done so.
		if b.Records[i].Deleted {
			b.Records[i].Age = b.Unconfirmed
		}
	}
	// The store answers within the wait; what is beyond that was on its way, or lay unread.
	return b.Older(max(0, took-wait)), err
}

func (s *Syncer) storeFailed(err error) {
	s.Registrar.StoreLost()
	if s.backoff == 0 {
		klog.InfoS("Store lost", "err", err)
	}
	s.backoff = min(max(2*s.backoff, storeBackoff), maxStoreBackoff)
	s.storeFrom = s.Clock.Now().Add(s.backoff/2 + time.Duration(s.Random.Int64N(int64(s.backoff))))
}

// Answer gives another process what changed after a revision, once anything did or
// its wait is over.
func Answer(r *registrar.Registrar, c clock.Clock) func(context.Context, messenger.RecordsQuery) registrar.Batch {
	given := &referrals{clock: c, region: r.Region}
	return func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		_, age, _ := r.At()
		// Held back for longer, the answer would be too old when it comes.
		hold := q.Wait()
		if !q.Stale {
			hold = min(hold, max(staleNews-age, 0))
		}
		over := c.After(hold)
		asked := c.Now()
		// Should this process stand still between the two readings, what it tells counts as that
		// much too old, and old weights end too soon; with the readings the other way round
		// they would serve too long.
		since := func() registrar.Batch {
			held := c.Since(asked)
			b := r.Since(q.After)
			if q.Ages {
				b = r.SinceWithAges(q.After)
			}
			// The asker takes what isn't held for time on the way, by which all ages are higher.
			b.Held = held - b.RecordsAge
			return b
		}
		for {
			changed := r.Changed()
			if at, _, _ := r.At(); at > q.After {
				if to, ok := given.refer(q); ok {
					return registrar.Batch{Refer: to}
				}
				if b := since(); len(b.Records) > 0 {
					return b
				}
			}
			if r.Lost() {
				return since()
			}
			select {
			case <-changed:
			case <-over:
				return since()
			case <-ctx.Done():
				return since()
			}
		}
	}
}
