package entry

import (
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// report answers an agent: what it says is noted, and it gets what it lacks.
func (e *Entry) report(r messenger.Report, l *messenger.Link) messenger.News {
	if r.Record != nil {
		if _, err := e.State.Offer(r.Record); err != nil {
			klog.ErrorS(err, "Bundle from agent refused", "entry", e.ID)
		}
	}
	s, ok := e.agents.take(r, l, e.Clock.Now())
	if !ok {
		return messenger.News{Word: e.State.Word(), Resend: true}
	}
	e.see(s)
	e.Tracker.Report(s)
	e.Roller.Report(s)
	n := e.news(s)
	n.Entries = e.agents.tell(s.ID, e.members.refs(), e.Clock.Now())
	return n
}

// see hands an agent's state to the router, as leaving if the platform says so.
func (e *Entry) see(s messenger.AgentState) {
	if e.agents.isLeaving(s.ID) {
		s.Leaving = true
	}
	e.Router.Report(s)
}

// news is what an agent should know.
func (e *Entry) news(s messenger.AgentState) messenger.News {
	n := messenger.News{
		Word:    e.State.Word(),
		Leaving: e.agents.isLeaving(s.ID),
	}
	b, r := e.State.Current()
	if b == nil {
		return n
	}
	if s.Revision < b.Revision {
		n.Record = r
	}
	if s.Kind != messenger.KindEngine {
		return n
	}
	n.Assignment = e.places.assign(b, s)
	n.Holders = e.Tracker.Holders(s, wants(s))
	// A permit that went to an agent whose weights are still on their way would keep
	// from switching those who have them.
	if m, ok := b.Model(n.Assignment); ok && holdsWhole(s, m) {
		n.Switch = e.Roller.Permit(s, m)
	}
	return n
}

// holdsWhole tells whether an agent has all that the model needs.
func holdsWhole(s messenger.AgentState, m bundler.Model) bool {
	whole := map[string]bool{}
	for _, h := range s.Holdings {
		whole[h.Manifest] = h.Whole()
	}
	for _, a := range m.Adapters {
		if !whole[a.Manifest] {
			return false
		}
	}
	return whole[m.Manifest]
}

// wants lists the manifests of which an agent lacks chunks.
func wants(s messenger.AgentState) []string {
	var ms []string
	for _, h := range s.Holdings {
		if h.Chunks == 0 || !h.Whole() {
			ms = append(ms, h.Manifest)
		}
	}
	return ms
}

// exchange answers another entry.
func (e *Entry) exchange(x messenger.Exchange) messenger.Exchange {
	if x.State.ID == e.ID {
		// A seed that points back at this very entry, or another by the same name.
		return messenger.Exchange{State: e.members.self()}
	}
	e.learn(x)
	e.State.Hear(x.State)
	return e.members.mine(max(1, x.State.Word.Revision))
}

// learn takes over what another entry told, but for how fresh it is.
func (e *Entry) learn(x messenger.Exchange) {
	e.members.hear(x.State)
	if x.Record != nil {
		if _, err := e.State.Offer(x.Record); err != nil {
			klog.ErrorS(err, "Bundle from peer refused", "entry", e.ID, "peer", x.State.ID)
		}
	}
	e.Limiter.Hear(x.State.ID, x.Asked)
	e.Router.HearDemand(x.State.ID, x.Demand)
	e.Tracker.MergeOriginFetchers(x.OriginFetchers)
}
