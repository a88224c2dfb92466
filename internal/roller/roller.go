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
	DefaultMaxIdle        = 0.5
	DefaultPermitFor      = 30 * time.Second
	DefaultSilentFor      = 5 * time.Second
)

// headroom is how much of the present load must be left as capacity beyond the
// load itself, for what comes while engines are out.
const headroom = 0.5

// Roller grants permits. Set the exported fields before the first call; all
// methods are safe for concurrent use.
type Roller struct {
	Clock clock.PassiveClock
	// MaxUnavailable is the share of a model's replicas that may be out of
	// service because of a switch; at least one always may.
	MaxUnavailable float64
	// MaxIdle is the greater share that may be out while the rest could carry the
	// present load with room to spare: a roll by night need not take as long as one
	// in the rush.
	MaxIdle float64
	// PermitFor is how long a permit counts against the share while its agent
	// hasn't come back with the new version.
	PermitFor time.Duration
	// SilentFor is how long an agent and its permit count after its last report. One
	// that was frozen or killed with a permit in hand would otherwise keep the
	// others from switching for all of PermitFor.
	SilentFor time.Duration

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
	model string
	// weights are those permitted, from those that the engine held before.
	weights, from string
	until         time.Time
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
	// An engine that is open with anything else than before is back, whatever it
	// holds: a newer version may have overtaken the permitted one on the way.
	if p, ok := r.permits[s.ID]; ok && s.Weights() != p.from && s.Gate == messenger.GateOpen {
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
	if agent.Manifest == "" || agent.Weights() == model.Weights() {
		return true
	}
	if p, ok := r.permits[agent.ID]; ok && p.weights == model.Weights() && now.Before(p.until) {
		return true
	}
	c := r.count(agent, now)
	allowed := r.allowed(c)
	granted := c.out < allowed
	klog.V(1).InfoS("Switch asked", "agent", agent.ID, "model", agent.Model, "version", model.Version,
		"granted", granted, "replicas", c.all, "out", c.out, "allowed", allowed)
	if granted {
		r.permits[agent.ID] = permit{model: agent.Model, weights: model.Weights(), from: agent.Weights(), until: now.Add(r.PermitFor)}
	}
	return granted
}

// census is what is known of the replicas of one model.
type census struct {
	// all are the replicas, out those of them out of service: permitted to switch,
	// or not open.
	all, out int
	// running is the sum over all, limit over those in service.
	running, limit int
}

// allowed is how many replicas may be out at once.
func (r *Roller) allowed(c census) int {
	share := max(r.MaxUnavailable, min(r.MaxIdle, c.spare()))
	return max(1, int(math.Floor(share*float64(c.all))))
}

// spare is the share of the replicas that the present load leaves free, headroom
// included; nothing when no load is known.
func (c census) spare() float64 {
	if c.limit == 0 || c.all == 0 {
		return 0
	}
	inService := float64(c.all-c.out) / float64(c.all)
	used := float64(c.running) / float64(c.limit) * inService
	return 1 - used*(1+headroom)
}

func (r *Roller) count(agent messenger.AgentState, now time.Time) census {
	c := census{all: 1, running: agent.Running, limit: agent.Limit}
	for id, v := range r.replicas {
		if id == agent.ID || now.Sub(v.heard) > r.SilentFor {
			continue
		}
		p, permitted := r.permits[id]
		permitted = permitted && now.Before(p.until) && p.model == agent.Model
		if v.state.Model != agent.Model && !permitted {
			continue
		}
		c.all++
		// What an engine that leaves still runs goes to the others next.
		c.running += v.state.Running
		if permitted || v.state.Gate != messenger.GateOpen {
			c.out++
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
