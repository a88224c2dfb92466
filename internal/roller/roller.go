// Package roller permits agents to switch their engines to a new version a few
// at a time, so that each model keeps most of its replicas while a bundle rolls.
//
// A permit is soft. Each entry grants from what it knows; two entries that grant
// at once take more replicas out at the same time than wished, which costs
// capacity for a while and never correctness: what an engine may serve is decided
// by its own agent's gate.
package roller

import (
	"math"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Defaults of the fields that are left zero.
const (
	DefaultMaxUnavailable = 0.25
	DefaultPermitFor      = 30 * time.Second
)

// Roller grants permits. Set the exported fields before the first call; all
// methods are safe for concurrent use.
type Roller struct {
	Clock clock.PassiveClock
	// MaxUnavailable is the share of a model's replicas that may be out of
	// service because of a switch; at least one always may.
	MaxUnavailable float64
	// PermitFor is how long a permit counts against the share while its agent
	// hasn't come back with the new version, and how long an agent counts as a
	// replica after its last report.
	PermitFor time.Duration

	mu       sync.Mutex
	replicas map[string]replica
	permits  map[string]permit
}

type replica struct {
	state messenger.AgentState
	heard time.Time
}

// permit is a switch that was granted and isn't known to be over.
type permit struct {
	model, manifest string
	until           time.Time
}

// Report notes an agent's state. A leaving agent is forgotten.
func (r *Roller) Report(s messenger.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setUp()
	if s.Leaving || s.Kind != messenger.KindEngine {
		delete(r.replicas, s.ID)
		delete(r.permits, s.ID)
		return
	}
	r.replicas[s.ID] = replica{state: s, heard: r.Clock.Now()}
	if p, ok := r.permits[s.ID]; ok && s.Manifest == p.manifest && s.Gate == messenger.GateOpen {
		delete(r.permits, s.ID)
	}
}

// Remove forgets an agent.
func (r *Roller) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replicas, id)
	delete(r.permits, id)
}

// Permit tells whether the agent may put its engine to the model's version now.
// A permit once given stays given until it lapses or the agent is back.
func (r *Roller) Permit(agent messenger.AgentState, model bundler.Model) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setUp()
	now := r.Clock.Now()
	if agent.Manifest == "" || agent.Manifest == model.Manifest {
		return true
	}
	if p, ok := r.permits[agent.ID]; ok && p.manifest == model.Manifest && now.Before(p.until) {
		return true
	}
	all, out := r.count(agent, now)
	allowed := max(1, int(math.Floor(r.MaxUnavailable*float64(all))))
	granted := out < allowed
	klog.V(1).InfoS("Switch asked", "agent", agent.ID, "model", agent.Model, "version", model.Version,
		"granted", granted, "replicas", all, "out", out, "allowed", allowed)
	if granted {
		r.permits[agent.ID] = permit{model: agent.Model, manifest: model.Manifest, until: now.Add(r.PermitFor)}
	}
	return granted
}

// count gives the replicas of the model that the agent serves now, and how many
// of the others are out of service: permitted to switch, or not open.
func (r *Roller) count(agent messenger.AgentState, now time.Time) (all, out int) {
	all = 1
	for id, v := range r.replicas {
		if id == agent.ID || now.Sub(v.heard) > r.PermitFor {
			continue
		}
		p, permitted := r.permits[id]
		permitted = permitted && now.Before(p.until) && p.model == agent.Model
		if v.state.Model != agent.Model && !permitted {
			continue
		}
		all++
		if permitted || v.state.Gate != messenger.GateOpen {
			out++
		}
	}
	return all, out
}

func (r *Roller) setUp() {
	if r.replicas != nil {
		return
	}
	if r.Clock == nil {
		r.Clock = clock.RealClock{}
	}
	if r.MaxUnavailable == 0 {
		r.MaxUnavailable = DefaultMaxUnavailable
	}
	if r.PermitFor == 0 {
		r.PermitFor = DefaultPermitFor
	}
	r.replicas = map[string]replica{}
	r.permits = map[string]permit{}
}
