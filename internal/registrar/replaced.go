package registrar

import (
	"maps"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
)

// maxClockAhead is how far the clocks of upstreams may be ahead. A start further ahead comes from a wrong clock or from
// another writer.
const maxClockAhead = time.Hour

// latestStarts is the latest start at each address, as far as upstreams state it.
type latestStarts struct {
	starts map[netip.AddrPort]time.Time
	// horizon is the time after which starts are wrong; zero for none.
	horizon time.Time
}

// latestStarts returns those of all known upstreams but the replaced ones.
//
// After a restart the records of the former starts stay until their leases expire. If they were used until then, each
// request to them would cost an attempt, as another one answers at the address.
func (r *Registrar) latestStarts() latestStarts {
	l := latestStarts{starts: map[netip.AddrPort]time.Time{}}
	if r.WallClock != nil {
		l.horizon = r.WallClock.Now().Add(maxClockAhead)
	}
	for _, f := range r.facts {
		u, ok := f.(Upstream)
		if ok && l.before(l.starts[u.Address], u.StartedAt) && !r.isReplaced(u) {
			l.starts[u.Address] = u.StartedAt
		}
	}
	return l
}

// before reports whether a start was before another one. Any wrong start counts as earlier than a right one, and an
// unknown one as the earliest.
func (l latestStarts) before(start, other time.Time) bool {
	if wrong := l.isWrong(start); !start.IsZero() && !other.IsZero() && wrong != l.isWrong(other) {
		return wrong
	}
	return start.Before(other)
}

func (l latestStarts) isWrong(start time.Time) bool {
	return !l.horizon.IsZero() && start.After(l.horizon)
}

// isLatest reports whether no later start than an upstream's is known at its address.
func (l latestStarts) isLatest(u Upstream) bool {
	return u.StartedAt.IsZero() || !l.before(u.StartedAt, l.starts[u.Address])
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
