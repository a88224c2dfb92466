package router

import (
	"math/rand/v2"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
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

func (k poolKey) String() string { return string(k.kind) + " " + k.name }

func keyFor(model, service string) poolKey {
	if service != "" {
		return poolKey{kind: messenger.KindService, name: service}
	}
	return poolKey{kind: messenger.KindEngine, name: model}
}

func keyOf(s messenger.AgentState) poolKey {
	if s.Kind == messenger.KindService {
		return keyFor("", s.Service)
	}
	return keyFor(s.Model, "")
}

// pool holds the replicas of one model or service that may get new work.
type pool struct {
	tiers [tierCount]tier
	// near is the ring of this entry's region, far that of the others.
	near, far ring
	// rate is the smoothed number of requests done per second.
	rate retrier.Rate
	// inflight is how many of this entry's own requests are not done, waiting how
	// many wait; parts divides the pool among entries by these.
	inflight, waiting int
	parts             limiter.DemandShares
	returns           retrier.RetryTimes
}

// home is the replica that a prefix falls to: in this region if it has any, so
// that a popular prefix does not draw all requests over the link between regions.
func (l *pool) home(hash uint64) *replica {
	if len(l.near) > 0 {
		return l.near.home(hash)
	}
	return l.far.home(hash)
}

// retryAfter is when a caller refused now should come back.
func (l *pool) retryAfter(now time.Time, random *rand.Rand) time.Duration {
	each := l.rate.Gap(now)
	return l.returns.Next(now, each, each, random)
}

// tier is the replicas of a pool at one distance.
type tier struct {
	// free are those with room, spare the cold ones whose places are not this
	// entry's but may be unused.
	free, spare list
	// ring is the ring that the tier's replicas are on, link what the way to them
	// costs.
	ring *ring
	link float64
	// load and limit are sums over all.
	load, limit int
}

func (t *tier) add(p *replica) {
	t.ring.add(p)
	p.tier = t
	p.load, p.counted = 0, 0
}

func (t *tier) remove(p *replica) {
	t.ring.remove(p)
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

// mean is the load of the tier as a part of its limit.
func (t *tier) mean() float64 {
	if t.limit == 0 {
		return 0
	}
	return float64(t.load) / float64(t.limit)
}
