package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// replica is what the router knows of one incarnation of an agent.
type replica struct {
	state messenger.AgentState
	// gone are the incarnations before this one, latest first.
	earlierIncarnations []string
	currentWeights      bool
	lastContact         time.Time

	// list, before and after keep the replica's place by time heard.
	contacts   *contactList
	prev, next *replica

	// tier, point, in and at are its place among the candidates: at is the index
	// in the list it is in, if any.
	tier           *tier
	ringPoint      uint64
	candidates     *replicaList
	candidateIndex int
	// quota is how many requests this entry may have there while it is cold.
	quota int

	// inflight are this entry's own requests that are not done.
	inflight []*Choice
	// covered is the time up to which the last report counts our picks; fresh is
	// how many of inflight are later, settled how many earlier ones are done.
	coveredUntil           time.Time
	uncovered, coveredDone int

	// refusedUntil and failedUntil are how long it is passed over.
	refusedUntil, failedUntil time.Time
	failures                  int
	// load and counted are the estimate and the limit in the tier's sums.
	tierLoad, tierLimit int
}

func newReplica(s messenger.AgentState) *replica {
	return &replica{state: s, ringPoint: xxhash.Sum64String(s.ID)}
}

// maxGone is how many earlier incarnations are remembered.
const maxEarlierIncarnations = 8

// succeed takes over what must outlive the incarnation before.
func (p *replica) inheritFrom(old *replica) {
	p.earlierIncarnations = append([]string{old.state.Incarnation}, old.earlierIncarnations...)
	p.earlierIncarnations = p.earlierIncarnations[:min(maxEarlierIncarnations, len(p.earlierIncarnations))]
}

// newer tells whether a report is later than the one at hand. One of an earlier
// incarnation is not, whatever its sequence: relayed by another entry it would
// come after its successor's, and requests would go to what is no longer there.
func (p *replica) newer(s messenger.AgentState) bool {
	if s.Incarnation == p.state.Incarnation {
		return s.Sequence > p.state.Sequence
	}
	return !slices.Contains(p.earlierIncarnations, s.Incarnation)
}

// take replaces the state by a newer report, which counts our picks up to the
// given time.
func (p *replica) applyReport(s messenger.AgentState, now, coveredUntil time.Time) {
	p.state = s
	p.lastContact = now
	p.coveredUntil = coveredUntil
	p.coveredDone = 0
	p.uncovered = 0
	for _, c := range p.inflight {
		if c.picked.After(coveredUntil) {
			p.uncovered++
		}
	}
}

func (p *replica) acceptsWork() bool {
	return p.state.Gate != messenger.GateClosed && p.state.Gate != "" && !p.state.Leaving && p.state.Limit > 0
}

// estimate is how many requests run there now, as far as can be told: what was
// reported, plus our picks since, less our covered ones that are done since; and
// never less than our own.
func (p *replica) estimate() int {
	return max(len(p.inflight), p.state.Running+p.uncovered-p.coveredDone)
}

func (p *replica) freeSlots() int { return p.state.Limit - p.estimate() }

// update brings the tier in line with the replica's load.
func (p *replica) updateTier() {
	if p.tier != nil {
		p.tier.update(p)
	}
}

func (p *replica) removeFromTier() {
	if p.tier != nil {
		p.tier.remove(p)
	}
}

// serves tells whether the replica fits what the request asks for beyond its
// model or service.
func (p *replica) serves(q *Request) bool {
	s := &p.state
	switch {
	case q.Owner != "" && q.Owner != s.ID:
		return false
	case q.Version != "" && q.Version != s.Version:
		return false
	case q.EngineStart != "" && q.EngineStart != s.EngineStart:
		return false
	case q.Adapter != "" && !slices.Contains(s.Adapters, q.Adapter):
		return false
	}
	return true
}

// refused tells whether the replica would most likely refuse the request again.
func (p *replica) likelyRefuses(q *Request, now time.Time) bool {
	return now.Before(p.refusedUntil) || slices.Contains(q.Avoid, p.state.ID)
}
