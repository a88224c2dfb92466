package registrar

import (
	"maps"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
)

// latestStarts is when the latest start at each address was, as far as upstreams state it.
type latestStarts map[netip.AddrPort]time.Time

// latestStarts gives those of all known upstreams but the replaced ones.
//
// After a restart the records of the former starts stay until their leases end. Used until then,
// each request to such an upstream costs an attempt, as another one answers at the address.
func (r *Registrar) latestStarts() latestStarts {
	latest := latestStarts{}
	for _, f := range r.facts {
		u, ok := f.(Upstream)
		if ok && u.StartedAt.After(latest[u.Address]) && !r.isReplaced(u) {
			latest[u.Address] = u.StartedAt
		}
	}
	return latest
}

// isLatest tells whether no later start than an upstream's is known at its address.
func (l latestStarts) isLatest(u Upstream) bool {
	return u.StartedAt.IsZero() || !l[u.Address].After(u.StartedAt)
}

// isReplaced tells whether another upstream was found at the address of this one.
func (r *Registrar) isReplaced(u Upstream) bool {
	startedAt, ok := r.replaced[u.ID]
	return ok && startedAt.Equal(u.StartedAt)
}

// Replaced notes that another upstream was found at the address of this one, which is taken out of use
// until its record states another start.
func (r *Registrar) Replaced(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReplaced(u) {
		return
	}
	if r.replaced == nil {
		r.replaced = map[string]time.Time{}
	}
	r.replaced[u.ID] = u.StartedAt
	r.forgetReplaced()
	klog.InfoS("Upstream replaced", "upstream", u.ID, "service", u.Service, "address", u.Address, "startedAt", u.StartedAt)
	r.publish()
}

// forgetReplaced drops those whose records are gone.
func (r *Registrar) forgetReplaced() {
	known := map[string]bool{}
	for _, f := range r.facts {
		if u, ok := f.(Upstream); ok {
			known[u.ID] = true
		}
	}
	maps.DeleteFunc(r.replaced, func(id string, _ time.Time) bool { return !known[id] })
}
