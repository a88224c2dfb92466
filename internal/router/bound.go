package router

import "time"

// The reasons of bound choices.
const (
	reasonOwner  = "owner of the key"
	reasonResume = "engine that began the stream"
)

// pickBound finds the one replica that may have the request.
func (r *Router) pickBound(k poolKey, q *Request, now time.Time) (*Choice, error) {
	p := r.boundReplica(q)
	if p == nil || poolKeyOf(p.state) != k || !p.serves(q) {
		return nil, &NoReplicaError{Name: k.name}
	}
	l := r.pool(k)
	if q.EngineStart != "" {
		// A stream that is read on starts nothing, so that a gate that is closed,
		// full or leaving does not matter: refused here, every stream in a domain
		// that is drained would end in the middle at the first connection that
		// breaks.
		return r.assign(l, p, reasonResume, now), nil
	}
	switch {
	case p.tier == nil:
		return nil, &NoReplicaError{Name: k.name}
	case p.freeSlots() <= 0:
		return nil, &FullError{Name: k.name, RetryAfter: l.retryAfter(now, r.Random)}
	}
	return r.assign(l, p, reasonOwner, now), nil
}

// owner is the live replica that the request names; nil without.
func (r *Router) boundReplica(q *Request) *replica {
	if q.Owner != "" {
		return r.liveReplica(q.Owner)
	}
	for p := r.live.first; p != nil; p = p.next {
		if p.state.EngineStart == q.EngineStart {
			return p
		}
	}
	return nil
}

// Live tells whether an agent was heard within StaleAfter.
func (r *Router) Live(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(r.Clock.Now())
	return r.liveReplica(id) != nil
}

func (r *Router) liveReplica(id string) *replica {
	p := r.replicas[id]
	if p == nil || p.contacts != &r.live {
		return nil
	}
	return p
}
