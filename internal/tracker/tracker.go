// Package tracker keeps, in an entry, soft state of which agents hold or want which
// weights, and refers them to each other. All of it is rebuilt from the agents'
// reports; none of it has to be exact.
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
	// MaxHolders bounds the agents of its own region that are listed to one agent for
	// one manifest; MaxRemote bounds those of other regions.
	MaxHolders = 16
	MaxRemote  = 4 * planner.OriginFetchersPerRegion
	// samplesPerHolder is the number of agents examined for each one that is listed.
	samplesPerHolder = 2
)

// Tracker records the holders of each manifest. Set the exported fields before the
// first call; all methods are safe for concurrent use.
type Tracker struct {
	Clock clock.PassiveClock
	// Stale is the age from which an agent's last report is ignored.
	Stale time.Duration
	// Seed makes the samples repeatable; 0 selects a random seed.
	Seed uint64

	mu     sync.Mutex
	rand   *rand.Rand
	agents map[string]*agent
	// groups are the agents that hold or want a manifest, by region.
	groups map[string]map[string]*group
}

// agent is the last reported state of an agent.
type agent struct {
	state      messenger.AgentState
	lastReport time.Time
	// indirect is set when another entry listed the agent and the agent doesn't report
	// to this entry itself.
	indirect bool
}

// member is an agent's membership in a group.
type member struct {
	agent   *agent
	holding messenger.Holding
	count   int
	score   uint64
	// index is the member's index in its group.
	index int
}

// group holds the agents of one region that hold or want one manifest.
type group struct {
	members []*member
	byID    map[string]*member
	// originFetchers are the members with the highest scores, highest first; nil when
	// they have to be recomputed.
	originFetchers []*member
}

// Report records an agent's state. It drops a report that is older than the last one of
// the same incarnation, and removes an agent that is shutting down.
func (t *Tracker) Report(s messenger.AgentState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	old := t.agents[s.ID]
	if old != nil && !old.indirect && old.state.Incarnation == s.Incarnation && s.Sequence < old.state.Sequence {
		return
	}
	if s.Leaving {
		t.remove(s.ID)
		return
	}
	if old == nil || old.indirect || old.state.Region != s.Region {
		t.remove(s.ID)
		old = &agent{}
		t.agents[s.ID] = old
	}
	t.removeDroppedHoldings(old, s)
	old.state, old.lastReport = s, t.Clock.Now()
	for _, h := range s.Holdings {
		t.group(h.Manifest, s.Region).put(old, h)
	}
}

// removeDroppedHoldings removes an agent from the groups of manifests that its new state
// doesn't list.
func (t *Tracker) removeDroppedHoldings(a *agent, s messenger.AgentState) {
	for _, h := range a.state.Holdings {
		sameManifest := func(n messenger.Holding) bool { return n.Manifest == h.Manifest }
		if !slices.ContainsFunc(s.Holdings, sameManifest) {
			t.removeFromGroup(h.Manifest, a)
		}
	}
}

func (t *Tracker) removeFromGroup(manifest string, a *agent) {
	regions := t.groups[manifest]
	g := regions[a.state.Region]
	if g == nil {
		return
	}
	g.remove(a.state.ID)
	if len(g.members) == 0 {
		delete(regions, a.state.Region)
	}
	if len(regions) == 0 {
		delete(t.groups, manifest)
	}
}

// Remove deletes an agent.
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
		t.removeFromGroup(h.Manifest, a)
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

// Holders lists, for each wanted manifest, a few agents to fetch from: the origin
// fetchers of the agent's region; a sample of that region in which those with chunks
// that the agent lacks come first; and, when the agent is an origin fetcher itself, the
// origin fetchers of the other regions. Its cost doesn't grow with the number of agents.
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
	p := &selection{requester: from.ID, isFresh: func(m *member) bool { return now.Sub(m.agent.lastReport) <= t.Stale }}
	regions := t.groups[manifest]
	if g := regions[from.Region]; g != nil {
		p.add(MaxHolders, g.cachedOriginFetchers(p.isFresh)...)
		isOriginFetcher := p.wouldBeOriginFetcher(planner.Score(manifest, from.ID))
		p.addSample(t.rand, g, heldChunks(from, manifest), from.FailureDomain)
		if !isOriginFetcher {
			return p.holders()
		}
	}
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		if r != from.Region {
			p.add(MaxHolders+MaxRemote, regions[r].cachedOriginFetchers(p.isFresh)...)
		}
	}
	return p.holders()
}

func heldChunks(s messenger.AgentState, manifest string) planner.Bitmap {
	for _, h := range s.Holdings {
		if h.Manifest == manifest {
			return h.Have
		}
	}
	return nil
}

