package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is the part of a request that Pick uses.
type Request struct {
	Workspace string
	// Model and Adapter, or Service, name the target.
	Model, Adapter, Service string
	Prompt                  string
	Priority                int
	// Version and EngineStart, if set, bind the choice to one start of an engine. A
	// request with EngineStart resumes a stream.
	Version, EngineStart string
	// Avoid lists the IDs of agents that already refused this request.
	Avoid []string
	// Owner, if set, is the only agent that may receive the request. It is picked
	// even after a recent failure or refusal, as there is no alternative.
	Owner string
	// Tokens is the expected length of the reply.
	Tokens int
}

const (
	// prefixBytes is the length of the prompt prefix that selects its home: about
	// the part shared by prompts of one workspace and purpose.
	prefixBytes = 256
	// maxHomeLoad is the load up to which a home is preferred, relative to the mean.
	maxHomeLoad = 1.5
	// oldVersionCost is the cost of a replica whose weights are not the bundle's.
	oldVersionCost = 0.05
	// samplesPerTier is how many free replicas of a tier are sampled at random.
	samplesPerTier = 2
)

// The reasons of choices.
const (
	reasonHome    = "home of the prompt's prefix"
	reasonSampled = "less loaded of two"
	reasonScanned = "first that fits"
	reasonSpare   = "cold and perhaps unused by other entries"
	// reasonFailed is the last resort.
	reasonFailed = "all with room failed lately"
)

// candidate is the cheapest replica so far.
type candidate struct {
	replica *replica
	cost    float64
	reason  string
}

// Pick chooses a replica and counts the attempt there at once. Errors are
// *NoBundleError, *UnknownWorkspaceError, *UnknownModelError,
// *UnknownServiceError, *NotAllowedError, *NoReplicaError and *FullError.
func (r *Router) Pick(q Request) (*Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.sweep(now)
	if r.bundle == nil {
		return nil, &NoBundleError{}
	}
	k, err := r.bundle.poolFor(q)
	if err != nil {
		return nil, err
	}
	if q.Owner != "" || q.EngineStart != "" {
		return r.pickBound(k, &q, now)
	}
	l := r.pools[k]
	if l == nil {
		return nil, &NoReplicaError{Name: k.name}
	}
	if l.exceedsShare(r.sharingEntries(), now) {
		return nil, &FullError{Name: k.name, RetryAfter: l.retryAfter(now, r.Random)}
	}
	b := r.choose(l, &q, now)
	if b.replica == nil {
		return nil, r.noChoiceError(l, k, &q, now)
	}
	return r.assign(l, b.replica, b.reason, now), nil
}

// choose considers the home of the prefix and two free replicas of each tier,
// and scans all free replicas only if none of these fits.
func (r *Router) choose(l *pool, q *Request, now time.Time) candidate {
	var b candidate
	if hash := prefixHash(q); hash != 0 {
		r.consider(&b, l.home(hash), q, now, reasonHome)
	}
	for i := range l.tiers {
		t := &l.tiers[i]
		for range min(samplesPerTier, len(t.free)) {
			r.consider(&b, t.free[r.Random.IntN(len(t.free))], q, now, reasonSampled)
		}
	}
	for i := 0; i < len(l.tiers) && b.replica == nil; i++ {
		r.scan(&b, l.tiers[i].free, q, now, reasonScanned)
	}
	for i := 0; i < len(l.tiers) && b.replica == nil; i++ {
		r.scan(&b, l.tiers[i].spare, q, now, reasonSpare)
	}
	// Skipping all replicas would refuse every request for that time, although the
	// path to them may have failed rather than the replicas.
	for i := 0; i < len(l.tiers) && b.replica == nil; i++ {
		r.scan(&b, l.tiers[i].free, q, now, reasonFailed)
	}
	return b
}

// scan selects the first replica of the list that fits, starting at random.
func (r *Router) scan(b *candidate, l replicaList, q *Request, now time.Time, reason string) {
	if len(l) == 0 {
		return
	}
	start := r.Random.IntN(len(l))
	for i := 0; i < len(l) && b.replica == nil; i++ {
		r.consider(b, l[(start+i)%len(l)], q, now, reason)
	}
}

// consider makes p the candidate if it may serve the request and costs less.
func (r *Router) consider(b *candidate, p *replica, q *Request, now time.Time, reason string) {
	if p == nil || p.list == nil || !p.serves(q) || p.likelyRefuses(q, now) {
		return
	}
	if p.list == &p.tier.spare && reason != reasonSpare || now.Before(p.failedUntil) && reason != reasonFailed {
		return
	}
	c := r.cost(p, reason == reasonHome)
	if b.replica == nil || c < b.cost {
		*b = candidate{replica: p, cost: c, reason: reason}
	}
}

// cost is the used share of the replica's limit including the request, plus the
// link cost, less the value of a cached prefix unless the replica is much fuller
// than its tier.
func (r *Router) cost(p *replica, home bool) float64 {
	perRequest := 1 / float64(p.state.Limit)
	usage := float64(p.estimate()) * perRequest
	c := usage + perRequest + p.tier.linkCost
	if !p.currentWeights {
		c += oldVersionCost
	}
	if home && usage <= maxHomeLoad*p.tier.meanUsage()+perRequest {
		c -= max(0, orDefault(r.AffinityGain, DefaultAffinityGain))
	}
	return c
}

// assign makes the choice and counts it on the replica before the next report
// does: otherwise all requests between two reports would go to the same replica.
func (r *Router) assign(l *pool, p *replica, reason string, now time.Time) *Choice {
	c := &Choice{
		AgentID:       p.state.ID,
		Incarnation:   p.state.Incarnation,
		Address:       p.state.Address,
		FailureDomain: p.state.FailureDomain,
		Version:       p.state.Version,
		EngineStart:   p.state.EngineStart,
		Reason:        reason,
		router:        r,
		replica:       p,
		pool:          l,
		picked:        now,
		index:         len(p.inflight),
	}
	l.inflight++
	p.inflight = append(p.inflight, c)
	p.uncovered++
	p.updateTier()
	return c
}

// noChoiceError returns the error for a request without a candidate.
func (r *Router) noChoiceError(l *pool, k poolKey, q *Request, now time.Time) error {
	fits := func(p *replica) bool { return p.serves(q) }
	if slices.ContainsFunc(l.near, fits) || slices.ContainsFunc(l.far, fits) {
		return &FullError{Name: k.name, RetryAfter: l.retryAfter(now, r.Random)}
	}
	return &NoReplicaError{Name: k.name}
}

// prefixHash is a prompt's position on the ring; 0 for no prompt or a service.
func prefixHash(q *Request) uint64 {
	if q.Prompt == "" || q.Service != "" {
		return 0
	}
	return xxhash.Sum64String(q.Prompt[:min(prefixBytes, len(q.Prompt))])
}
