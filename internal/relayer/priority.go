package relayer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// urgentWaitShare is slotWaitShare of the most urgent requests: less urgent ones give up freed
	// slots for them, so most find one sooner.
	urgentWaitShare = 0.25
	// urgentRetrySpread is the time over which the most urgent callers that were refused together
	// come back; the least urgent ones come back from leastUrgentDelay later on.
	urgentRetrySpread = 500 * time.Millisecond
	leastUrgentDelay  = time.Second
	// maxRetryShare bounds the time to come back, as a part of the caller's remaining time: callers
	// don't wait longer.
	maxRetryShare = 1.0 / 3
)

// priorityState is the priority of a request at its service, and the slots it was refused.
type priorityState struct {
	level int
	// leastUrgent is the least urgent priority of the service.
	leastUrgent int
	// budget is how long the request may wait at any engine; asked counts the engines asked, and
	// refusals those without a slot.
	budget          time.Duration
	asked, refusals int
}

// setPriority sets a job's priority if its service has more than one.
func (j *Job) setPriority(s *matcher.Service) {
	if s == nil || !s.Prioritized {
		return
	}
	j.priority = &priorityState{level: s.Priority(j.Route, j.Workspace), leastUrgent: s.Least}
}

// Priority returns the request's priority; nil at services whose requests all have the same.
func (j *Job) Priority() *int {
	if j.priority == nil {
		return nil
	}
	return &j.priority.level
}

// setBudget records how long a request may wait at any engine.
func (j *Job) setBudget(budget time.Duration) {
	if j.priority != nil {
		j.priority.budget = budget
	}
}

// mostUrgent reports whether no request of the service is more urgent.
func (s *priorityState) mostUrgent() bool { return s != nil && s.level == matcher.MostUrgent }

// rank ranges from 0 for the most urgent requests of the service to 1 for the least urgent.
func (s *priorityState) rank() float64 {
	if s == nil || s.leastUrgent == matcher.MostUrgent {
		return 0
	}
	return min(float64(s.level)/float64(s.leastUrgent), 1)
}

// addPriority adds what an agent needs to choose the more urgent of several requests.
func (j *Job) addPriority(q *messenger.Reservation) {
	s := j.priority
	if s == nil {
		return
	}
	q.Priority, q.Asked, q.Refusals, q.BudgetMS = &s.level, s.asked, s.refusals, s.budget.Milliseconds()
	q.Table = j.TableVersion
	if j.Workspace != nil {
		q.Workspace = j.Workspace.Name
	}
	s.asked++
}

// fullFor is how long an engine isn't asked for a request, as it had no slot for one as urgent or
// more urgent.
func (p *Placer) fullFor(id string, j *Job) time.Duration {
	full := p.Chooser.FullFor(id, p.missesObjective(j) || j.mover.placing)
	if j.priority != nil {
		full = max(full, p.fullMarks.FullFor(id, j.priority.level, p.Clock.Now()))
	}
	return full
}

// whyPassedOver returns why a skipped engine took no requests when it was last asked; empty if it
// had no slot, which counts as a refusal of the request.
func (p *Placer) whyPassedOver(id string, j *Job) string {
	if j.priority == nil {
		return p.Chooser.ClosedReason(id)
	}
	// Full marks by priority leave an outdated reason in place.
	if p.Chooser.FullFor(id, p.missesObjective(j)) > 0 {
		if why := p.Chooser.ClosedReason(id); why != "" {
			return why
		}
	}
	j.priority.refusals++
	return ""
}

// markNoSlot marks an engine as full for a request: it had no slot at all, none to spare, or only
// slots kept for others.
func (p *Placer) markNoSlot(id string, j *Job, v *messenger.Decision) {
	if j.priority == nil || p.Without.Has(ablator.FullBackoff) || p.missesObjective(j) && v.KeptFor == "" {
		p.markFull(id, j, v.FreeIn())
		return
	}
	p.fullMarks.MarkFull(id, j.priority.level, min(v.FreeIn(), fullSkipTime), p.Clock.Now())
}

// countRefusal counts an engine that had no slot for a request within its whole budget.
func (j *Job) countRefusal(v *messenger.Decision) {
	if j.priority != nil {
		j.priority.refusals++
	}
	if v.KeptFor != "" {
		j.refusals.Kept++
		j.refusals.WhyKept = v.KeptFor
	}
}

// usesFullBudget reports whether a request may queue for as long as its own objective allows even
// in a contended service. Agents don't let less urgent requests delay it.
func (p *Placer) usesFullBudget(j *Job) bool {
	return j.priority.mostUrgent() && !p.Without.Has(ablator.PriorityBudgets)
}

// slotWaitLimit is how long a request waits for a slot before it is refused.
func (p *Placer) slotWaitLimit(j *Job) time.Duration {
	share := slotWaitShare
	if p.usesFullBudget(j) {
		share = urgentWaitShare
	}
	return time.Duration(share * float64(j.Route.Objective))
}

// admitPlain reports whether a request may be sent to a plain service. During a shortage, requests
// less urgent than others are limited to a learned rate.
func (p *Placer) admitPlain(j *Job) bool {
	if j.priority == nil {
		return true
	}
	return p.admission.Admit(j.Service, j.priority.rank(), p.Clock.Now())
}

// recordPlainLoad records the load of a plain upstream as stated in a reply.
func (p *Placer) recordPlainLoad(j *Job, r *Reply) {
	if j.priority != nil {
		p.admission.RecordLoad(j.Service, r.Running, r.Waiting, r.Slots, p.Clock.Now())
	}
}

// recordPlainRefusal records that an upstream refused a request.
func (p *Placer) recordPlainRefusal(j *Job) {
	if j.priority != nil && !j.Route.Generates {
		p.admission.RecordRefusal(j.Service, p.Clock.Now())
	}
}

// priorityRetryAfter is the time to come back for a request of a prioritized service: the estimate
// for the most urgent, later for the least urgent, with a random spread, and within the time that
// callers wait.
func (j *Job) priorityRetryAfter(estimate, left time.Duration, random *rand.Rand) time.Duration {
	delay := time.Duration(j.priority.rank() * float64(leastUrgentDelay))
	from, spread := estimate+delay, urgentRetrySpread+delay
	if most := max(time.Duration(maxRetryShare*float64(left)), 0); from+spread > most {
		// If all got the bound itself, they would come back at the same moment.
		spread = min(spread, most/2)
		from = most - spread
	}
	return from + time.Duration(random.Int64N(int64(spread)+1))
}

// recordPlacement counts and times the outcome of a request that needed an upstream.
func (p *Placer) recordPlacement(j *Job, startedAt time.Time, err error) {
	if j.priority == nil || p.Metrics == nil {
		return
	}
	outcome := "placed"
	var refused *RefusedError
	switch {
	case err == nil:
	case !errors.As(err, &refused):
		outcome = "left"
	case refused.KeptForOthers():
		outcome = "kept"
	default:
		outcome = "refused"
	}
	name := fmt.Sprintf("priority.%d.%s.%s", j.priority.level, j.Route.Kind, outcome)
	metrics.GetOrRegisterTimer(name, p.Metrics).Update(p.Clock.Since(startedAt))
}

// KeptForOthers reports whether the request was refused in favour of others.
func (e *RefusedError) KeptForOthers() bool {
	return e.Reason == scheduler.KeptForUrgent || e.Reason == scheduler.KeptForWorkspaces
}
