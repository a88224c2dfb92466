package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// replica is the router's state of one incarnation of an agent.
type replica struct {
	state messenger.AgentState
	// earlierIncarnations are those before this one, latest first.
	earlierIncarnations []string
	currentWeights      bool
	lastContact         time.Time

	// contacts, prev and next are its position in the order of last contact.
	contacts   *contactList
	prev, next *replica

	// tier, ringPoint, list and listIndex are its position among the candidates,
	// listIndex being the index in list, if any.
	tier      *tier
	ringPoint uint64
	list      *replicaList
	listIndex int
	// quota is how many requests this entry may run on it while it is cold.
	quota int

	// inflight are this entry's requests that are not done.
	inflight []*Choice
	// coveredUntil is the time up to which the last report includes our picks;
	// uncovered counts the later ones in inflight, coveredDone earlier ones done.
	coveredUntil           time.Time
	uncovered, coveredDone int

	// refusedUntil and failedUntil are when it stops being skipped.
	refusedUntil, failedUntil time.Time
	failures                  int
	// tierLoad and tierLimit are its parts of the tier's sums.
	tierLoad, tierLimit int
}

func newReplica(s messenger.AgentState) *replica {
	return &replica{state: s, ringPoint: xxhash.Sum64String(s.ID)}
}

// maxEarlierIncarnations is how many earlier incarnations are kept.
const maxEarlierIncarnations = 8

// inheritFrom takes over the state that outlives the earlier incarnation.
func (p *replica) inheritFrom(old *replica) {
	p.earlierIncarnations = append([]string{old.state.Incarnation}, old.earlierIncarnations...)
	p.earlierIncarnations = p.earlierIncarnations[:min(maxEarlierIncarnations, len(p.earlierIncarnations))]
}

// newer reports whether a report is later than the last one. A report of an
// earlier incarnation is not, whatever its sequence: relayed by another entry it
// may arrive after its successor's and direct requests to a process that is gone.
func (p *replica) newer(s messenger.AgentState) bool {
	if s.Incarnation == p.state.Incarnation {
		return s.Sequence > p.state.Sequence
	}
	return !slices.Contains(p.earlierIncarnations, s.Incarnation)
}

// applyReport replaces the state by a newer report, which includes our picks up
// to coveredUntil.
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

// estimate is the estimated number of running requests: those reported, plus our
// later picks, less our covered ones that are done since; but at least our own.
func (p *replica) estimate() int {
	return max(len(p.inflight), p.state.Running+p.uncovered-p.coveredDone)
}

func (p *replica) freeSlots() int { return p.state.Limit - p.estimate() }

// updateTier updates the tier with the replica's load.
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

// serves reports whether the replica meets the request's conditions besides the
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

// likelyRefuses reports whether the replica would probably refuse again.
func (p *replica) likelyRefuses(q *Request, now time.Time) bool {
	return now.Before(p.refusedUntil) || slices.Contains(q.Avoid, p.state.ID)
}
