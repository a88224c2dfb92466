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
	// readerCount is the number of entries that read the store for all others. With two, neither
	// the loss of one nor an unresponsive watch delays updates.
	readerCount = 2
	// minRelays is the least number of entries of a region that ask the readers on behalf of the
	// region's others, two for the same reason. There are more if each would serve over
	// entriesPerRelay entries: this keeps the bytes of readers and relays near the budget, as
	// TestUpdateBytesStayWithinBudget measures.
	minRelays       = 2
	entriesPerRelay = 20
	// maxUnhelpfulPeers is how many unresponsive peers are waited for before the store is asked:
	// two suspended ones take 1.5 s, and a change has to take effect within 2 s. Peers that refuse
	// the connection don't count: when several entries of a region shut down together, its agents
	// would all watch the store, and the next change would saturate the link to it.
	maxUnhelpfulPeers = 2
	// maxDirectEntries is the number of entries up to which all ask the readers directly. Above it,
	// the readers' bytes grow with the entries, and the same updates cross the links between
	// regions once per entry.
	maxDirectEntries = 16
	// relayWait is how long a reader holds an answer to a relay without updates. It adds to the age
	// of all that the relay sends, which must stay well below staleAge.
	relayWait = 150 * time.Millisecond
)

// plan defines which peers a process asks, and how.
type plan struct {
	// reads is set if it reads the store for others.
	reads bool
	// relays is set if it asks the readers for others of its region.
	relays bool
	// candidates are the peers to ask, best first.
	candidates []netip.AddrPort
	// ahead are the entries of the own region that fall back to the store before this process.
	ahead []netip.AddrPort
	// wait is how long an answer may be held without updates.
	wait time.Duration
}

// plan chooses the peers to ask from the known entries: an entry asks the readers, with many
// entries through its region's relays, and an agent asks the entries of its own region.
func (s *Syncer) plan() plan {
	p := plan{reads: s.Entry, wait: peerWait}
	var ms []registrar.Member
	if v := s.Registrar.View(); v != nil {
		ms = slices.Clone(v.Members)
	}
	if s.Entry {
		slices.SortFunc(ms, func(a, b registrar.Member) int { return byRank(a.ID, b.ID) })
		p.reads = s.includesSelf(ms[:min(readerCount, len(ms))]) || len(ms) <= readerCount && (s.Seed || len(s.Seeds) == 0)
		p.ahead = s.entriesAhead(ms[min(readerCount, len(ms)):])
		s.sortForSelf(ms[:min(readerCount, len(ms))])
		if len(ms) > maxDirectEntries {
			own := s.regionRelays(ms[readerCount:])
			if s.includesSelf(own) && !p.reads {
				p.relays, p.wait = true, relayWait
			} else {
				s.sortForSelf(own)
				ms = append(own, ms...)
			}
		}
	} else {
		slices.SortFunc(ms, s.byProximity)
		p.ahead = s.entriesAhead(ms)
	}
	for _, m := range ms {
		if m.ID != s.ID && !slices.Contains(p.candidates, m.Peers) {
			p.candidates = append(p.candidates, m.Peers)
		}
	}
	for _, a := range s.seedsByProximity() {
		if !slices.Contains(p.candidates, a) {
			p.candidates = append(p.candidates, a)
		}
	}
	return p
}

// seedsByProximity returns the seeds, starting with those found to be near.
func (s *Syncer) seedsByProximity() []netip.AddrPort {
	return slices.Concat(s.nearSeeds, s.Seeds)
}

// entriesAhead returns the own region's entries up to this process, or all of them for an agent.
func (s *Syncer) entriesAhead(ms []registrar.Member) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range ms {
		if m.ID == s.ID {
			break
		}
		if m.Region == s.Region {
			addrs = append(addrs, m.Peers)
		}
	}
	return addrs
}

func (s *Syncer) includesSelf(ms []registrar.Member) bool {
	return slices.ContainsFunc(ms, func(m registrar.Member) bool { return m.ID == s.ID })
}

// regionRelays returns the relays of this entry's region, from entries in the order of their rank.
// The readers are left out, as they have enough requests to answer.
func (s *Syncer) regionRelays(others []registrar.Member) []registrar.Member {
	own := slices.DeleteFunc(slices.Clone(others), func(m registrar.Member) bool { return m.Region != s.Region })
	return own[:min(len(own), max(minRelays, (len(own)+entriesPerRelay-1)/entriesPerRelay))]
}

// sortForSelf sorts entries in an order specific to this process, to spread requests.
func (s *Syncer) sortForSelf(ms []registrar.Member) {
	slices.SortFunc(ms, func(a, b registrar.Member) int { return byRank(a.ID+s.ID, b.ID+s.ID) })
}

// byRank compares entries by a hash of their names, the same in all processes.
func byRank(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) }

// byProximity puts entries of the own region first, in an order specific to this process.
func (s *Syncer) byProximity(a, b registrar.Member) int {
	far := func(m registrar.Member) int {
		if m.Region == s.Region {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(far(a), far(b)), byRank(a.ID+s.ID, b.ID+s.ID))
}
