package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// agents tracks the agents that report to this entry directly.
type agents struct {
	mu       sync.Mutex
	states   map[string]directAgent
	draining map[string]bool
	// revision is the last bundle revision pushed.
	revision uint64
	// lastPruned is when unresponsive agents were last removed.
	lastPruned time.Time
}

// directAgent is the state of an agent and what it was sent on its current
// connection.
type directAgent struct {
	state      messenger.AgentState
	link       *messenger.Link
	lastReport time.Time
	// sentEntries is the list of entries last sent to the agent.
	sentEntries   []messenger.EntryRef
	entriesSentAt time.Time
}

const (
	// directAgentTimeout is how long an agent counts as direct after its last report.
	directAgentTimeout = 3 * time.Second
	// entriesInterval is how often an agent is sent an unchanged list of entries.
	entriesInterval = 3 * time.Second
)

func newAgents() *agents {
	return &agents{states: map[string]directAgent{}}
}

// recordReport records a report and returns the agent's full state; false for a
// beat without a known state on this connection.
func (a *agents) recordReport(r messenger.Report, l *messenger.Link, now time.Time) (messenger.AgentState, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pruneUnresponsive(now)
	if r.State != nil {
		d := directAgent{state: *r.State, link: l, lastReport: now}
		if old := a.states[d.state.ID]; old.link == l {
			d.sentEntries, d.entriesSentAt = old.sentEntries, old.entriesSentAt
		}
		a.states[d.state.ID] = d
		return d.state, true
	}
	if r.Heartbeat == nil {
		return messenger.AgentState{}, false
	}
	d, ok := a.states[r.Heartbeat.ID]
	if !ok || d.link != l || d.state.Incarnation != r.Heartbeat.Incarnation {
		return messenger.AgentState{}, false
	}
	d.state.Sequence, d.state.Running, d.lastReport = r.Heartbeat.Sequence, r.Heartbeat.Running, now
	a.states[r.Heartbeat.ID] = d
	return d.state, true
}

// pruneUnresponsive removes unresponsive agents, but not on every report: scanning
// all agents for each report would cost the square of their number.
func (a *agents) pruneUnresponsive(now time.Time) {
	if now.Sub(a.lastPruned) < directAgentTimeout/3 {
		return
	}
	a.lastPruned = now
	for id, d := range a.states {
		if now.Sub(d.lastReport) > directAgentTimeout {
			delete(a.states, id)
		}
	}
}

// entriesFor returns the list of entries to send to an agent: none if the same list
// was sent recently.
func (a *agents) entriesFor(id string, entries []messenger.EntryRef, now time.Time) []messenger.EntryRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	d, ok := a.states[id]
	if !ok {
		// The agent was removed while this entry was paused. Adding it again would
		// leave it without a connection, and the next push would crash the entry.
		return entries
	}
	if now.Sub(d.entriesSentAt) < entriesInterval && slices.Equal(d.sentEntries, entries) {
		return nil
	}
	d.sentEntries, d.entriesSentAt = entries, now
	a.states[id] = d
	return entries
}

// weightsStatus sums up what the agents hold of one manifest.
func (a *agents) weightsStatus(manifest string) WeightsStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := WeightsStatus{Manifest: manifest}
	for _, d := range a.states {
		for _, h := range d.state.Holdings {
			if h.Manifest != manifest {
				continue
			}
			w.Agents++
			w.Bytes += h.HeldBytes()
			w.AllBytes += h.Bytes
			if h.Complete() {
				w.Whole++
			}
		}
	}
	return w
}

// pushUpdate sends an update to the direct agents with an older bundle that match
// the filter. The others get it from another entry, or from this one in the reply to
// their next report; if every entry pushed, each agent would receive a long record
// as many times as there are entries.
func (a *agents) pushUpdate(n messenger.Update, filter func(messenger.AgentState) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range a.states {
		if d.state.Revision < n.Freshness.Revision && filter(d.state) {
			d.link.Push(n)
		}
	}
}

// advanceRevision reports whether a revision has yet to be pushed, and records it as pushed.
func (a *agents) advanceRevision(revision uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.revision {
		return false
	}
	a.revision = revision
	return true
}

func (a *agents) setDraining(ids map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = ids
}

func (a *agents) isDraining(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining[id]
}
