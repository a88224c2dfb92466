package router

import (
	"math/rand/v2"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// tierIndex orders replicas by distance.
type tierIndex int

const (
	sameDomain tierIndex = iota
	sameRegion
	otherRegion
	tierCount
)

// poolKey identifies the model or service that a pool serves.
type poolKey struct {
	kind messenger.Kind
	name string
}

func (k poolKey) String() string { return string(k.kind) + " " + k.name }

func poolKeyFor(model, service string) poolKey {
	if service != "" {
		return poolKey{kind: messenger.KindService, name: service}
	}
	return poolKey{kind: messenger.KindEngine, name: model}
}

func poolKeyOf(s messenger.AgentState) poolKey {
	if s.Kind == messenger.KindService {
		return poolKeyFor("", s.Service)
	}
	return poolKeyFor(s.Model, "")
}

// pool holds the replicas of one model or service that accept new work.
type pool struct {
	tiers [tierCount]tier
	// near is the ring of this entry's region, far that of the others.
	near, far ring
	// rate is the smoothed number of completed requests per second.
	rate retrier.Rate
	// inflight and waiting are how many of this entry's requests run and wait; parts
	// divides the pool among entries by them.
	inflight, waiting int
	parts             limiter.DemandShares
	returns           retrier.RetryTimes
}

// home is the replica for a prefix: in this region if it has any, so that a
// popular prefix doesn't draw all requests over the link between regions.
func (l *pool) home(hash uint64) *replica {
	if len(l.near) > 0 {
		return l.near.home(hash)
	}
	return l.far.home(hash)
}

// retryAfter is when a caller refused at now should return.
func (l *pool) retryAfter(now time.Time, random *rand.Rand) time.Duration {
	gap := l.rate.Gap(now)
	return l.returns.Next(now, gap, gap, random)
}

// tier holds the replicas of a pool at one distance.
type tier struct {
	// free are those with free slots, spare the cold ones whose free slots belong
	// to other entries but may be unused.
	free, spare replicaList
	// ring is the ring of the tier's replicas, linkCost the cost of the link to
	// them.
	ring     *ring
	linkCost float64
	// load and limit are sums over all replicas.
	load, limit int
}

func (t *tier) add(p *replica) {
	t.ring.add(p)
	p.tier = t
	p.tierLoad, p.tierLimit = 0, 0
}

func (t *tier) remove(p *replica) {
	t.ring.remove(p)
	t.limit -= p.tierLimit
	t.load -= p.tierLoad
	p.list.remove(p)
	p.tier = nil
}

// update adjusts the sums and lists to the replica's load and limit.
func (t *tier) update(p *replica) {
	n := p.estimate()
	t.load += n - p.tierLoad
	t.limit += p.state.Limit - p.tierLimit
	p.tierLoad, p.tierLimit = n, p.state.Limit
	target := t.listFor(p)
	if p.list != target {
		p.list.remove(p)
		target.add(p)
	}
}

func (t *tier) listFor(p *replica) *replicaList {
	switch {
	case p.freeSlots() <= 0:
		return nil
	case p.state.Gate == messenger.GateCold && len(p.inflight) >= p.quota:
		return &t.spare
	default:
		return &t.free
	}
}

// meanUsage is the load of the tier as a share of its limit.
func (t *tier) meanUsage() float64 {
	if t.limit == 0 {
		return 0
	}
	return float64(t.load) / float64(t.limit)
}
