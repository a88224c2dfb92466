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
	// shortWait is the wait before a prompt is read that is accepted at once. A longer one is accepted only if
	// no other engine is better.
	shortWait = 40 * time.Millisecond
	// preferredEngines is how many engines are first asked for a short wait.
	preferredEngines = 3
	// firstEventOverhead is what a first event takes besides waiting and reading: the pass under way, the pass
	// that writes it, and the way to the caller.
	firstEventOverhead = 190 * time.Millisecond
	// minBudget is the wait accepted even if the objective leaves none.
	minBudget = 60 * time.Millisecond
	// contendedBudgetShare is the part of a contended service's shortest objective for which requests may queue
	// at an engine. It is the same for all kinds: an engine reads prompts in the order of their arrival, so a
	// kind that may queue for longer would keep the others out.
	contendedBudgetShare = 0.4
	// maxBudget limits the reading ahead of a request: everything read in one pass delays the requests that are
	// writing.
	maxBudget = 300 * time.Millisecond
	// askTimeShare is the part of the objective after which no further engine is asked, minAskTime the least
	// time for it: enough for one unresponsive agent and a few that answer.
	askTimeShare = 0.2
	minAskTime   = 60 * time.Millisecond
	// closedSkipTime, fullSkipTime and spareSkipTime are how long at most an engine isn't asked that is closed,
	// has no free slot, or has none to spare: its answer is soon out of date, and a free slot that nobody
	// requests stays unused.
	closedSkipTime = 100 * time.Millisecond
	fullSkipTime   = 25 * time.Millisecond
	spareSkipTime  = 150 * time.Millisecond
)

