package entry

import (
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/placer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// assignmentTTL is how long the assignments in a failure domain are reused. Computing
// them for each report would cost the square of the number of agents.
const assignmentTTL = 250 * time.Millisecond

// assignments caches which engine should hold which model.
type assignments struct {
	clock  clock.PassiveClock
	agents func() []messenger.AgentState

	mu       sync.Mutex
	byDomain map[string]domainAssignments
}

type domainAssignments struct {
	revision   uint64
	computedAt time.Time
	models     map[string]string
}

// modelFor returns the name of the model for an agent's engine; empty if none is placed there.
func (a *assignments) modelFor(b *bundler.Bundle, s messenger.AgentState) string {
	ms := b.ModelsIn(s.FailureDomain)
	switch len(ms) {
	case 0:
		return ""
	case 1:
		return ms[0].Name
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.byDomain[s.FailureDomain]
	if d.revision != b.Revision || a.clock.Since(d.computedAt) > assignmentTTL {
		d = domainAssignments{revision: b.Revision, computedAt: a.clock.Now(), models: placer.Place(b, s.FailureDomain, a.agents())}
		a.byDomain[s.FailureDomain] = d
	}
	return d.models[s.ID]
}
