package router

import "time"

// The reasons of choices bound to one replica.
const (
	reasonOwner  = "owner of the key"
	reasonResume = "engine that began the stream"
)

// pickBound returns the only replica that may receive the request.
func (r *Router) pickBound(k poolKey, q *Request, now time.Time) (*Choice, error) {
	p := r.boundReplica(q)
	if p == nil || poolKeyOf(p.state) != k || !p.serves(q) {
		return nil, &NoReplicaError{Name: k.name}
	}
	l := r.pool(k)
	if q.EngineStart != "" {
		// Resuming a stream starts nothing, so a gate that is closed, full or draining
		// does not matter. Refusing it would cut every stream in a drained domain at its
		// first broken connection.
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

// boundReplica is the live replica that the request names; nil if there is none.
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

// Live reports whether the agent's last contact is within StaleAfter.
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
