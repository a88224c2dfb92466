package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// goodWait is the wait before the reading of a prompt that is taken at once. A
	// longer one is taken only when no other engine is better.
	goodWait = 40 * time.Millisecond
	// firstAsked is how many engines are asked for a good wait.
	firstAsked = 3
	// firstEventTime is what a first event needs beyond waiting and reading: the pass
	// under way, the pass that writes it, and the way to the caller.
	firstEventTime = 190 * time.Millisecond
	// leastBudget is the wait accepted even when the objective leaves none.
	leastBudget = 60 * time.Millisecond
	// contendedShare is the part of a contended service's shortest objective for which requests
	// may queue at an engine. It is the same for all kinds: an engine reads prompts in the order
	// of their arrival, so a kind that may queue for longer would keep the others out.
	contendedShare = 0.4
	// mostBudget bounds the reading ahead of a request: everything read in one pass
	// is a pause for those who write.
	mostBudget = 300 * time.Millisecond
	// askedShare is the part of the objective after which no further engine is asked,
	// leastAsked the least time for it: one agent that is silent, and a few that answer.
	askedShare = 0.2
	leastAsked = 60 * time.Millisecond
	// closedPause, fullPause and sparePause are how long at most an engine isn't asked
	// that takes nothing, has no place, or has none to spare: what it said is soon out
	// of date, and a place that nobody asks for stands empty.
	closedPause = 100 * time.Millisecond
	fullPause   = 25 * time.Millisecond
	sparePause  = 150 * time.Millisecond
)

