// Package router chooses the replica for a request, based on the bundle and on
// earlier reports of the agents. Its view may be outdated: the agent decides,
// and a wrong choice costs a correct "not run" and another attempt.
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// The defaults of Router's fields.
const (
	DefaultStaleAfter   = 3 * time.Second
	DefaultReportLag    = 20 * time.Millisecond
	DefaultRefusedFor   = 100 * time.Millisecond
	DefaultFailedFor    = time.Second
	DefaultDomainCost   = 0.1
	DefaultRegionCost   = 0.3
	DefaultAffinityGain = 0.6
)

// forgetFactor times StaleAfter is how long an unresponsive agent is kept.
const forgetFactor = 20

// Router tracks the agents of its entry. Set the exported fields before use. It
// is safe for concurrent use.
type Router struct {
	// FailureDomain and Region are those of the entry.
	FailureDomain, Region string
	Clock                 clock.PassiveClock
	// StaleAfter is how long an agent's report is valid; 0 means DefaultStaleAfter.
	StaleAfter time.Duration
	// ReportLag is how old a report's count of running requests may be on arrival.
	// Picks within it are not taken to be covered; 0 means DefaultReportLag.
	ReportLag time.Duration
	// RefusedFor and FailedFor are how long a replica is skipped after it refused a
	// request or an attempt's outcome is unknown, plus up to as much at random; 0
	// means DefaultRefusedFor and DefaultFailedFor.
	RefusedFor, FailedFor time.Duration
	// DomainCost and RegionCost are the costs of the link to another failure domain
	// of the region and to another region, as a share of a replica's limit; 0 means
	// DefaultDomainCost and DefaultRegionCost.
	DomainCost, RegionCost float64
	// AffinityGain is the value of a probably cached prefix in the same unit; 0
	// means DefaultAffinityGain, below 0 none.
	AffinityGain float64
	// Sharing is how many entries route to each agent if not all do; 0 means all
	// passed to SetEntries.
	Sharing int
	// Random drives all choices; the caller seeds it and uses it nowhere else.
	Random *rand.Rand

	mu       sync.Mutex
	bundle   *index
	replicas map[string]*replica
	pools    map[poolKey]*pool
	live     contactList
	stale    contactList
	self     string
	entries  []string
}

// SetBundle replaces the bundle; an older one is ignored.
func (r *Router) SetBundle(b *bundler.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bundle != nil && b.Revision < r.bundle.revision {
		return
	}
	r.bundle = newIndex(b)
	r.placeAll()
}

// Report applies an agent's report and returns whether it was newer. Late
// reports of the same incarnation and those of earlier incarnations are dropped.
func (r *Router) Report(s messenger.AgentState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.sweep(now)
	p := r.replicas[s.ID]
	if p != nil && !p.newer(s) {
		return false
	}
	if p == nil || p.state.Incarnation != s.Incarnation {
		p = r.addReplica(p, s)
	}
	p.applyReport(s, now, now.Add(-orDuration(r.ReportLag, DefaultReportLag)))
	p.contacts.remove(p)
	r.live.push(p)
	r.place(p)
	return true
}

// addReplica adds the replica of a new agent or incarnation. The choices of an
// earlier incarnation are not counted any more.
func (r *Router) addReplica(old *replica, s messenger.AgentState) *replica {
	p := newReplica(s)
	if old != nil {
		p.inheritFrom(old)
		r.removeReplica(old)
	}
	if r.replicas == nil {
		r.replicas = map[string]*replica{}
		r.pools = map[poolKey]*pool{}
	}
	r.replicas[s.ID] = p
	return p
}

// Remove removes an agent, such as one missing from the list of VMs.
func (r *Router) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.replicas[id]; p != nil {
		r.removeReplica(p)
	}
}

func (r *Router) removeReplica(p *replica) {
	p.contacts.remove(p)
	p.removeFromTier()
	delete(r.replicas, p.state.ID)
}

// Agents lists the last reports of agents with a contact within StaleAfter.
func (r *Router) Agents() []messenger.AgentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(r.Clock.Now())
	states := make([]messenger.AgentState, 0, len(r.replicas))
	for p := r.live.first; p != nil; p = p.next {
		states = append(states, p.state)
	}
	return states
}

// SetEntries sets this entry and all live ones, including itself, so that a cold
// replica's few slots can be divided among them.
func (r *Router) SetEntries(self string, ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Sorted(slices.Values(ids))
	if self == r.self && slices.Equal(sorted, r.entries) {
		return
	}
	r.self, r.entries = self, sorted
	r.placeAll()
}

// sweep sets unresponsive agents aside. Replicas are kept in the order of their
// last report, so that each is handled only once.
func (r *Router) sweep(now time.Time) {
	staleAfter := orDuration(r.StaleAfter, DefaultStaleAfter)
	for p := r.live.first; p != nil && now.Sub(p.lastContact) > staleAfter; p = r.live.first {
		r.live.remove(p)
		r.stale.push(p)
		p.removeFromTier()
	}
	for p := r.stale.first; p != nil && now.Sub(p.lastContact) > forgetFactor*staleAfter; p = r.stale.first {
		r.removeReplica(p)
	}
}

func (r *Router) placeAll() {
	for p := r.live.first; p != nil; p = p.next {
		r.place(p)
	}
}

// place puts a live replica where Pick finds it. Most reports change only its
// load, so it stays on the same ring.
func (r *Router) place(p *replica) {
	if r.bundle == nil || !p.acceptsWork() || !r.bundle.allowsWork(p.state) {
		p.removeFromTier()
		return
	}
	p.currentWeights = r.bundle.holdsAnnouncedWeights(p.state)
	p.quota = r.quota(p)
	t := &r.pool(poolKeyOf(p.state)).tiers[r.distance(p.state)]
	if p.tier != t {
		p.removeFromTier()
		t.add(p)
	}
	t.update(p)
}

func (r *Router) pool(k poolKey) *pool {
	l := r.pools[k]
	if l == nil {
		l = r.newPool()
		r.pools[k] = l
	}
	return l
}

func (r *Router) newPool() *pool {
	l := &pool{parts: limiter.DemandShares{Even: evenShare}}
	l.tiers[sameDomain] = tier{ring: &l.near}
	l.tiers[sameRegion] = tier{ring: &l.near, linkCost: orDefault(r.DomainCost, DefaultDomainCost)}
	l.tiers[otherRegion] = tier{ring: &l.far, linkCost: orDefault(r.RegionCost, DefaultRegionCost)}
	return l
}

// distance is the tier of an agent relative to this entry.
func (r *Router) distance(s messenger.AgentState) tierIndex {
	switch {
	case s.FailureDomain == r.FailureDomain:
		return sameDomain
	case s.Region == r.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

func orDuration(v, d time.Duration) time.Duration {
	if v == 0 {
		return d
	}
	return v
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
