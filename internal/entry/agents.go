package entry

import (
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
}

type directAgent struct {
	state messenger.AgentState
	link  *messenger.Link
	at    time.Time
}

// directFor is how long an agent counts as direct after its last report.
const directFor = 3 * time.Second

func newAgents() *agents {
	return &agents{states: map[string]directAgent{}}
}

func (a *agents) note(s messenger.AgentState, l *messenger.Link, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.states[s.ID] = directAgent{state: s, link: l, at: now}
	for id, d := range a.states {
		if now.Sub(d.at) > directFor {
			delete(a.states, id)
		}
	}
}

// direct lists the agents for other entries; holdings stay here, since they are
// large and of use only to those who fetch.
func (a *agents) direct() []messenger.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	ss := make([]messenger.AgentState, 0, len(a.states))
	for _, d := range a.states {
		s := d.state
		s.Holdings = nil
		ss = append(ss, s)
	}
	return ss
}

// push sends news to all direct agents that have an older bundle.
func (a *agents) push(n messenger.News) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range a.states {
		if d.state.Revision < n.Word.Revision {
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
