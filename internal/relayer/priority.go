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
	// urgentHeldShare is heldShare of the most urgent requests: less urgent ones yield them slots as these come
	// free, so that most find one.
	urgentHeldShare = 0.25
	// urgentSpread is over how long the most urgent callers that were refused together come back, and
	// lesserDelay how much later the least urgent ones begin to.
	urgentSpread = 500 * time.Millisecond
	lesserDelay  = time.Second
	// retryShare bounds the time to come back, as a part of the time that the caller has left: nobody waits
	// longer.
	retryShare = 1.0 / 3
)

// standing is the priority of a request among those of its service.
type standing struct {
	priority int
	// least is the least urgent priority of the service.
	least int
	// budget is how long the request may wait at any engine; asked counts the engines asked for it, and
	// refusals those that had no slot.
	budget          time.Duration
	asked, refusals int
}

// setPriority gives a job its priority if its service knows more than one.
func (j *Job) setPriority(s *matcher.Service) {
	if s == nil || !s.Prioritized {
		return
	}
	j.standing = &standing{priority: s.Priority(j.Route, j.Workspace), least: s.Least}
}

// Priority is the request's; nil at services whose requests all have the same.
func (j *Job) Priority() *int {
	if j.standing == nil {
		return nil
	}
	return &j.standing.priority
}

// noteBudget keeps how long a request may wait at any engine.
func (j *Job) noteBudget(budget time.Duration) {
	if j.standing != nil {
		j.standing.budget = budget
	}
}

// mostUrgent tells whether no request of the service is more urgent than this one.
func (s *standing) mostUrgent() bool { return s != nil && s.priority == matcher.MostUrgent }

// rank is from 0 for the most urgent requests of the service to 1 for the least.
func (s *standing) rank() float64 {
	if s == nil || s.least == matcher.MostUrgent {
		return 0
	}
	return min(float64(s.priority)/float64(s.least), 1)
}

// reserveBy adds what an agent needs to know to serve the more urgent of several requests.
func (j *Job) reserveBy(q *messenger.Reservation) {
	s := j.standing
	if s == nil {
		return
	}
	q.Priority, q.Asked, q.Refusals, q.BudgetMS = &s.priority, s.asked, s.refusals, s.budget.Milliseconds()
	q.Table = j.TableVersion
	if j.Workspace != nil {
		q.Workspace = j.Workspace.Name
	}
	s.asked++
}

// fullFor is how long an engine isn't asked for a request, as it had no slot for one as urgent or more.
func (p *Placer) fullFor(id string, j *Job) time.Duration {
	full := p.Chooser.FullFor(id, p.late(j) || j.mover.looking)
	if j.standing != nil {
		full = max(full, p.fullMarks.FullFor(id, j.standing.priority, p.Clock.Now()))
	}
	return full
}

// whyPassedOver is why a passed-over engine took nothing when it was last asked; empty when it had no slot, which
// counts as one more that has none for the request.
func (p *Placer) whyPassedOver(id string, j *Job) string {
	if j.standing == nil {
		return p.Chooser.WhyClosed(id)
	}
	// Marks by priority leave a reason in place that is out of date.
	if p.Chooser.FullFor(id, p.late(j)) > 0 {
		if why := p.Chooser.WhyClosed(id); why != "" {
			return why
		}
	}
	j.standing.refusals++
	return ""
}

// noteNoSlot keeps that an engine has no slot for a request: none at all, none to spare, or none that isn't
// kept for others.
func (p *Placer) noteNoSlot(id string, j *Job, v *messenger.Decision) {
	if j.standing == nil || p.Without.Has(ablator.FullBackoff) || p.late(j) && v.KeptFor == "" {
		p.noteFull(id, j, v.FreeIn())
		return
	}
	p.fullMarks.Full(id, j.standing.priority, min(v.FreeIn(), fullPause), p.Clock.Now())
}

// noteRefusal counts an engine that had no slot for a request within its whole budget.
func (j *Job) noteRefusal(v *messenger.Decision) {
	if j.standing != nil {
		j.standing.refusals++
	}
	if v.KeptFor != "" {
		j.met.Kept++
		j.met.WhyKept = v.KeptFor
	}
}

// urgentBudget tells whether a request may queue for as long as its own objective allows in a contended
// service as well. Agents keep less urgent requests from making it wait.
func (p *Placer) urgentBudget(j *Job) bool {
	return j.standing.mostUrgent() && !p.Without.Has(ablator.PriorityBudgets)
}

// heldLimit is for how long a request looks for a slot before it is refused.
func (p *Placer) heldLimit(j *Job) time.Duration {
	share := heldShare
	if p.urgentBudget(j) {
		share = urgentHeldShare
	}
	return time.Duration(share * float64(j.Route.Objective))
}

// admitPlain tells whether a request may go to a plain service now. During a shortage those that are less urgent
// than others which come may at a learned rate only.
func (p *Placer) admitPlain(j *Job) bool {
	if j.standing == nil {
		return true
	}
	return p.admission.Admit(j.Service, j.standing.rank(), p.Clock.Now())
}

// notePlainLoad takes the load of a plain upstream from a reply.
func (p *Placer) notePlainLoad(j *Job, r *Reply) {
	if j.standing != nil {
		p.admission.Replied(j.Service, r.Running, r.Waiting, r.Slots, p.Clock.Now())
	}
}

// notePlainRefusal notes that an upstream refused a request.
func (p *Placer) notePlainRefusal(j *Job) {
	if j.standing != nil && !j.Route.Generates {
		p.admission.Refused(j.Service, p.Clock.Now())
	}
}

// retryAfter is the time to come back for a request of a prioritized service: the most urgent after the
// estimate, the least urgent later, each spread, and never later than callers wait.
func (j *Job) retryAfter(estimate, left time.Duration, random *rand.Rand) time.Duration {
	later := time.Duration(j.standing.rank() * float64(lesserDelay))
	from, spread := estimate+later, urgentSpread+later
	if most := max(time.Duration(retryShare*float64(left)), 0); from+spread > most {
		// Were the bound alone the answer, all would come back in the same moment.
		spread = min(spread, most/2)
		from = most - spread
	}
	return from + time.Duration(random.Int64N(int64(spread)+1))
}

// notePlaced counts and times what became of a request that looked for an upstream.
func (p *Placer) notePlaced(j *Job, began time.Time, err error) {
	if j.standing == nil || p.Metrics == nil {
		return
	}
	outcome := "placed"
	var refused *RefusedError
	switch {
	case err == nil:
	case !errors.As(err, &refused):
		outcome = "left"
	case refused.Kept():
		outcome = "kept"
	default:
		outcome = "refused"
	}
	name := fmt.Sprintf("priority.%d.%s.%s", j.standing.priority, j.Route.Kind, outcome)
	metrics.GetOrRegisterTimer(name, p.Metrics).Update(p.Clock.Since(began))
}

// Kept tells whether the request was refused for the sake of others.
func (e *RefusedError) Kept() bool {
	return e.Reason == scheduler.KeptForUrgent || e.Reason == scheduler.KeptForWorkspaces
}