// placeAtEngine asks the agents of the most promising engines: first for a short
// wait, then for any that the objective allows. An engine at which this entry has all its
// connections in use isn't asked: its agent doesn't know of connections and would grant a
// place that can't be used. A connection counts from the question on, so that requests of
// the same moment don't all count on the last one.
func (p *Placer) placeAtEngine(ctx context.Context, view *registrar.View, s *matcher.Service, j *Job) (*Place, error) {
	us, err := p.eligible(view, j)
	if err != nil {
		return nil, err
	}
	if late := p.checkTimeLeft(j, leastTime(s.Engine, j)); late != nil {
		return nil, p.refuse(j, late)
	}
	if err := p.checkCanEnd(s.Engine, j); err != nil {
		return nil, err
	}
	began := p.Clock.Now()
	budget := p.queueingBudget(s, j)
	j.noteBudget(budget)
	free, opens := time.Duration(0), time.Duration(0)
	var waits []engineWait
	var endsLate *ShutdownError
	var ramping []*registrar.UpstreamView
	j.beyond = p.beyondRamps(us)
	met := &j.met
	met.PassedOver, met.Unasked, met.Silent, met.Connections, met.EndsLate, met.CallerLeaves, met.Ramping = 0, 0, 0, 0, 0, 0, 0
	order := p.order(us, j.Model, p.work(s.Engine, j))
	for next, ok := order.Next(); ok; next, ok = order.Next() {
		u, first := us[next], len(us)-order.Left() <= firstAsked
		if p.askedLongEnough(j, began) {
			met.countRest(p, j, us, order, next)
			break
		}
		if full := p.fullFor(u.ID, j); full > 0 {
			free, opens = least(free, full), least(opens, p.Chooser.Opens(u.ID))
			met.passOver(p.whyPassedOver(u.ID, j))
			continue
		}
		limit := budget
		if first {
			limit = min(goodWait, budget)
		}
		if !p.Chooser.BeginWithin(u.ID, p.connections(u)) {
			met.Connections++
			continue
		}
		place, v, late := p.askInTime(ctx, view, u, j, limit)
		if place != nil {
			return place, nil
		}
		if late != nil {
			if met.EndsLate == firstAsked {
				return nil, p.refuse(j, late)
			}
			endsLate = late
			continue
		}
		p.Chooser.End(u.ID)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		met.note(v)
		if v == nil {
			continue
		}
		if v.EndsLate {
			if met.CallerLeaves == firstAsked {
				return nil, p.refuseLate(j)
			}
			continue
		}
		if v.ClosedReason != "" {
			p.Chooser.Closed(u.ID, v.ClosedReason, closedFor(v.FreeIn()), v.FreeIn())
			opens = least(opens, v.FreeIn())
			continue
		}
		free = least(free, v.FreeIn())
		if isHeld(v) {
			met.Ramping++
			ramping = p.noteHeld(u, j, v, ramping)
			continue
		}
		room := v.Wait() <= budget && v.Active < v.Slots && v.KeptFor == ""
		if !room {
			j.noteRefusal(v)
		}
		if !room || limit == budget {
			p.noteNoSlot(u.ID, j, v)
			continue
		}
		waits = append(waits, engineWait{u, v.Wait()})
	}
	slices.SortFunc(waits, func(a, b engineWait) int { return int(a.wait - b.wait) })
	for _, w := range waits {
		if !p.Chooser.BeginWithin(w.upstream.ID, p.connections(w.upstream)) {
			met.Connections++
			continue
		}
		place, v, late := p.askInTime(ctx, view, w.upstream, j, budget)
		if place != nil {
			return place, nil
		}
		if late != nil {
			return nil, p.refuse(j, late)
		}
		p.Chooser.End(w.upstream.ID)
		if v != nil && v.ClosedReason == "" && !v.EndsLate {
			p.noteNoSlot(w.upstream.ID, j, v)
		}
	}
	if place := p.askBeyondRamp(ctx, view, ramping, j, budget); place != nil {
		return place, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if endsLate != nil {
		return nil, p.refuse(j, endsLate)
	}
	if met.CallerLeaves > 0 && free == 0 && opens == 0 && met.Silent+met.Unasked+met.Connections == 0 {
		return nil, p.refuseLate(j)
	}
	return nil, &RefusedError{Reason: met.reason(j), RetryAfter: max(free, busyRetry), Opens: opens, Met: *met}
}

// closedFor is how long an engine isn't asked that takes nothing and should open after a time; 0 when
// that isn't known.
func closedFor(opens time.Duration) time.Duration {
	if opens == 0 {
		return closedPause
	}
	return min(opens, closedPause)
}

// passOver counts an engine that isn't asked; why is what its agent said if it was closed.
func (m *Met) passOver(why string) {
	m.PassedOver++
	if why != "" {
		m.WhyClosed = why
	}
}

// note counts an agent's answer that is no grant; nil when there was none.
func (m *Met) note(v *messenger.Decision) {
	switch {
	case v == nil:
		m.Silent++
	case v.ClosedReason != "":
		m.Closed++
		m.WhyClosed = v.ClosedReason
	case v.EndsLate:
		m.CallerLeaves++
	default:
		m.Full++
	}
}

// askedLongEnough tells whether a request should be refused rather than ask on. Agents
// that are dead or behind a full link each take AskTimeout; a caller that waits for
// several of them in turn only hears later that there is no place.
func (p *Placer) askedLongEnough(j *Job, began time.Time) bool {
	limit := time.Duration(askedShare * float64(j.Route.Objective))
	return limit > 0 && p.Clock.Since(began) > max(limit, leastAsked)
}

// engineWait is an engine that would have had the request wait.
type engineWait struct {
	upstream *registrar.UpstreamView
	wait     time.Duration
}

// noteFull keeps that an engine has no place, or none to spare.
func (p *Placer) noteFull(id string, j *Job, free time.Duration) {
	if p.late(j) || j.mover.looking {
		p.Chooser.Full(id, true, min(free, sparePause))
		return
	}
	p.Chooser.Full(id, false, min(free, fullPause))
}

// least is the shorter of two times; 0 is none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// late tells whether a request can't be answered within its objective any more.
func (p *Placer) late(j *Job) bool {
	if j.Again {
		return false
	}
	return j.Returned || j.Route.Objective > 0 && p.Clock.Since(j.Arrived)+firstEventTime > j.Route.Objective
}

// budgetLimit bounds how long a request may queue at a service's engines.
func (p *Placer) budgetLimit(s *matcher.Service, j *Job) time.Duration {
	if s.Objective == 0 || p.urgentBudget(j) || !p.contention.Contended(s.Name, p.Clock.Now()) || p.Without.Has(ablator.EqualBudgets) {
		return mostBudget
	}
	return min(max(time.Duration(contendedShare*float64(s.Objective)), leastBudget), mostBudget)
}

// queueingBudget is how long a request may wait before its prompt is read and still be
// answered within its objective. Its own reading is not taken off in full: long
// prompts would never be served under load.
func (p *Placer) queueingBudget(s *matcher.Service, j *Job) time.Duration {
	if j.Again {
		return mostBudget
	}
	if p.late(j) {
		return goodWait
	}
	left := j.Route.Objective - p.Clock.Since(j.Arrived) - firstEventTime - scheduler.ReadTime(s.Engine, min(j.Prompt, s.Engine.UsualPrompt))
	return min(max(left, leastBudget), p.budgetLimit(s, j))
}
