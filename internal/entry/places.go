package entry

import (
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/placer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// placeFor is how long a division of a failure domain's engines is used. Working
// it out for each report would cost the square of the number of agents.
const placeFor = 250 * time.Millisecond

// places remembers which engine should hold which model.
type places struct {
	clock  clock.PassiveClock
	agents func() []messenger.AgentState

	mu       sync.Mutex
	byDomain map[string]division
}

type division struct {
	revision uint64
	at       time.Time
	models   map[string]string
}

// assign names the model for an agent's engine; empty when none is placed there.
func (p *places) assign(b *bundler.Bundle, s messenger.AgentState) string {
	ms := b.ModelsIn(s.FailureDomain)
	switch len(ms) {
	case 0:
		return ""
	case 1:
		return ms[0].Name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.byDomain[s.FailureDomain]
	if d.revision != b.Revision || p.clock.Since(d.at) > placeFor {
		d = division{revision: b.Revision, at: p.clock.Now(), models: placer.Place(b, s.FailureDomain, p.agents())}
		p.byDomain[s.FailureDomain] = d
	}
	return d.models[s.ID]
}
