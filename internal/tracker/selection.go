package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// selection collects the agents to return in one reply.
type selection struct {
	requester string
	isFresh   func(*member) bool
	members   []*member
}

// add appends agents other than the requester while there are fewer than limit.
func (p *selection) add(limit int, ms ...*member) {
	for _, m := range ms {
		if len(p.members) < limit && m.agent.state.ID != p.requester && !slices.Contains(p.members, m) {
			p.members = append(p.members, m)
		}
	}
}

// wouldBeOriginFetcher reports whether an agent with this score would be an origin fetcher
// beside those selected so far.
func (p *selection) wouldBeOriginFetcher(score uint64) bool {
	higher := 0
	for _, m := range p.members {
		if m.score > score {
			higher++
		}
	}
	return higher < planner.OriginFetchersPerRegion
}

// addSample fills the selection from a group: it examines a few members for each free
// position and adds those first that hold most of the chunks that the requester lacks;
// among equals, those of the requester's failure domain.
func (p *selection) addSample(r *rand.Rand, g *group, have planner.Bitmap, domain string) {
	type candidate struct {
		*member
		missing    int
		sameDomain bool
	}
	free := MaxHolders - len(p.members)
	var cs []candidate
	seen := map[int]bool{}
	for range samplesPerHolder * free {
		index := r.IntN(len(g.members))
		m := g.members[index]
		if seen[index] || !p.isFresh(m) {
			continue
		}
		seen[index] = true
		cs = append(cs, candidate{m, countMissing(have, m.holding.Have), m.agent.state.FailureDomain == domain})
	}
	// Half of the positions go to random members, so that agents without chunks are also
	// reported to others from the start.
	slices.SortStableFunc(cs[min(len(cs), free/2):], func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.missing, a.missing), compareBool(b.sameDomain, a.sameDomain))
	})
	for _, c := range cs {
		p.add(MaxHolders, c.member)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// countMissing counts the chunks in theirs that aren't in ours.
func countMissing(ours, theirs planner.Bitmap) int {
	n := theirs.Count()
	for i := range ours {
		if i < len(theirs) {
			n -= planner.Bitmap{ours[i] & theirs[i]}.Count()
		}
	}
	return n
}

func (p *selection) holders() []messenger.Holder {
	hs := make([]messenger.Holder, 0, len(p.members))
	for _, m := range p.members {
		s := m.agent.state
		hs = append(hs, messenger.Holder{
			ID: s.ID, FailureDomain: s.FailureDomain, Region: s.Region, Address: s.Address, Holding: m.holding,
		})
	}
	return hs
}
