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
	// heldShare is the part of the objective for which a request is kept back while
	// all engines are full, before it is refused.
	heldShare = 0.11
	// againHeld is how long a slot is looked for after a failed attempt: callers leave a
	// stream that pauses for two seconds or more.
	againHeld = 600 * time.Millisecond
	// heldPause is the pause between two rounds of questions, latePause the same for late requests,
	// which wait for longer.
	heldPause = 20 * time.Millisecond
	latePause = 60 * time.Millisecond
	// openingSlack is how much later than expected an engine may open: its agent looks every 20 ms.
	openingSlack = 60 * time.Millisecond
)

// slotWait is how long a request looks for a slot before it is refused.
type slotWait struct {
	limit, pause time.Duration
	// late waits are those of late requests, which are allowed only while they get slots.
	late bool
}

// Place finds an upstream. Errors are *RefusedError and the context's.
func (p *Placer) Place(ctx context.Context, j *Job) (*Place, error) {
	began := p.Clock.Now()
	place, err := p.place(ctx, j, began)
	p.notePlaced(j, began, err)
	return place, err
}

func (p *Placer) place(ctx context.Context, j *Job, began time.Time) (*Place, error) {
	place, err := p.placeNow(ctx, j)
	if err == nil || ctx.Err() != nil || isFinal(err) {
		return place, err
	}
	service := p.Registrar.View().Table.Services[j.Service]
	if service == nil || service.Engine == nil {
		return place, err
	}
	w := p.slotWait(j, service.Engine, err)
	for p.Clock.Since(began)+w.pause <= w.limit {
		select {
		case <-ctx.Done():
			p.endWait(j, w, false, ctx.Err())
			return nil, ctx.Err()
		case <-p.Clock.After(w.pause):
		}
		place, err = p.placeNow(ctx, j)
		if isFinal(err) {
			p.endWait(j, w, false, err)
			return nil, err
		}
		if err == nil || ctx.Err() != nil || !w.late && p.missesObjective(j) {
			break
		}
	}
	p.endWait(j, w, err == nil, ctx.Err())
	return place, err
}

// slotWait is how long a request that found no slot, for a reason, looks for one.
func (p *Placer) slotWait(j *Job, e *matcher.Engine, reason error) slotWait {
	switch rest := restLeft(reason); {
	case rest > againHeld || rest > 0 && !j.Again:
		return slotWait{pause: heldPause}
	case j.Again:
		return slotWait{limit: againHeld, pause: heldPause}
	case !p.missesObjective(j):
		limit := p.heldLimit(j)
		if p.Without.Has(ablator.AdmissionWait) {
			limit = 0
		}
		return slotWait{limit: max(limit, p.openingWait(j, e, reason)), pause: heldPause}
	case j.Returned && !p.Without.Has(ablator.LateWait):
		return p.lateWait(j, e)
	default:
		return slotWait{pause: heldPause}
	}
}

// restLeft is in how long the first upstream takes requests again, if a request was refused as all
// asked for rest; else 0.
func restLeft(reason error) time.Duration {
	var refused *RefusedError
	if !errors.As(reason, &refused) {
		return 0
	}
	return refused.Rest
}

// lateWait is how long a late request looks for a slot: until each slot of an engine should have come
// free once, or until its caller or this entry has no more time than a reply takes.
func (p *Placer) lateWait(j *Job, e *matcher.Engine) slotWait {
	turnover := time.Duration(max(1, e.Slots)) * scheduler.TurnTime(e)
	left, _ := p.bound(j)
	limit := min(turnover, left-turnover)
	if limit < latePause {
		return slotWait{pause: latePause}
	}
	if !p.lateWaits.Begin(j.Service, p.Clock.Now()) {
		p.count("lateWaits.suspended")
		return slotWait{pause: latePause}
	}
	return slotWait{limit: limit, pause: latePause, late: true}
}

func (p *Placer) count(name string) {
	if p.Metrics != nil {
		metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1)
	}
}

// openingWait is how long a request waits for an engine that loads weights; 0 if it could not be in
// time there.
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

// endWait notes what became of a request that looked for a slot; left is why it does so no more, if
// its caller or this entry leaves.
func (p *Placer) endWait(j *Job, w slotWait, placed bool, left error) {
	now := p.Clock.Now()
	switch {
	case w.late && left != nil:
		p.lateWaits.Abandon(j.Service)
	case w.late && placed:
		p.count("lateWaits.placed")
		p.lateWaits.End(j.Service, true, now)
	case w.late:
		p.count("lateWaits.missed")
		p.lateWaits.End(j.Service, false, now)
	case !placed && left == nil && !p.missesObjective(j):
		p.contention.Refused(j.Service, now)
	}
}
