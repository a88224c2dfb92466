// Package router chooses the replica that a request is sent to, from the bundle
// and from what agents reported some time ago. It may be wrong: the agent has
// the last word, and a wrong choice costs a truthful "not run" and another
// attempt.
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

// forgetAfter times StaleAfter is how long a silent agent stays known.
const forgetAfter = 20

// Router knows the agents of its entry. Set the exported fields before use. It
// is safe for concurrent use.
type Router struct {
	// FailureDomain and Region are the entry's own.
	FailureDomain, Region string
	Clock                 clock.PassiveClock
	// StaleAfter is how long an agent's report counts; 0 means
	// DefaultStaleAfter.
	StaleAfter time.Duration
	// ReportLag is how old a report's count of running requests may be when it
	// arrives, so that a pick within it is not taken to be covered; 0 means
	// DefaultReportLag.
	ReportLag time.Duration
	// RefusedFor and FailedFor are how long a replica is passed over after it
	// refused a request or an attempt's outcome is unknown, before the spread of
	// as much again; 0 means DefaultRefusedFor and DefaultFailedFor.
	RefusedFor, FailedFor time.Duration
	// DomainCost and RegionCost are what the link to another failure domain of
	// the region and to another region costs, as a part of a replica's limit;
	// 0 means DefaultDomainCost and DefaultRegionCost.
	DomainCost, RegionCost float64
	// AffinityGain is what a likely cached prefix is worth, in the same unit; 0
	// means DefaultAffinityGain, below 0 none.
	AffinityGain float64
	// Sharing is how many entries route to each agent when not all do; 0 means all
	// that SetEntries names.
	Sharing int
	// Random drives all choices; the caller seeds it and uses it nowhere else.
	Random *rand.Rand

	mu       sync.Mutex
	bundle   *index
	replicas map[string]*replica
	pools    map[poolKey]*pool
	live     heardList
	quiet    heardList
	self     string
	entries  []string
}

// SetBundle takes a bundle over; one older than the present is ignored.
func (r *Router) SetBundle(b *bundler.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bundle != nil && b.Revision < r.bundle.revision {
		return
	}
	r.bundle = newIndex(b)
	r.placeAll()
}

// Report takes an agent's account of itself over and tells whether it was news.
// A late report of the same incarnation is dropped, and so is one of an earlier
// incarnation.
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
		p = r.replace(p, s)
	}
	p.take(s, now, now.Add(-orDuration(r.ReportLag, DefaultReportLag)))
	p.list.remove(p)
	r.live.push(p)
	r.place(p)
	return true
}

// replace makes the record of a new agent or incarnation. What ran under the old
// one is over: its choices count no more.
func (r *Router) replace(old *replica, s messenger.AgentState) *replica {
	p := newReplica(s)
	if old != nil {
		p.succeed(old)
		r.drop(old)
	}
	if r.replicas == nil {
		r.replicas = map[string]*replica{}
		r.pools = map[poolKey]*pool{}
	}
	r.replicas[s.ID] = p
	return p
}

// Remove forgets an agent, such as one that the list of VMs no longer shows.
func (r *Router) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.replicas[id]; p != nil {
		r.drop(p)
	}
}

func (r *Router) drop(p *replica) {
	p.list.remove(p)
	p.unplace()
	delete(r.replicas, p.state.ID)
}

// Agents lists the last reports of the agents heard within StaleAfter.
func (r *Router) Agents() []messenger.AgentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(r.Clock.Now())
	states := make([]messenger.AgentState, 0, len(r.replicas))
	for p := r.live.first; p != nil; p = p.after {
		states = append(states, p.state)
	}
	return states
}

// SetEntries names this entry and all live ones, itself included, so that a cold
// replica's few places can be divided among them.
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

// sweep sets agents aside that have been silent for too long. Reports are kept
// in the order of arrival, so that each costs this only once.
func (r *Router) sweep(now time.Time) {
	stale := orDuration(r.StaleAfter, DefaultStaleAfter)
	for p := r.live.first; p != nil && now.Sub(p.heard) > stale; p = r.live.first {
		r.live.remove(p)
		r.quiet.push(p)
		p.unplace()
	}
	for p := r.quiet.first; p != nil && now.Sub(p.heard) > forgetAfter*stale; p = r.quiet.first {
		r.drop(p)
	}
}

func (r *Router) placeAll() {
	for p := r.live.first; p != nil; p = p.after {
		r.place(p)
	}
}

// place puts a live replica where Pick finds it, according to its state. Most
// reports only change its load, which leaves it on the same ring.
func (r *Router) place(p *replica) {
	if r.bundle == nil || !p.takesWork() || !r.bundle.serves(p.state) {
		p.unplace()
		return
	}
	p.current = r.bundle.current(p.state)
	p.quota = r.quota(p)
	t := &r.pool(keyOf(p.state)).tiers[r.distance(p.state)]
	if p.tier != t {
		p.unplace()
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
	l := &pool{parts: limiter.DemandShares{Even: evenPart}}
	l.tiers[sameDomain] = tier{ring: &l.near}
	l.tiers[sameRegion] = tier{ring: &l.near, link: orDefault(r.DomainCost, DefaultDomainCost)}
	l.tiers[otherRegion] = tier{ring: &l.far, link: orDefault(r.RegionCost, DefaultRegionCost)}
	return l
}

// distance is the tier that an agent belongs to, seen from this entry.
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
