package entry

import (
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// handleReport records an agent's report and returns the updates that it lacks.
func (e *Entry) handleReport(r messenger.Report, l *messenger.Link) messenger.Update {
	if r.Record != nil {
		if _, err := e.State.Offer(r.Record); err != nil {
			klog.ErrorS(err, "Bundle from agent refused", "entry", e.ID)
		}
	}
	s, ok := e.agents.recordReport(r, l, e.Clock.Now())
	if !ok {
		return messenger.Update{Freshness: e.State.StatusUpdate(), Resend: true}
	}
	e.updateRouter(s)
	e.Tracker.Report(s)
	e.Roller.Report(s)
	n := e.updateFor(s)
	n.Entries = e.agents.entriesFor(s.ID, e.members.entryRefs(), e.Clock.Now())
	return n
}

// updateRouter passes an agent's state to the router, as leaving if the platform lists it so.
func (e *Entry) updateRouter(s messenger.AgentState) {
	if e.agents.isDraining(s.ID) {
		s.Leaving = true
	}
	e.Router.Report(s)
}

// updateFor returns the update for an agent.
func (e *Entry) updateFor(s messenger.AgentState) messenger.Update {
	n := messenger.Update{
		Freshness: e.State.StatusUpdate(),
		Leaving:   e.agents.isDraining(s.ID),
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
	n.Assignment = e.assignments.modelFor(b, s)
	n.Holders = e.Tracker.Holders(s, incompleteManifests(s))
	// A permit for an agent whose weights are still in transfer would keep agents
	// that have them from switching.
	if m, ok := b.Model(n.Assignment); ok && holdsWhole(s, m) {
		n.Switch = e.Roller.Permit(s, m)
	}
	return n
}

// holdsWhole reports whether an agent holds all weights that the model needs.
func holdsWhole(s messenger.AgentState, m bundler.Model) bool {
	whole := map[string]bool{}
	for _, h := range s.Holdings {
		whole[h.Manifest] = h.Complete()
	}
	for _, a := range m.Adapters {
		if !whole[a.Manifest] {
			return false
		}
	}
	return whole[m.Manifest]
}

// incompleteManifests lists the manifests of which an agent lacks chunks.
func incompleteManifests(s messenger.AgentState) []string {
	var ms []string
	for _, h := range s.Holdings {
		if h.Chunks == 0 || !h.Complete() {
			ms = append(ms, h.Manifest)
		}
	}
	return ms
}

// handleExchange replies to another entry.
func (e *Entry) handleExchange(x messenger.Exchange) messenger.Exchange {
	if x.State.ID == e.ID {
		// A seed points back at this entry, or another entry has the same ID.
		return messenger.Exchange{State: e.members.selfState()}
	}
	e.applyExchange(x)
	e.State.ReceiveUnsolicited(x.State)
	return e.members.exchangeFor(max(1, x.State.Freshness.Revision))
}

// applyExchange merges what another entry sent, except for its confirmation of freshness.
func (e *Entry) applyExchange(x messenger.Exchange) {
	e.members.recordState(x.State)
	if x.Record != nil {
		if _, err := e.State.Offer(x.Record); err != nil {
			klog.ErrorS(err, "Bundle from peer refused", "entry", e.ID, "peer", x.State.ID)
		}
	}
	e.Limiter.SetPeerDemand(x.State.ID, x.RequestRates)
	e.Router.ReceiveDemand(x.State.ID, x.Demand)
	e.Tracker.MergeOriginFetchers(x.OriginFetchers)
}
