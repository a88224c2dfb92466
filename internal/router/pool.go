package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// tierIndex orders replicas by how far they are.
type tierIndex int

const (
	sameDomain tierIndex = iota
	sameRegion
	otherRegion
	tierCount
)

// poolKey names what a pool's replicas serve.
type poolKey struct {
	kind messenger.Kind
	name string
}

func keyOf(s messenger.AgentState) poolKey {
	if s.Kind == messenger.KindService {
		return poolKey{kind: s.Kind, name: s.Service}
	}
	return poolKey{kind: messenger.KindEngine, name: s.Model}
}

// pool holds the replicas of one model or service that may get new work.
type pool struct {
	tiers [tierCount]tier
	// rate is the smoothed number of requests done per second.
	rate retrier.Rate
	// inflight is how many of this entry's own requests are not done.
	inflight int
	returns  retrier.Returns
}

// retryAfter is when a caller refused now should come back.
func (l *pool) retryAfter(now time.Time, random *rand.Rand) time.Duration {
	each := l.rate.Gap(now)
	return l.returns.Next(now, each, each, random)
}

// reserved is the part of a pool's places that is left to entries with less than
// their even share.
const reserved = 0.05

// beyondShare tells whether the pool is nearly full and this entry has its even
// share of it already. A place that comes free is known at once only to the entry
// whose request ended there. Were it always to take it again, entries would keep
// what they happened to have when the rush began: seen as callers of one entry
// who are refused while those of the next wait for nothing.
func (l *pool) beyondShare(entries int) bool {
	load, limit := 0, 0
	for i := range l.tiers {
		load += l.tiers[i].load
		limit += l.tiers[i].limit
	}
	return l.inflight*max(1, entries) > limit && float64(load) >= (1-reserved)*float64(limit)
}

// tier is the replicas of a pool at one distance.
type tier struct {
	// ring holds all by their point on the hash ring, free those with room, and
	// spare the cold ones whose places are not this entry's but may be unused.
	ring        []*replica
	free, spare list
	// load and limit are sums over the ring.
	load, limit int
}

func byPoint(p *replica, point uint64) int {
	switch {
	case p.point < point:
		return -1
	case p.point > point:
		return 1
	}
	return 0
}

func (t *tier) add(p *replica) {
	at, _ := slices.BinarySearchFunc(t.ring, p.point, byPoint)
	t.ring = slices.Insert(t.ring, at, p)
	p.tier = t
	p.load, p.counted = 0, 0
}

func (t *tier) remove(p *replica) {
	at, _ := slices.BinarySearchFunc(t.ring, p.point, byPoint)
	for t.ring[at] != p {
		at++
	}
	t.ring = slices.Delete(t.ring, at, at+1)
	t.limit -= p.counted
	t.load -= p.load
	p.in.remove(p)
	p.tier = nil
}

// update brings the sums and the list of free ones in line with the replica.
func (t *tier) update(p *replica) {
	n := p.estimate()
	t.load += n - p.load
	t.limit += p.state.Limit - p.counted
	p.load, p.counted = n, p.state.Limit
	to := t.listFor(p)
	if p.in != to {
		p.in.remove(p)
		to.add(p)
	}
}

func (t *tier) listFor(p *replica) *list {
	switch {
	case p.room() <= 0:
		return nil
	case p.state.Gate == messenger.GateCold && len(p.inflight) >= p.quota:
		return &t.spare
	default:
		return &t.free
	}
}

// home is the replica that a hash falls to on the ring; nil when it is empty.
func (t *tier) home(hash uint64) *replica {
	if len(t.ring) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(t.ring, hash, byPoint)
	return t.ring[at%len(t.ring)]
}

// mean is the load of the tier as a part of its limit.
func (t *tier) mean() float64 {
	if t.limit == 0 {
		return 0
	}
	return float64(t.load) / float64(t.limit)
}
