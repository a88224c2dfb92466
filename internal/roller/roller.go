// Package roller permits agents to switch their engines to a new version a few
// at a time, so that each model keeps most of its replicas while a bundle rolls.
//
// A permit is advisory. Each entry grants by its own state; two entries that grant
// at once take more replicas out of service than configured, which costs capacity for a
// while but never correctness: the agent's own gate decides what its engine may serve.
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
	DefaultMaxIdle        = 0.5
	DefaultPermitFor      = 30 * time.Second
	DefaultSilentFor      = 5 * time.Second
)

// headroom is the share of the present load that must be left as capacity beyond the
// load itself, for requests that arrive while engines are out of service.
const headroom = 0.5

// Roller grants permits. Set the exported fields before the first call; all
// methods are safe for concurrent use.
type Roller struct {
	Clock clock.PassiveClock
	// MaxUnavailable is the share of a model's replicas that may be out of
	// service because of a switch; at least one always may.
	MaxUnavailable float64
	// MaxIdle is the greater share that may be out of service while the remaining replicas
	// have capacity for the present load and headroom: a roll at low load can be faster than
	// one at peak load.
	MaxIdle float64
	// PermitFor is how long a permit counts against the share while its agent
	// hasn't come back with the new version.
	PermitFor time.Duration
	// SilentFor is how long an agent and its permit count after its last report.
	// Otherwise an agent that was suspended or killed with a permit would keep the
	// others from switching for all of PermitFor.
	SilentFor time.Duration

	mu       sync.Mutex
	replicas map[string]replica
	permits  map[string]permit
}

type replica struct {
	state      messenger.AgentState
	lastReport time.Time
}

// permit is a granted switch that isn't known to be complete.
type permit struct {
	model string
	// weights are the permitted ones, oldWeights those that the engine held before.
	weights, oldWeights string
	expires             time.Time
}

// Report records an agent's state. It removes an agent that is shutting down.
func (r *Roller) Report(s messenger.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setUp()
	if s.Leaving || s.Kind != messenger.KindEngine {
		delete(r.replicas, s.ID)
		delete(r.permits, s.ID)
		return
	}
	r.replicas[s.ID] = replica{state: s, lastReport: r.Clock.Now()}
	// An open engine with weights other than its old ones has completed its switch, even
	// if they aren't the permitted ones: a newer version may have superseded those.
	if p, ok := r.permits[s.ID]; ok && s.Weights() != p.oldWeights && s.Gate == messenger.GateOpen {
		delete(r.permits, s.ID)
	}
}

// Remove deletes an agent and its permit.
func (r *Roller) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replicas, id)
	delete(r.permits, id)
}

// Permit reports whether the agent may switch its engine to the model's version now.
// A granted permit lasts until it expires or the agent has completed its switch.
func (r *Roller) Permit(agent messenger.AgentState, model bundler.Model) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setUp()
	now := r.Clock.Now()
	if agent.Manifest == "" || agent.Weights() == model.Weights() {
		return true
	}
	if p, ok := r.permits[agent.ID]; ok && p.weights == model.Weights() && now.Before(p.expires) {
		return true
	}
	c := r.countReplicas(agent, now)
	allowed := r.maxUnavailable(c)
	granted := c.unavailable < allowed
	klog.V(1).InfoS("Switch requested", "agent", agent.ID, "model", agent.Model, "version", model.Version,
		"granted", granted, "replicas", c.total, "out", c.unavailable, "allowed", allowed)
	if granted {
		r.permits[agent.ID] = permit{model: agent.Model, weights: model.Weights(), oldWeights: agent.Weights(), expires: now.Add(r.PermitFor)}
	}
	return granted
}

// replicaCounts summarizes the replicas of one model.
type replicaCounts struct {
	// total counts all replicas, unavailable those that are permitted to switch or not
	// open.
	total, unavailable int
	// running is the sum over all replicas, limit the sum over those in service.
	running, limit int
}

// maxUnavailable is how many replicas may be out of service at once.
func (r *Roller) maxUnavailable(c replicaCounts) int {
	share := max(r.MaxUnavailable, min(r.MaxIdle, c.spareShare()))
	return max(1, int(math.Floor(share*float64(c.total))))
}

// spareShare is the share of the replicas that isn't needed for the present load and
// headroom; 0 when no load is known.
func (c replicaCounts) spareShare() float64 {
	if c.limit == 0 || c.total == 0 {
		return 0
	}
	inService := float64(c.total-c.unavailable) / float64(c.total)
	used := float64(c.running) / float64(c.limit) * inService
	return 1 - used*(1+headroom)
}

func (r *Roller) countReplicas(agent messenger.AgentState, now time.Time) replicaCounts {
	c := replicaCounts{total: 1, running: agent.Running, limit: agent.Limit}
	for id, v := range r.replicas {
		if id == agent.ID || now.Sub(v.lastReport) > r.SilentFor {
			continue
		}
		p, permitted := r.permits[id]
		permitted = permitted && now.Before(p.expires) && p.model == agent.Model
		if v.state.Model != agent.Model && !permitted {
			continue
		}
		c.total++
		// The requests of an engine that goes out of service move to the others.
		c.running += v.state.Running
		if permitted || v.state.Gate != messenger.GateOpen {
			c.unavailable++
			continue
		}
		c.limit += v.state.Limit
	}
	return c
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
	if r.MaxIdle == 0 {
		r.MaxIdle = DefaultMaxIdle
	}
	if r.PermitFor == 0 {
		r.PermitFor = DefaultPermitFor
	}
	if r.SilentFor == 0 {
		r.SilentFor = DefaultSilentFor
	}
	r.replicas = map[string]replica{}
	r.permits = map[string]permit{}
}
