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
	gone    []string
	current bool
	heard   time.Time

	// list, before and after keep the replica's place by time heard.
	list          *heardList
	before, after *replica

	// tier, point, in and at are its place among the candidates: at is the index
	// in the list it is in, if any.
	tier  *tier
	point uint64
	in    *list
	at    int
	// quota is how many requests this entry may have there while it is cold.
	quota int

	// inflight are this entry's own requests that are not done.
	inflight []*Choice
	// covered is the time up to which the last report counts our picks; fresh is
	// how many of inflight are later, settled how many earlier ones are done.
	covered        time.Time
	fresh, settled int

	// refusedUntil and failedUntil are how long it is passed over.
	refusedUntil, failedUntil time.Time
	failures                  int
	// load and counted are the estimate and the limit in the tier's sums.
	load, counted int
}

func newReplica(s messenger.AgentState) *replica {
	return &replica{state: s, point: xxhash.Sum64String(s.ID)}
}

// maxGone is how many earlier incarnations are remembered.
const maxGone = 8

// succeed takes over what must outlive the incarnation before.
func (p *replica) succeed(old *replica) {
	p.gone = append([]string{old.state.Incarnation}, old.gone...)
	p.gone = p.gone[:min(maxGone, len(p.gone))]
}

// newer tells whether a report is later than the one at hand. One of an earlier
// incarnation is not, whatever its sequence: relayed by another entry it would
// come after its successor's, and requests would go to what is no longer there.
func (p *replica) newer(s messenger.AgentState) bool {
	if s.Incarnation == p.state.Incarnation {
		return s.Sequence > p.state.Sequence
	}
	return !slices.Contains(p.gone, s.Incarnation)
}

// take replaces the state by a newer report, which counts our picks up to the
// given time.
func (p *replica) take(s messenger.AgentState, now, covered time.Time) {
	p.state = s
	p.heard = now
	p.covered = covered
	p.settled = 0
	p.fresh = 0
	for _, c := range p.inflight {
		if c.picked.After(covered) {
			p.fresh++
		}
	}
}

func (p *replica) takesWork() bool {
	return p.state.Gate != messenger.GateClosed && p.state.Gate != "" && !p.state.Leaving && p.state.Limit > 0
}

// estimate is how many requests run there now, as far as can be told: what was
// reported, plus our picks since, less our covered ones that are done since; and
// never less than our own.
func (p *replica) estimate() int {
	return max(len(p.inflight), p.state.Running+p.fresh-p.settled)
}

func (p *replica) room() int { return p.state.Limit - p.estimate() }

// update brings the tier in line with the replica's load.
func (p *replica) update() {
	if p.tier != nil {
		p.tier.update(p)
	}
}

func (p *replica) unplace() {
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
func (p *replica) refused(q *Request, now time.Time) bool {
	return now.Before(p.refusedUntil) || slices.Contains(q.Avoid, p.state.ID)
}
