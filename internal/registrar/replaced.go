package registrar

import (
	"maps"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
)

// latestStarts is the latest start at each address, as far as upstreams state it.
type latestStarts map[netip.AddrPort]time.Time

// latestStarts returns those of all known upstreams but the replaced ones.
//
// After a restart the records of the former starts stay until their leases expire. If they were used until then, each
// request to them would cost an attempt, as another one answers at the address.
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

// isLatest reports whether no later start than an upstream's is known at its address.
func (l latestStarts) isLatest(u Upstream) bool {
	return u.StartedAt.IsZero() || !l[u.Address].After(u.StartedAt)
}

// isReplaced reports whether another upstream was found at the address of this one.
func (r *Registrar) isReplaced(u Upstream) bool {
	startedAt, ok := r.replaced[u.ID]
	return ok && startedAt.Equal(u.StartedAt)
}

// MarkReplaced records that another upstream was found at the address of this one, which is not used until its record
// states another start.
func (r *Registrar) MarkReplaced(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReplaced(u) {
		return
	}
	if r.replaced == nil {
		r.replaced = map[string]time.Time{}
	}
	r.replaced[u.ID] = u.StartedAt
	r.pruneReplaced()
	klog.InfoS("Upstream replaced", "upstream", u.ID, "service", u.Service, "address", u.Address, "startedAt", u.StartedAt)
	r.publish()
}

// pruneReplaced drops the marks of upstreams whose records are gone.
func (r *Registrar) pruneReplaced() {
	known := map[string]bool{}
	for _, f := range r.facts {
		if u, ok := f.(Upstream); ok {
			known[u.ID] = true
		}
	}
	maps.DeleteFunc(r.replaced, func(id string, _ time.Time) bool { return !known[id] })
}