// Counts returns how many agents hold the whole manifest, how many hold a part of it,
// and the size in bytes of the reported bitmaps kept for it.
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
		m = &member{agent: a, score: planner.Score(h.Manifest, a.state.ID), index: len(g.members)}
		g.byID[a.state.ID] = m
		g.members = append(g.members, m)
		g.updateOriginFetchers(m)
	}
	m.holding, m.count = h, planner.Bitmap(h.Have).Count()
}

// updateOriginFetchers adds a new member to the origin fetchers without examining all members.
func (g *group) updateOriginFetchers(m *member) {
	if g.originFetchers != nil {
		g.originFetchers = insertByScore(g.originFetchers, m)
	}
}

func compareScores(a, b *member) int { return cmp.Compare(b.score, a.score) }

func (g *group) remove(id string) {
	m := g.byID[id]
	if m == nil {
		return
	}
	delete(g.byID, id)
	last := g.members[len(g.members)-1]
	g.members[m.index], last.index = last, m.index
	g.members = g.members[:len(g.members)-1]
	if slices.Contains(g.originFetchers, m) {
		g.originFetchers = nil
	}
}

// cachedOriginFetchers returns the origin fetchers. It examines all members only when one
// of the cached origin fetchers is stale, and not at each call.
func (g *group) cachedOriginFetchers(fresh func(*member) bool) []*member {
	stale := func(m *member) bool { return !fresh(m) }
	if g.originFetchers == nil || slices.ContainsFunc(g.originFetchers, stale) {
		g.originFetchers = g.findOriginFetchers(fresh)
	}
	return g.originFetchers
}

// findOriginFetchers returns the fresh members with the highest scores.
func (g *group) findOriginFetchers(fresh func(*member) bool) []*member {
	best := make([]*member, 0, planner.OriginFetchersPerRegion+1)
	for _, m := range g.members {
		if fresh(m) {
			best = insertByScore(best, m)
		}
	}
	return best
}

// insertByScore inserts a member in order of score and drops the last member if there
// are too many.
func insertByScore(ms []*member, m *member) []*member {
	i, _ := slices.BinarySearchFunc(ms, m, compareScores)
	if i >= planner.OriginFetchersPerRegion {
		return ms
	}
	ms = slices.Insert(ms, i, m)
	return ms[:min(len(ms), planner.OriginFetchersPerRegion)]
}

// OriginFetchers lists the origin fetchers of all manifests among the agents that report to
// this entry, as input for MergeOriginFetchers of other entries. Each entry receives reports
// of only some agents of its region; without the others' origin fetchers each entry would
// elect its own, and each region would fetch its own copy from the origin. Bitmaps are left
// out: an origin fetcher requests the others' holdings itself.
func (t *Tracker) OriginFetchers() []messenger.Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	now := t.Clock.Now()
	var hs []messenger.Holder
	for _, manifest := range slices.Sorted(maps.Keys(t.groups)) {
		for _, r := range slices.Sorted(maps.Keys(t.groups[manifest])) {
			p := &selection{isFresh: func(m *member) bool { return !m.agent.indirect && now.Sub(m.agent.lastReport) <= t.Stale }}
			p.add(planner.OriginFetchersPerRegion, t.groups[manifest][r].findOriginFetchers(p.isFresh)...)
			hs = append(hs, p.holders()...)
		}
	}
	for i := range hs {
		hs[i].Holding.Have = nil
	}
	return hs
}

// MergeOriginFetchers adds the origin fetchers that another entry listed, except agents that
// report to this entry themselves. Agents learned from another entry are never passed on:
// otherwise two entries would keep a dead agent alive by listing it to each other. A dead
// agent thus expires after twice Stale at most.
func (t *Tracker) MergeOriginFetchers(hs []messenger.Holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	now := t.Clock.Now()
	for _, h := range hs {
		a := t.agents[h.ID]
		if a != nil && !a.indirect && now.Sub(a.lastReport) <= t.Stale {
			continue
		}
		if a == nil || !a.indirect || a.state.Region != h.Region {
			t.remove(h.ID)
			a = &agent{indirect: true}
			t.agents[h.ID] = a
		}
		a.lastReport = now
		a.state.ID, a.state.FailureDomain, a.state.Region, a.state.Address = h.ID, h.FailureDomain, h.Region, h.Address
		a.state.Holdings = slices.DeleteFunc(a.state.Holdings, func(old messenger.Holding) bool { return old.Manifest == h.Holding.Manifest })
		a.state.Holdings = append(a.state.Holdings, h.Holding)
		t.group(h.Holding.Manifest, h.Region).put(a, h.Holding)
	}
}
