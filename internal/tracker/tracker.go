// Package tracker keeps, in an entry, soft state of which agents hold or want
// which weights, and introduces them to each other. All of it is relearned from
// the agents' reports; nothing here must be exact.
package tracker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// Defaults and bounds.
const (
	DefaultStale = 15 * time.Second
	// MaxHolders bounds the agents of its own region that one agent is named for
	// one manifest; MaxRemote bounds those of other regions.
	MaxHolders = 16
	MaxRemote  = 4 * planner.Drawers
	// sampled is how many agents are looked at for each one that is named.
	sampled = 2
)

// Tracker knows the holders of each manifest. Set the exported fields before the
// first call; all methods are safe for concurrent use.
type Tracker struct {
	Clock clock.PassiveClock
	// Stale is the age from which an agent's last report counts for nothing.
	Stale time.Duration
	// Seed makes the samples repeatable; 0 takes a random seed.
	Seed uint64

	mu     sync.Mutex
	rand   *rand.Rand
	agents map[string]*agent
	// groups are the agents that hold or want a manifest, by region.
	groups map[string]map[string]*group
}

// agent is what was last heard of an agent.
type agent struct {
	state messenger.AgentState
	heard time.Time
}

// member is an agent's place in a group.
type member struct {
	agent   *agent
	holding messenger.Holding
	count   int
	score   uint64
	// at is the member's index in its group.
	at int
}

// group is the agents of one region that hold or want one manifest.
type group struct {
	members []*member
	byID    map[string]*member
	// drawers are the members with the highest scores, highest first; nil when
	// they must be found anew.
	drawers []*member
}

// Report notes an agent's state. A report that is older than the last one of the
// same incarnation is dropped, and a leaving agent is forgotten.
func (t *Tracker) Report(s messenger.AgentState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	old := t.agents[s.ID]
	if old != nil && old.state.Incarnation == s.Incarnation && s.Sequence < old.state.Sequence {
		return
	}
	if s.Leaving {
		t.remove(s.ID)
		return
	}
	if old == nil || old.state.Region != s.Region {
		t.remove(s.ID)
		old = &agent{}
		t.agents[s.ID] = old
	}
	t.leaveDropped(old, s)
	old.state, old.heard = s, t.Clock.Now()
	for _, h := range s.Holdings {
		t.group(h.Manifest, s.Region).put(old, h)
	}
}

// leaveDropped takes an agent out of the groups of manifests that it no longer
// names.
func (t *Tracker) leaveDropped(a *agent, s messenger.AgentState) {
	for _, h := range a.state.Holdings {
		kept := func(n messenger.Holding) bool { return n.Manifest == h.Manifest }
		if !slices.ContainsFunc(s.Holdings, kept) {
			t.leave(h.Manifest, a)
		}
	}
}

func (t *Tracker) leave(manifest string, a *agent) {
	regions := t.groups[manifest]
	g := regions[a.state.Region]
	if g == nil {
		return
	}
	g.drop(a.state.ID)
	if len(g.members) == 0 {
		delete(regions, a.state.Region)
	}
	if len(regions) == 0 {
		delete(t.groups, manifest)
	}
}

// Remove forgets an agent.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

func (t *Tracker) remove(id string) {
	a := t.agents[id]
	if a == nil {
		return
	}
	for _, h := range a.state.Holdings {
		t.leave(h.Manifest, a)
	}
	delete(t.agents, id)
}

func (t *Tracker) group(manifest, region string) *group {
	regions := t.groups[manifest]
	if regions == nil {
		regions = map[string]*group{}
		t.groups[manifest] = regions
	}
	g := regions[region]
	if g == nil {
		g = &group{byID: map[string]*member{}}
		regions[region] = g
	}
	return g
}

