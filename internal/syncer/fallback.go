package syncer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// The processes of a region get their news from the same few peers, so that these become stale at
// the same moment. If all read the store then, each receives the next route table, the link to the
// region is saturated, and no table arrives in time. So the entries of a region fall back one
// after the other, by rank, and agents after them; later ones wait for what those ahead read.
// The delays end before registrar's triesApart: after a later first call to the store a process
// can't tell an outage from a suspension of its own.
const (
	// entryStep is by how much older its news must be for each entry ahead, up to entryDelay.
	entryStep  = 250 * time.Millisecond
	entryDelay = 850 * time.Millisecond
	// agentDelay and a jitter up to agentJitter are the same for agents.
	agentDelay  = 700 * time.Millisecond
	agentJitter = 250 * time.Millisecond
	// downFor is how long a peer that failed counts as out of service: longer than its lease, so
	// that one that is gone isn't waited for again.
	downFor = 5 * time.Second
	// substituteFor is how long the first entry of a region reads the store before it asks its
	// peers again. With a single call, the entries would pass that answer on to each other until
	// it is stale for all of them at once.
	substituteFor = 4 * time.Second
)

// fallbackAge is the age of its news at which this process reads the store with that many entries
// ahead of it.
func (s *Syncer) fallbackAge(ahead int) time.Duration {
	switch {
	case ahead == 0:
		return 0
	case s.Entry:
		return staleNews + min(time.Duration(ahead)*entryStep, entryDelay)
	default:
		return staleNews + agentDelay + s.jitter
	}
}

// awaitOthers waits at the entries ahead of this process for what they read. It returns whether
// this process is not to read the store yet, and whether one of them answered.
func (s *Syncer) awaitOthers(ctx context.Context, o order) (done, answered bool) {
	if !s.awaits(o) {
		return false, false
	}
	_, age, _ := s.Registrar.Revision()
	wait := min(peerWait, s.fallbackAge(len(s.inService(o.ahead)))-age)
	if s.fromPeers(ctx, s.inService(o.ahead), asking{wait: wait, limit: anyAge, unhelpful: sources, awaits: true}) {
		return true, true
	}
	return s.awaits(o), false
}

// substitutes returns whether this process, the first of its region's entries in service, goes on
// to read the store in place of readers that failed.
func (s *Syncer) substitutes(o order) bool {
	return s.firstInLine(o) && s.storeDue() && s.Clock.Now().Before(s.substituteUntil)
}

// substitute notes that this process reads the store for want of fresh peers.
func (s *Syncer) substitute(o order) {
	now := s.Clock.Now()
	if s.firstInLine(o) && !now.Before(s.substituteUntil) {
		s.substituteUntil = now.Add(substituteFor)
	}
}

func (s *Syncer) firstInLine(o order) bool {
	return s.Entry && !o.reads && len(s.inService(o.ahead)) == 0
}

// peersFirst is how peers are asked before the store. The first entry of a region, for which the
// others wait, gives up after a single unhelpful one.
func (s *Syncer) peersFirst(o order) asking {
	how := asking{wait: o.wait, limit: staleNews, unhelpful: sources}
	if s.firstInLine(o) {
		how.unhelpful, how.onlyAsked = 1, true
	}
	return how
}

// awaits returns whether others of the region are to read the store before this process.
func (s *Syncer) awaits(o order) bool {
	_, age, known := s.Registrar.Revision()
	return known && age < s.fallbackAge(len(s.inService(o.ahead)))
}

// inService are those that answer and reach the store, as far as is known.
func (s *Syncer) inService(as []netip.AddrPort) []netip.AddrPort {
	now := s.Clock.Now()
	return slices.DeleteFunc(slices.Clone(as), func(a netip.AddrPort) bool { return now.Before(s.peers[a].downUntil) })
}

// fallbackCause is why a process that relies on its peers reads the store itself.
type fallbackCause string

const (
	noPeers           fallbackCause = "noPeers"
	peersUnresponsive fallbackCause = "peersUnresponsive"
	peersStale        fallbackCause = "peersStale"
	peersLostStore    fallbackCause = "peersLostStore"
)

// noteFallback counts a fallback call to the store, and logs the first one and the return to
// peers.
func (s *Syncer) noteFallback(falls bool) {
	cause := s.peerFailure
	if cause == "" {
		cause = noPeers
	}
	if falls && s.Metrics != nil {
		metrics.GetOrRegisterCounter("storeFallbacks."+string(cause), s.Metrics).Inc(1)
	}
	if falls == s.fallingBack {
		return
	}
	s.fallingBack = falls
	_, age, _ := s.Registrar.Revision()
	if falls {
		klog.InfoS("Falling back to the store", "cause", cause, "age", age)
		return
	}
	klog.InfoS("Peers are fresh again", "age", age)
}
