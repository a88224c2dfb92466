package router

import "time"

// reserved is the part of a pool's places that is left to entries with less than
// their part of it.
const reserved = 0.05

// evenPart is how much of a pool is divided evenly, the rest by demand.
const evenPart = 0.5

// beyondPart tells whether the pool is nearly full and this entry has its part
// of it already. A place that comes free is known at once only to the entry whose
// request ended there. Were it always to take it again, entries would keep what
// they happened to have when the rush began: seen as callers of one entry who
// are refused while those of the next wait for nothing.
func (l *pool) beyondPart(entries int, now time.Time) bool {
	load, limit := 0, 0
	for i := range l.tiers {
		load += l.tiers[i].load
		limit += l.tiers[i].limit
	}
	if float64(load) < (1-reserved)*float64(limit) {
		return false
	}
	part := l.parts.Share(float64(l.demand()), entries, now)
	return float64(l.inflight) > part*float64(limit)
}

// demand is how many requests run or wait here.
func (l *pool) demand() int { return l.inflight + l.waiting }

// SetWaiting tells how many requests for a model or service, the other empty,
// wait in line at this entry.
func (r *Router) SetWaiting(model, service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.pools[keyFor(model, service)]; l != nil {
		l.waiting = n
	}
}

// Demand is how many requests run or wait here for each model and service, for
// other entries to HearDemand.
func (r *Router) Demand() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand := map[string]int{}
	for k, l := range r.pools {
		if n := l.demand(); n > 0 {
			demand[k.String()] = n
		}
	}
	return demand
}

// HearDemand takes another entry's Demand, so that one with a long line gets more
// of a full pool than one with none.
func (r *Router) HearDemand(entry string, demand map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for k, l := range r.pools {
		l.parts.SetDemand(entry, float64(demand[k.String()]), now)
	}
}
