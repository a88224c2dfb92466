package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// picks gathers the agents to name in one answer.
type picks struct {
	asker   string
	fresh   func(*member) bool
	members []*member
}

// add names more agents while there are fewer than limit.
func (p *picks) add(limit int, ms ...*member) {
	for _, m := range ms {
		if len(p.members) < limit && m.agent.state.ID != p.asker && !slices.Contains(p.members, m) {
			p.members = append(p.members, m)
		}
	}
}

// ranks tells whether an agent with this score would be an origin fetcher beside those
// picked so far.
func (p *picks) ranks(score uint64) bool {
	higher := 0
	for _, m := range p.members {
		if m.score > score {
			higher++
		}
	}
	return higher < planner.OriginFetchersPerRegion
}

// sample fills the list from a group: it looks at a few members for each free
// place and takes those first that have most of what the asker lacks; of equals
// the ones of the asker's failure domain.
func (p *picks) sample(r *rand.Rand, g *group, have planner.Bitmap, domain string) {
	type candidate struct {
		*member
		useful int
		near   bool
	}
	free := MaxHolders - len(p.members)
	var cs []candidate
	seen := map[int]bool{}
	for range sampled * free {
		at := r.IntN(len(g.members))
		m := g.members[at]
		if seen[at] || !p.fresh(m) {
			continue
		}
		seen[at] = true
		cs = append(cs, candidate{m, useful(have, m.holding.Have), m.agent.state.FailureDomain == domain})
	}
	// Half of the places go to random members, so that agents with nothing yet
	// are known to others from the start.
	slices.SortStableFunc(cs[min(len(cs), free/2):], func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.useful, a.useful), compareBool(b.near, a.near))
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

// useful counts the chunks in theirs that aren't in ours.
func useful(ours, theirs planner.Bitmap) int {
	n := theirs.Count()
	for i := range ours {
		if i < len(theirs) {
			n -= planner.Bitmap{ours[i] & theirs[i]}.Count()
		}
	}
	return n
}

func (p *picks) list() []messenger.Holder {
	hs := make([]messenger.Holder, 0, len(p.members))
	for _, m := range p.members {
		s := m.agent.state
		hs = append(hs, messenger.Holder{
			ID: s.ID, FailureDomain: s.FailureDomain, Region: s.Region, Address: s.Address, Holding: m.holding,
		})
	}
	return hs
}