// placeAtEngine asks the agents of the most promising engines: first for a short wait, then for any that the
// objective allows. An engine at which this entry has all its connections in use isn't asked: its agent doesn't
// count connections and would grant a slot that can't be used. A connection counts from the time of asking, so
// that concurrent requests don't all count on the last one.
func (p *Placer) placeAtEngine(ctx context.Context, view *registrar.View, s *matcher.Service, j *Job) (*Placement, error) {
	us, err := p.eligible(view, j)
	if err != nil {
		return nil, err
	}
	if late := p.checkTimeLeft(j, unloadedTime(s.Engine, j)); late != nil {
		return nil, p.shutdownRefusal(j, late)
	}
	if err := p.checkCanEnd(s.Engine, j); err != nil {
		return nil, err
	}
	start := p.Clock.Now()
	budget := p.queueingBudget(s, j)
	j.setBudget(budget)
	freeIn, opensIn := time.Duration(0), time.Duration(0)
	var waits []waitOffer
	var endsLate *ShutdownError
	var ramping []*registrar.UpstreamView
	j.rampOverride = p.rampOverrideFor(us)
	refusals := &j.refusals
	refusals.PassedOver, refusals.Unasked, refusals.Silent, refusals.Connections, refusals.EndsLate, refusals.CallerLeaves, refusals.Ramping = 0, 0, 0, 0, 0, 0, 0
	order := p.rank(us, j.Model, p.workFor(s.Engine, j))
	for next, ok := order.Next(); ok; next, ok = order.Next() {
		u, first := us[next], len(us)-order.Left() <= preferredEngines
		if p.askTimeSpent(j, start) {
			refusals.countUnasked(p, j, us, order, next)
			break
		}
		if full := p.fullFor(u.ID, j); full > 0 {
			freeIn, opensIn = minNonZero(freeIn, full), minNonZero(opensIn, p.Chooser.OpensIn(u.ID))
			refusals.countPassedOver(p.whyPassedOver(u.ID, j))
			continue
		}
		limit := budget
		if first {
			limit = min(shortWait, budget)
		}
		if !p.Chooser.TryBegin(u.ID, p.connectionLimit(u)) {
			refusals.Connections++
			continue
		}
		place, v, late := p.askInTime(ctx, view, u, j, limit)
		if place != nil {
			return place, nil
		}
		if late != nil {
			if refusals.EndsLate == preferredEngines {
				return nil, p.shutdownRefusal(j, late)
			}
			endsLate = late
			continue
		}
		p.Chooser.End(u.ID)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		refusals.countAnswer(v)
		if v == nil {
			continue
		}
		if v.EndsLate {
			if refusals.CallerLeaves == preferredEngines {
				return nil, p.refuseLate(j)
			}
			continue
		}
		if v.ClosedReason != "" {
			p.Chooser.RecordClosed(u.ID, v.ClosedReason, closedSkip(v.FreeIn()), v.FreeIn())
			opensIn = minNonZero(opensIn, v.FreeIn())
			continue
		}
		freeIn = minNonZero(freeIn, v.FreeIn())
		if isHeldByRamp(v) {
			refusals.Ramping++
			ramping = p.addHeldByRamp(u, j, v, ramping)
			continue
		}
		hasSlot := v.Wait() <= budget && v.Active < v.Slots && v.KeptFor == ""
		if !hasSlot {
			j.countRefusal(v)
		}
		if !hasSlot || limit == budget {
			p.markNoSlot(u.ID, j, v)
			continue
		}
		waits = append(waits, waitOffer{u, v.Wait()})
	}
	slices.SortFunc(waits, func(a, b waitOffer) int { return int(a.wait - b.wait) })
	for _, w := range waits {
		if !p.Chooser.TryBegin(w.upstream.ID, p.connectionLimit(w.upstream)) {
			refusals.Connections++
			continue
		}
		place, v, late := p.askInTime(ctx, view, w.upstream, j, budget)
		if place != nil {
			return place, nil
		}
		if late != nil {
			return nil, p.shutdownRefusal(j, late)
		}
		p.Chooser.End(w.upstream.ID)
		if v != nil && v.ClosedReason == "" && !v.EndsLate {
			p.markNoSlot(w.upstream.ID, j, v)
		}
	}
	if place := p.reserveBeyondRamp(ctx, view, ramping, j, budget); place != nil {
		return place, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if endsLate != nil {
		return nil, p.shutdownRefusal(j, endsLate)
	}
	if refusals.CallerLeaves > 0 && freeIn == 0 && opensIn == 0 && refusals.Silent+refusals.Unasked+refusals.Connections == 0 {
		return nil, p.refuseLate(j)
	}
	return nil, &RefusedError{Reason: refusals.reason(j), RetryAfter: max(freeIn, defaultRetryAfter), Opens: opensIn, Met: *refusals}
}

// closedSkip is how long a closed engine isn't asked; opensIn is the time in which it should open, 0 if unknown.
func closedSkip(opensIn time.Duration) time.Duration {
	if opensIn == 0 {
		return closedSkipTime
	}
	return min(opensIn, closedSkipTime)
}

// countPassedOver counts an engine that isn't asked; why is the reason its agent stated if it was closed.
func (m *RefusalSummary) countPassedOver(why string) {
	m.PassedOver++
	if why != "" {
		m.WhyClosed = why
	}
}

// countAnswer counts an agent's answer that is no grant; nil if there was none.
func (m *RefusalSummary) countAnswer(v *messenger.Decision) {
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

// askTimeSpent reports whether a request should be refused rather than ask further engines. Agents that are dead
// or behind a congested link each take ReserveTimeout; waiting for several of them in turn only delays the refusal.
func (p *Placer) askTimeSpent(j *Job, start time.Time) bool {
	limit := time.Duration(askTimeShare * float64(j.Route.Objective))
	return limit > 0 && p.Clock.Since(start) > max(limit, minAskTime)
}

// waitOffer is an engine and the wait that it offered for the request.
type waitOffer struct {
	upstream *registrar.UpstreamView
	wait     time.Duration
}

// markFull records that an engine has no free slot, or none to spare.
func (p *Placer) markFull(id string, j *Job, freeIn time.Duration) {
	if p.missesObjective(j) || j.mover.placing {
		p.Chooser.RecordFull(id, true, min(freeIn, spareSkipTime))
		return
	}
	p.Chooser.RecordFull(id, false, min(freeIn, fullSkipTime))
}

// minNonZero returns the shorter of two times; 0 is none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// missesObjective reports whether it is too late to answer a request within its objective.
func (p *Placer) missesObjective(j *Job) bool {
	if j.Again {
		return false
	}
	return j.Returned || j.Route.Objective > 0 && p.Clock.Since(j.Arrived)+firstEventOverhead > j.Route.Objective
}

// maxQueueingBudget limits how long a request may queue at a service's engines.
func (p *Placer) maxQueueingBudget(s *matcher.Service, j *Job) time.Duration {
	if s.Objective == 0 || p.usesFullBudget(j) || !p.contention.Contended(s.Name, p.Clock.Now()) || p.Without.Has(ablator.EqualBudgets) {
		return maxBudget
	}
	return min(max(time.Duration(contendedBudgetShare*float64(s.Objective)), minBudget), maxBudget)
}

// queueingBudget is how long a request may wait before its prompt is read and still be answered within its
// objective. Its own reading is not subtracted in full: long prompts would never be served under load.
func (p *Placer) queueingBudget(s *matcher.Service, j *Job) time.Duration {
	if j.Again {
		return maxBudget
	}
	if p.missesObjective(j) {
		return shortWait
	}
	left := j.Route.Objective - p.Clock.Since(j.Arrived) - firstEventOverhead - scheduler.ReadTime(s.Engine, min(j.Prompt, s.Engine.UsualPrompt))
	return min(max(left, minBudget), p.maxQueueingBudget(s, j))
}
