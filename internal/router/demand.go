package router

import "time"

// reservedShare of a pool's slots is left to entries below their share.
const reservedShare = 0.05

// evenShare of a pool is divided evenly, the rest by demand.
const evenShare = 0.5

// exceedsShare reports whether the pool is nearly full and this entry already
// has its share. Only the entry whose request ended learns at once of the freed
// slot. If it always took the slot again, entries would keep their distribution
// from the start of a rush: callers of one entry would be refused while those of
// another don't wait at all.
func (l *pool) exceedsShare(entries int, now time.Time) bool {
	load, limit := 0, 0
	for i := range l.tiers {
		load += l.tiers[i].load
		limit += l.tiers[i].limit
	}
	if float64(load) < (1-reservedShare)*float64(limit) {
		return false
	}
	share := l.parts.Share(float64(l.demand()), entries, now)
	return float64(l.inflight) > share*float64(limit)
}

// demand is the number of requests that run or wait at this entry.
func (l *pool) demand() int { return l.inflight + l.waiting }

// SetWaiting sets how many requests for a model or service, the other being
// empty, are queued at this entry.
func (r *Router) SetWaiting(model, service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.pools[poolKeyFor(model, service)]; l != nil {
		l.waiting = n
	}
}

// Demand returns how many requests run or wait here for each model and service,
// for ReceiveDemand of other entries.
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

// ReceiveDemand records another entry's Demand, so that an entry with a long
// queue gets more of a full pool than one without.
func (r *Router) ReceiveDemand(entry string, demand map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for k, l := range r.pools {
		l.parts.SetDemand(entry, float64(demand[k.String()]), now)
	}
}
