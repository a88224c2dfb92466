package syncer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// The processes of a region get their updates from the same few peers, which become stale at the
// same time. If all processes read the store then, each would receive the next route table, the
// link to the region would be saturated, and no table would arrive in time. So the entries of a
// region fall back one after the other, by rank, and agents after them; later ones wait for what
// those ahead read. The delays end before registrar's maxCallGap: after a later first call to the
// store, a process can't distinguish an outage from its own suspension.
const (
	// entryFallbackStep is the additional age per entry ahead, up to maxEntryFallbackDelay.
	entryFallbackStep     = 250 * time.Millisecond
	maxEntryFallbackDelay = 850 * time.Millisecond
	// agentFallbackDelay and a jitter up to maxAgentJitter are the same for agents.
	agentFallbackDelay = 700 * time.Millisecond
	maxAgentJitter     = 200 * time.Millisecond
	// minPeerTimeout is the least time for a call to a peer just before this process falls back to the store.
	minPeerTimeout = 20 * time.Millisecond
	// downFor is how long a failed peer counts as out of service: longer than its lease, so that
	// processes don't wait again for one that is gone.
	downFor = 5 * time.Second
	// substituteFor is how long the first entry of a region reads the store before it asks its
	// peers again. After a single call, the entries would pass that answer on to each other until
	// it is stale for all of them at once.
	substituteFor = 4 * time.Second
	// maxWholeReaders is how many entries of a region read all records as soon as they fall back. The others read only
	// the weights, whose records are small, and all records allRecordsStep later for each entry ahead.
	maxWholeReaders = 2
	allRecordsStep  = time.Second
	// answeredFor is how long after its answer a peer is assumed to pass on what it reads. Without such a peer ahead, a
	// process reads all records at once.
	answeredFor = 2 * time.Second
)

// fallbackAge returns the age of its updates at which this process reads the store, given the
// number of entries ahead of it.
func (s *Syncer) fallbackAge(ahead int) time.Duration {
	switch {
	case ahead == 0:
		return 0
	case s.Entry:
		return staleAge + min(time.Duration(ahead)*entryFallbackStep, maxEntryFallbackDelay)
	default:
		return staleAge + agentFallbackDelay + s.jitter
	}
}

// untilFallback returns how long this process still relies on its peers, so that no call to one and no pause delays its
// first call to the store in an outage; anyAge while its updates aren't stale, or if it has read the weights already.
func (s *Syncer) untilFallback() time.Duration {
	_, age, known := s.Registrar.Revision()
	if !known || age < staleAge || !s.weightsSince.IsZero() {
		return anyAge
	}
	return max(0, s.fallbackAge(len(s.inService(s.plan().ahead)))-age)
}

// awaitOthers asks the entries ahead of this process for what they read. It returns whether this
// process must not read the store yet, and whether one of them answered.
func (s *Syncer) awaitOthers(ctx context.Context, p plan) (done, answered bool) {
	if !s.shouldAwaitOthers(p) {
		return false, false
	}
	wait := min(peerWait, s.untilStoreRead(p))
	if s.syncFromPeers(ctx, s.inService(p.ahead), askOptions{wait: wait, maxAge: anyAge, maxUnhelpful: maxUnhelpfulPeers, awaitRead: true}) {
		return true, true
	}
	return s.shouldAwaitOthers(p), false
}

// isSubstituting returns whether this process, the first of its region's entries in service,
// continues to read the store in place of failed readers.
func (s *Syncer) isSubstituting(p plan) bool {
	return s.firstToFallBack(p) && s.storeDue() && s.Clock.Now().Before(s.substituteUntil)
}

// startSubstituting starts a period of reading the store if this process is the first to fall back.
func (s *Syncer) startSubstituting(p plan) {
	now := s.Clock.Now()
	if s.firstToFallBack(p) && !now.Before(s.substituteUntil) {
		s.substituteUntil = now.Add(substituteFor)
	}
}

func (s *Syncer) firstToFallBack(p plan) bool {
	return s.Entry && !p.reads && len(s.inService(p.ahead)) == 0
}

// peerAskOptions returns how peers are asked before the store. The first entry of a region, for
// which the others wait, gives up after one unhelpful peer.
func (s *Syncer) peerAskOptions(p plan) askOptions {
	opts := askOptions{wait: p.wait, maxAge: staleAge, maxUnhelpful: maxUnhelpfulPeers}
	if s.firstToFallBack(p) {
		opts.maxUnhelpful, opts.countAskedOnly = 1, true
	}
	return opts
}

// shouldAwaitOthers returns whether others of the region are to read the store before this process.
func (s *Syncer) shouldAwaitOthers(p plan) bool {
	_, _, known := s.Registrar.Revision()
	return known && s.untilStoreRead(p) > 0
}

// untilStoreRead returns how long this process waits for the entries ahead before it reads the store.
func (s *Syncer) untilStoreRead(p plan) time.Duration {
	_, age, _ := s.Registrar.Revision()
	left := s.fallbackAge(len(s.inService(p.ahead))) - age
	if s.readsAll(p) {
		return left
	}
	return max(left, s.weightsDueAt.Sub(s.Clock.Now()))
}

// readsAll returns whether this process reads all records when it turns to the store.
func (s *Syncer) readsAll(p plan) bool {
	ahead := s.inService(p.ahead)
	switch _, _, known := s.Registrar.Revision(); {
	case !known || p.reads || s.compacted || s.Entry && len(ahead) < maxWholeReaders:
		return true
	case !slices.ContainsFunc(ahead, s.answersNow):
		return true
	default:
		return !s.weightsSince.IsZero() && s.Clock.Since(s.weightsSince) >= time.Duration(len(ahead))*allRecordsStep+s.jitter
	}
}

// answersNow returns whether a peer has answered a short time ago.
func (s *Syncer) answersNow(a netip.AddrPort) bool {
	p, ok := s.peers[a]
	return ok && s.Clock.Since(p.answeredAt) < answeredFor
}

// recordWeightsRead records that this process has read only the weights.
func (s *Syncer) recordWeightsRead() {
	now := s.Clock.Now()
	s.weightsDueAt = now.Add(watchWait)
	if s.weightsSince.IsZero() {
		s.weightsSince = now
	}
}

// inService returns the peers that, as far as is known, answer and reach the store.
func (s *Syncer) inService(addrs []netip.AddrPort) []netip.AddrPort {
	now := s.Clock.Now()
	return slices.DeleteFunc(slices.Clone(addrs), func(a netip.AddrPort) bool { return now.Before(s.peers[a].downUntil) })
}

// fallbackCause is why a process that relies on its peers reads the store itself.
type fallbackCause string

const (
	noPeers           fallbackCause = "noPeers"
	peersUnresponsive fallbackCause = "peersUnresponsive"
	peersStale        fallbackCause = "peersStale"
	peersLostStore    fallbackCause = "peersLostStore"
)

// recordFallback counts a fallback call to the store, and logs the first one and the return to
// peers.
func (s *Syncer) recordFallback(fallback bool) {
	cause := s.peerFailure
	if cause == "" {
		cause = noPeers
	}
	if fallback && s.Metrics != nil {
		metrics.GetOrRegisterCounter("storeFallbacks."+string(cause), s.Metrics).Inc(1)
	}
	if fallback == s.fallingBack {
		return
	}
	s.fallingBack = fallback
	_, age, _ := s.Registrar.Revision()
	if fallback {
		klog.InfoS("Falling back to the store", "cause", cause, "age", age)
		return
	}
	klog.InfoS("Peers are fresh again", "age", age)
}
