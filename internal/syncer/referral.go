package syncer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

const (
	// maxReferees is how many entries of another region get all records from this process; later
	// requesters of their region are referred to them. A list takes about 30 ms of a link between
	// regions, and an entry sends it to some 40 processes a second.
	maxReferees = 3
	// referFor is how long requesters are referred to an entry that got all records. A restart of
	// all processes takes up to 2.4 s; later the entry may have ended.
	referFor = 3 * time.Second
	// refereeTimeout bounds the wait for a referee without records: several times what the lists of
	// all referees take on an idle link.
	refereeTimeout = 600 * time.Millisecond
)

// referrals tracks which entries of other regions got all records from this process, so that the
// lists don't saturate the links between regions when a whole region starts. It is safe for
// concurrent use.
type referrals struct {
	clock  clock.PassiveClock
	region string

	mu       sync.Mutex
	byRegion map[string][]referee
}

// referee is an entry that got all records.
type referee struct {
	address  netip.AddrPort
	servedAt time.Time
}

// refer returns the entry that a requester should ask instead; false if the requester should get
// the records from this process. In the latter case, a requesting entry becomes a referee.
func (s *referrals) refer(q messenger.RecordsQuery) (netip.AddrPort, bool) {
	if q.After != 0 || q.Region == "" || s.region == "" || q.Region == s.region {
		return netip.AddrPort{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	known := slices.DeleteFunc(s.byRegion[q.Region], func(r referee) bool {
		return r.address == q.Unresponsive || r.address == q.Peers || now.Sub(r.servedAt) > referFor
	})
	serve := len(known) == 0 || q.Unresponsive.IsValid() || q.Peers.IsValid() && len(known) < maxReferees
	if serve && q.Peers.IsValid() {
		known = append(known, referee{q.Peers, now})
	}
	if s.byRegion == nil {
		s.byRegion = map[string][]referee{}
	}
	s.byRegion[q.Region] = known
	if serve {
		return netip.AddrPort{}, false
	}
	return known[rand.IntN(len(known))].address, true
}

// referral is an entry to which a seed referred this process.
type referral struct {
	peer  netip.AddrPort
	since time.Time
}

// recordsFromSeed applies the records of a seed, or of the entry it refers this process to.
func (s *Syncer) recordsFromSeed(ctx context.Context, seed netip.AddrPort) seedState {
	q := messenger.RecordsQuery{WaitMS: seedAnswerWait.Milliseconds(), Stale: true, Region: s.Region, Peers: s.Peers}
	if !s.referral.peer.IsValid() {
		state, to := s.applyAllRecords(ctx, seed, q)
		if !to.IsValid() {
			return state
		}
		s.referral, s.referred = referral{to, s.Clock.Now()}, true
	}
	// No region is stated, so that the referee doesn't refer this process further.
	state, _ := s.applyAllRecords(ctx, s.referral.peer, messenger.RecordsQuery{WaitMS: q.WaitMS, Stale: true})
	if state == seedAnswered || state == seedReading && s.Clock.Since(s.referral.since) < refereeTimeout {
		return state
	}
	klog.InfoS("Referred to an unresponsive peer", "seed", seed, "peer", s.referral.peer)
	q.Unresponsive, s.referral = s.referral.peer, referral{}
	// Other processes with the same referral detect that at the same time. If all asked the seed at
	// once, its answers would time out.
	s.pause(ctx, s.listDelay)
	state, _ = s.applyAllRecords(ctx, seed, q)
	return state
}
