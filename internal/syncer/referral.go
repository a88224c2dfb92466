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
	// referees is how many entries of another region get all records from this process; later
	// askers of their region are referred to them. A list takes about 30 ms of a link between
	// regions, and an entry sends it to some 40 processes a second.
	referees = 3
	// referFor is how long askers are referred to an entry that got all records. A restart of
	// all takes up to 2.4 s; later the entry may have ended.
	referFor = 3 * time.Second
	// refereeTimeout bounds the wait for a referee that doesn't know the records yet: several
	// times what the lists of all referees take on an idle link.
	refereeTimeout = 600 * time.Millisecond
)

// referrals keeps which entries of other regions got all records from this process, so that the
// lists don't saturate the links between regions when a whole region starts. It is safe for
// concurrent use.
type referrals struct {
	clock  clock.PassiveClock
	region string

	mu    sync.Mutex
	given map[string][]referee
}

// referee is an entry that got all records.
type referee struct {
	address netip.AddrPort
	at      time.Time
}

// refer gives the entry that an asker should ask instead; false if the asker should get the records
// from this process. An entry that should is noted as having got them.
func (s *referrals) refer(q messenger.RecordsQuery) (netip.AddrPort, bool) {
	if q.After != 0 || q.Region == "" || s.region == "" || q.Region == s.region {
		return netip.AddrPort{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	known := slices.DeleteFunc(s.given[q.Region], func(r referee) bool {
		return r.address == q.Unresponsive || r.address == q.Peers || now.Sub(r.at) > referFor
	})
	serve := len(known) == 0 || q.Unresponsive.IsValid() || q.Peers.IsValid() && len(known) < referees
	if serve && q.Peers.IsValid() {
		known = append(known, referee{q.Peers, now})
	}
	if s.given == nil {
		s.given = map[string][]referee{}
	}
	s.given[q.Region] = known
	if serve {
		return netip.AddrPort{}, false
	}
	return known[rand.IntN(len(known))].address, true
}

// referral is the entry to which a seed referred this process.
type referral struct {
	to    netip.AddrPort
	since time.Time
}

// firstRecords takes over what a seed knows, or the entry to which it refers this process.
func (s *Syncer) firstRecords(ctx context.Context, seed netip.AddrPort) seedState {
	q := messenger.RecordsQuery{WaitMS: seedHold.Milliseconds(), Stale: true, Region: s.Region, Peers: s.Peers}
	if !s.referral.to.IsValid() {
		state, to := s.allRecords(ctx, seed, q)
		if !to.IsValid() {
			return state
		}
		s.referral, s.referred = referral{to, s.Clock.Now()}, true
	}
	// No region is stated, so that the referee doesn't refer this process further.
	state, _ := s.allRecords(ctx, s.referral.to, messenger.RecordsQuery{WaitMS: q.WaitMS, Stale: true})
	if state == seedKnows || state == seedReads && s.Clock.Since(s.referral.since) < refereeTimeout {
		return state
	}
	klog.InfoS("Referred to an unresponsive peer", "seed", seed, "peer", s.referral.to)
	q.Unresponsive, s.referral = s.referral.to, referral{}
	// Others that were referred to it find that at the same moment. If all asked the seed at once, its answers would
	// run into their timeouts.
	s.pause(ctx, s.listDelay)
	state, _ = s.allRecords(ctx, seed, q)
	return state
}
