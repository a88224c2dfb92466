package syncer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// readers is how many entries read the store for all others: two, so that
	// neither the loss of one nor a watch that has gone silent delays news.
	readers = 2
	// fewestRelays is how many entries of a region ask the readers on behalf of the region's
	// others, two for the same reason. There are more where each would tell over relayed
	// entries: both the readers' and the relays' bytes stay near the budget then, as
	// TestBytesOfNews measures.
	fewestRelays = 2
	relayed      = 20
	// sources is how many unresponsive peers are waited for before the store is asked: two that
	// are frozen take 1.5 s, and a change has to be in force within 2 s. Those that refuse the
	// connection don't count: when several entries of a region leave together, its agents
	// would all watch the store, and the next change would saturate the link to it.
	sources = 2
	// mostDirect is up to how many entries all ask the readers themselves. Above, the readers'
	// bytes grow with the entries, and the same news cross the links between regions once for
	// each of them.
	mostDirect = 16
	// relayWait is how long a reader holds an answer to a relay back without news. The time
	// adds to the age of all that the relay tells, which must stay well below staleNews.
	relayWait = 150 * time.Millisecond
)

// order says whom a process asks, and how.
type order struct {
	// reads tells that it reads the store for others.
	reads bool
	// relays tells that it asks the readers for others of its region.
	relays bool
	// candidates are whom it may ask, the best first.
	candidates []netip.AddrPort
	// ahead are the entries of the own region that fall back to the store before this process.
	ahead []netip.AddrPort
	// wait is how long an answer may be held back without news.
	wait time.Duration
}

// order makes up whom to ask from the entries that are known: an entry asks those that read
// the store, with many entries by way of its region's relays, an agent the entries of its
// own region.
func (s *Syncer) order() order {
	o := order{reads: s.Entry, wait: peerWait}
	var ms []registrar.Member
	if v := s.Registrar.View(); v != nil {
		ms = slices.Clone(v.Members)
	}
	if s.Entry {
		slices.SortFunc(ms, func(a, b registrar.Member) int { return byRank(a.ID, b.ID) })
		o.reads = s.isAmong(ms[:min(readers, len(ms))]) || len(ms) <= readers && (s.Seed || len(s.Seeds) == 0)
		o.ahead = s.aheadOf(ms[min(readers, len(ms)):])
		s.spread(ms[:min(readers, len(ms))])
		if len(ms) > mostDirect {
			own := s.ownRelays(ms[readers:])
			if s.isAmong(own) && !o.reads {
				o.relays, o.wait = true, relayWait
			} else {
				s.spread(own)
				ms = append(own, ms...)
			}
		}
	} else {
		slices.SortFunc(ms, s.nearer)
		o.ahead = s.aheadOf(ms)
	}
	for _, m := range ms {
		if m.ID != s.ID && !slices.Contains(o.candidates, m.Peers) {
			o.candidates = append(o.candidates, m.Peers)
		}
	}
	for _, a := range s.nearestSeeds() {
		if !slices.Contains(o.candidates, a) {
			o.candidates = append(o.candidates, a)
		}
	}
	return o
}

// nearestSeeds are the seeds, those first that this process found to be near.
func (s *Syncer) nearestSeeds() []netip.AddrPort {
	return slices.Concat(s.nearSeeds, s.Seeds)
}

// aheadOf are the own region's entries up to this process, or all of them for an agent.
func (s *Syncer) aheadOf(ms []registrar.Member) []netip.AddrPort {
	var as []netip.AddrPort
	for _, m := range ms {
		if m.ID == s.ID {
			break
		}
		if m.Region == s.Region {
			as = append(as, m.Peers)
		}
	}
	return as
}

func (s *Syncer) isAmong(ms []registrar.Member) bool {
	return slices.ContainsFunc(ms, func(m registrar.Member) bool { return m.ID == s.ID })
}

// ownRelays are the relays of this entry's region, of entries in the order of their rank. The
// readers have enough to tell.
func (s *Syncer) ownRelays(others []registrar.Member) []registrar.Member {
	own := slices.DeleteFunc(slices.Clone(others), func(m registrar.Member) bool { return m.Region != s.Region })
	return own[:min(len(own), max(fewestRelays, (len(own)+relayed-1)/relayed))]
}

// spread puts equals in an order of this process's own, so that each is asked by some.
func (s *Syncer) spread(ms []registrar.Member) {
	slices.SortFunc(ms, func(a, b registrar.Member) int { return byRank(a.ID+s.ID, b.ID+s.ID) })
}

// byRank orders entries by a hash of their names, the same for all processes.
func byRank(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) }

// nearer puts entries of the own region first, each process in another order.
func (s *Syncer) nearer(a, b registrar.Member) int {
	far := func(m registrar.Member) int {
		if m.Region == s.Region {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(far(a), far(b)), byRank(a.ID+s.ID, b.ID+s.ID))
}
