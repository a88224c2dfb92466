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
	MaxRemote  = 4 * planner.OriginFetchersPerRegion
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
	// introduced tells that another entry named the agent, and that it doesn't
	// report here itself.
	introduced bool
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
	// originFetchers are the members with the highest scores, highest first; nil when
	// they must be found anew.
	originFetchers []*member
}

// Report notes an agent's state. A report that is older than the last one of the
// same incarnation is dropped, and a leaving agent is forgotten.
func (t *Tracker) Report(s messenger.AgentState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	old := t.agents[s.ID]
	if old != nil && !old.introduced && old.state.Incarnation == s.Incarnation && s.Sequence < old.state.Sequence {
		return
	}
	if s.Leaving {
		t.remove(s.ID)
		return
	}
	if old == nil || old.introduced || old.state.Region != s.Region {
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
// the origin fetchers of the agent's region; a sample of that region in which those with
// chunks that the agent lacks come first; and, when the agent is an origin fetcher itself,
// the origin fetchers of the other regions. The work doesn't grow with the number of
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

// joined keeps the origin fetchers right without looking at all members again.
func (g *group) joined(m *member) {
	if g.originFetchers != nil {
		g.originFetchers = insert(g.originFetchers, m)
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
	if slices.Contains(g.originFetchers, m) {
		g.originFetchers = nil
	}
}

// top gives the origin fetchers. Only when one among them is stale are they found anew:
// all members are looked at once, and not at each call.
func (g *group) top(fresh func(*member) bool) []*member {
	stale := func(m *member) bool { return !fresh(m) }
	if g.originFetchers == nil || slices.ContainsFunc(g.originFetchers, stale) {
		g.originFetchers = g.best(fresh)
	}
	return g.originFetchers
}

// best finds the fresh members with the highest scores.
func (g *group) best(fresh func(*member) bool) []*member {
	best := make([]*member, 0, planner.OriginFetchersPerRegion+1)
	for _, m := range g.members {
		if fresh(m) {
			best = insert(best, m)
		}
	}
	return best
}

// insert puts a member in its place by score, and lets the last one go when there
// are too many.
func insert(ms []*member, m *member) []*member {
	i, _ := slices.BinarySearchFunc(ms, m, byScore)
	if i >= planner.OriginFetchersPerRegion {
		return ms
	}
	ms = slices.Insert(ms, i, m)
	return ms[:min(len(ms), planner.OriginFetchersPerRegion)]
}

// OriginFetchers names the origin fetchers of all manifests among the agents that report to this
// entry, for other entries to Introduce. An entry knows only some agents of its
// own region; without the others' origin fetchers each entry would elect its own, and each
// region would draw its own copy from the origin. Bitmaps are left out: an origin fetcher
// asks the others itself what they hold.
func (t *Tracker) OriginFetchers() []messenger.Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	now := t.Clock.Now()
	var hs []messenger.Holder
	for _, manifest := range slices.Sorted(maps.Keys(t.groups)) {
		for _, r := range slices.Sorted(maps.Keys(t.groups[manifest])) {
			p := &picks{fresh: func(m *member) bool { return !m.agent.introduced && now.Sub(m.agent.heard) <= t.Stale }}
			p.add(planner.OriginFetchersPerRegion, t.groups[manifest][r].best(p.fresh)...)
			hs = append(hs, p.list()...)
		}
	}
	for i := range hs {
		hs[i].Holding.Have = nil
	}
	return hs
}

// Introduce takes in the origin fetchers that another entry named. An agent that reports
// to this entry itself is known better, and passed over. What was introduced is
// never introduced further: two entries would keep a dead agent alive by telling
// each other of it. So a dead one lapses after twice Stale at most.
func (t *Tracker) Introduce(hs []messenger.Holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	now := t.Clock.Now()
	for _, h := range hs {
		a := t.agents[h.ID]
		if a != nil && !a.introduced && now.Sub(a.heard) <= t.Stale {
			continue
		}
		if a == nil || !a.introduced || a.state.Region != h.Region {
			t.remove(h.ID)
			a = &agent{introduced: true}
			t.agents[h.ID] = a
		}
		a.heard = now
		a.state.ID, a.state.FailureDomain, a.state.Region, a.state.Address = h.ID, h.FailureDomain, h.Region, h.Address
		a.state.Holdings = slices.DeleteFunc(a.state.Holdings, func(old messenger.Holding) bool { return old.Manifest == h.Holding.Manifest })
		a.state.Holdings = append(a.state.Holdings, h.Holding)
		t.group(h.Holding.Manifest, h.Region).put(a, h.Holding)
	}
}
