package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// slotWaitShare is the part of the objective for which a request waits for a slot while all
	// engines are full, before it is refused.
	slotWaitShare = 0.11
	// retrySlotWait is how long a retry waits for a slot: callers leave a stream that pauses for
	// two seconds or more.
	retrySlotWait = 600 * time.Millisecond
	// slotPollInterval is the pause between two rounds of reservations, latePollInterval that of
	// late requests, which wait longer.
	slotPollInterval = 20 * time.Millisecond
	latePollInterval = 60 * time.Millisecond
	// openingSlack is how much later than expected an engine may open: its agent checks every 20
	// ms.
	openingSlack = 60 * time.Millisecond
)

// slotWait is how long and how often a request tries to get a slot before it is refused.
type slotWait struct {
	limit, pollInterval time.Duration
	// late marks the waits of late requests, which are allowed only while they get slots.
	late bool
}

// Place finds an upstream. Errors are *RefusedError and the context's.
func (p *Placer) Place(ctx context.Context, j *Job) (*Placement, error) {
	startedAt := p.Clock.Now()
	place, err := p.placeWithWait(ctx, j, startedAt)
	p.recordPlacement(j, startedAt, err)
	return place, err
}

func (p *Placer) placeWithWait(ctx context.Context, j *Job, startedAt time.Time) (*Placement, error) {
	place, err := p.placeOnce(ctx, j)
	if err == nil || ctx.Err() != nil || isFinalRefusal(err) {
		return place, err
	}
	service := p.Registrar.View().Table.Services[j.Service]
	if service == nil || service.Engine == nil {
		return place, err
	}
	w := p.slotWaitFor(j, service.Engine, err)
	for p.Clock.Since(startedAt)+w.pollInterval <= w.limit {
		select {
		case <-ctx.Done():
			p.recordWait(j, w, false, ctx.Err())
			return nil, ctx.Err()
		case <-p.Clock.After(w.pollInterval):
		}
		place, err = p.placeOnce(ctx, j)
		if isFinalRefusal(err) {
			p.recordWait(j, w, false, err)
			return nil, err
		}
		if err == nil || ctx.Err() != nil || !w.late && p.missesObjective(j) {
			break
		}
	}
	p.recordWait(j, w, err == nil, ctx.Err())
	return place, err
}

// slotWaitFor returns how a request that found no slot, for a reason, waits for one.
func (p *Placer) slotWaitFor(j *Job, e *matcher.Engine, reason error) slotWait {
	switch backoff := backoffOf(reason); {
	case backoff > retrySlotWait || backoff > 0 && !j.Again:
		return slotWait{pollInterval: slotPollInterval}
	case j.Again:
		return slotWait{limit: retrySlotWait, pollInterval: slotPollInterval}
	case !p.missesObjective(j):
		limit := p.slotWaitLimit(j)
		if p.Without.Has(ablator.AdmissionWait) {
			limit = 0
		}
		return slotWait{limit: max(limit, p.openingWait(j, e, reason)), pollInterval: slotPollInterval}
	case j.Returned && !p.Without.Has(ablator.LateWait):
		return p.lateWait(j, e)
	default:
		return slotWait{pollInterval: slotPollInterval}
	}
}

// backoffOf is the time until the first upstream takes requests again, if a request was refused
// because all are backing off; else 0.
func backoffOf(reason error) time.Duration {
	var refused *RefusedError
	if !errors.As(reason, &refused) {
		return 0
	}
	return refused.Rest
}

// lateWait returns how a late request waits for a slot: until each slot of an engine should have
// been freed once, or until the time left to its caller or this entry only suffices for a reply.
func (p *Placer) lateWait(j *Job, e *matcher.Engine) slotWait {
	turnover := time.Duration(max(1, e.Slots)) * scheduler.SlotTurnaround(e)
	left, _ := p.timeLeft(j)
	limit := min(turnover, left-turnover)
	if limit < latePollInterval {
		return slotWait{pollInterval: latePollInterval}
	}
	if !p.lateWaits.Begin(j.Service, p.Clock.Now()) {
		p.incCounter("lateWaits.suspended")
		return slotWait{pollInterval: latePollInterval}
	}
	return slotWait{limit: limit, pollInterval: latePollInterval, late: true}
}

func (p *Placer) incCounter(name string) {
	if p.Metrics != nil {
		metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1)
	}
}

// openingWait is how long a request waits for an engine that loads weights; 0 if it would be too
// late there.
func (p *Placer) openingWait(j *Job, e *matcher.Engine, reason error) time.Duration {
	var refused *RefusedError
	if !errors.As(reason, &refused) || refused.Opens == 0 {
		return 0
	}
	wait := refused.Opens + openingSlack
	needs := firstEventOverhead + scheduler.ReadTime(e, min(j.Prompt, e.UsualPrompt))
	if p.Clock.Since(j.Arrived)+wait+needs > j.Route.Objective {
		return 0
	}
	return wait
}

// recordWait records the outcome of a wait for a slot; left is set if it ended because the caller
// left or this entry shuts down.
func (p *Placer) recordWait(j *Job, w slotWait, placed bool, left error) {
	now := p.Clock.Now()
	switch {
	case w.late && left != nil:
		p.lateWaits.Abandon(j.Service)
	case w.late && placed:
		p.incCounter("lateWaits.placed")
		p.lateWaits.End(j.Service, true, now)
	case w.late:
		p.incCounter("lateWaits.missed")
		p.lateWaits.End(j.Service, false, now)
	case !placed && left == nil && !p.missesObjective(j):
		p.contention.RecordRefusal(j.Service, now)
	}
}
