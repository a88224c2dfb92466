package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// agents are those that report to this entry directly.
type agents struct {
	mu      sync.Mutex
	states  map[string]directAgent
	leaving map[string]bool
	// revision is the last one pushed.
	revision uint64
	// swept is when silent agents were last forgotten.
	swept time.Time
}

// directAgent is what is known of an agent, and what it was told, on its present
// connection.
type directAgent struct {
	state messenger.AgentState
	link  *messenger.Link
	at    time.Time
	// told are the entries that it was last told of.
	told   []messenger.EntryRef
	toldAt time.Time
}

const (
	// directFor is how long an agent counts as direct after its last report.
	directFor = 3 * time.Second
	// tellEvery is how often an agent is told of the entries though none changed.
	tellEvery = 3 * time.Second
)

func newAgents() *agents {
	return &agents{states: map[string]directAgent{}}
}

// take notes a report and gives the agent's whole state; false when a beat came
// for which no state is known on this connection.
func (a *agents) take(r messenger.Report, l *messenger.Link, now time.Time) (messenger.AgentState, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	if r.State != nil {
		d := directAgent{state: *r.State, link: l, at: now}
		if old := a.states[d.state.ID]; old.link == l {
			d.told, d.toldAt = old.told, old.toldAt
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
	d.state.Sequence, d.state.Running, d.at = r.Heartbeat.Sequence, r.Heartbeat.Running, now
	a.states[r.Heartbeat.ID] = d
	return d.state, true
}

// forget drops silent agents, once in a while: looking at all of them for each
// report would cost the square of their number.
func (a *agents) forget(now time.Time) {
	if now.Sub(a.swept) < directFor/3 {
		return
	}
	a.swept = now
	for id, d := range a.states {
		if now.Sub(d.at) > directFor {
			delete(a.states, id)
		}
	}
}

// tell gives the entries that an agent is to be told of: none when it was told the
// same lately.
func (a *agents) tell(id string, entries []messenger.EntryRef, now time.Time) []messenger.EntryRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	d, ok := a.states[id]
	if !ok {
		// The agent was forgotten while this entry was paused. Put back, it would
		// have no connection, and the next push would end the entry.
		return entries
	}
	if now.Sub(d.toldAt) < tellEvery && slices.Equal(d.told, entries) {
		return nil
	}
	d.told, d.toldAt = entries, now
	a.states[id] = d
	return entries
}

// weights sums up what the agents hold of one manifest.
func (a *agents) weights(manifest string) WeightsStatus {
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

// push sends news to those direct agents that have an older bundle and are ours to
// tell. The others hear it from another entry, and from this one with the answer to
// their next report; were every entry to push, each agent would get a long record
// as many times as there are entries.
func (a *agents) push(n messenger.Update, ours func(messenger.AgentState) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range a.states {
		if d.state.Revision < n.Freshness.Revision && ours(d.state) {
			d.link.Push(n)
		}
	}
}

// bring tells whether a revision has yet to be pushed.
func (a *agents) bring(revision uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.revision {
		return false
	}
	a.revision = revision
	return true
}

func (a *agents) setLeaving(ids map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = ids
}

func (a *agents) isLeaving(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving[id]
}