// Holders names, for each wanted manifest, a handful of agents to fetch from:
// the drawers of the agent's region; a sample of that region in which those with
// chunks that the agent lacks come first; and, when the agent is a drawer itself,
// the drawers of the other regions. The work doesn't grow with the number of
// agents.
func (t *Tracker) Holders(from messenger.AgentState, want []string) []messenger.Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	var hs []messenger.Holder
	for _, m := range want {
		hs = append(hs, t.holders(from, m)...)
	}
	return hs
}

func (t *Tracker) holders(from messenger.AgentState, manifest string) []messenger.Holder {
	now := t.Clock.Now()
	p := &picks{asker: from.ID, fresh: func(m *member) bool { return now.Sub(m.agent.heard) <= t.Stale }}
	regions := t.groups[manifest]
	if g := regions[from.Region]; g != nil {
		p.add(MaxHolders, g.top(p.fresh)...)
		draws := p.ranks(planner.Score(manifest, from.ID))
		p.sample(t.rand, g, held(from, manifest), from.FailureDomain)
		if !draws {
			return p.list()
		}
	}
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		if r != from.Region {
			p.add(MaxHolders+MaxRemote, regions[r].top(p.fresh)...)
		}
	}
	return p.list()
}

func held(s messenger.AgentState, manifest string) planner.Bitmap {
	for _, h := range s.Holdings {
		if h.Manifest == manifest {
			return h.Have
		}
	}
	return nil
}

// Counts tells how many agents hold the whole manifest, how many a part of it,
// and the bytes of the reports' bitmaps kept for it.
func (t *Tracker) Counts(manifest string) (whole, partial int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups[manifest] {
		for _, m := range g.members {
			bytes += int64(len(m.holding.Have))
			switch {
			case m.holding.Chunks > 0 && m.count == m.holding.Chunks:
				whole++
			case m.count > 0:
				partial++
			}
		}
	}
	return whole, partial, bytes
}

func (t *Tracker) setUp() {
	if t.agents != nil {
		return
	}
	if t.Clock == nil {
		t.Clock = clock.RealClock{}
	}
	if t.Stale == 0 {
		t.Stale = DefaultStale
	}
	seed := t.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.rand = rand.New(rand.NewPCG(seed, seed))
	t.agents = map[string]*agent{}
	t.groups = map[string]map[string]*group{}
}

func (g *group) put(a *agent, h messenger.Holding) {
	m := g.byID[a.state.ID]
	if m == nil {
		m = &member{agent: a, score: planner.Score(h.Manifest, a.state.ID), at: len(g.members)}
		g.byID[a.state.ID] = m
		g.members = append(g.members, m)
		g.joined(m)
	}
	m.holding, m.count = h, planner.Bitmap(h.Have).Count()
}

// joined keeps the drawers right without looking at all members again.
func (g *group) joined(m *member) {
	if g.drawers == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(g.drawers, m, byScore)
	if i < planner.Drawers {
		g.drawers = slices.Insert(g.drawers, i, m)
		g.drawers = g.drawers[:min(len(g.drawers), planner.Drawers)]
	}
}

func byScore(a, b *member) int { return cmp.Compare(b.score, a.score) }

func (g *group) drop(id string) {
	m := g.byID[id]
	if m == nil {
		return
	}
	delete(g.byID, id)
	last := g.members[len(g.members)-1]
	g.members[m.at], last.at = last, m.at
	g.members = g.members[:len(g.members)-1]
	if slices.Contains(g.drawers, m) {
		g.drawers = nil
	}
}

// top gives the drawers. A stale one among them is passed over by finding them
// anew among the fresh members, which looks at all of them once and not at each
// call.
func (g *group) top(fresh func(*member) bool) []*member {
	if g.drawers != nil && !slices.ContainsFunc(g.drawers, func(m *member) bool { return !fresh(m) }) {
		return g.drawers
	}
	g.drawers = make([]*member, 0, planner.Drawers+1)
	for _, m := range g.members {
		if fresh(m) {
			g.joined(m)
		}
	}
	return g.drawers
}
