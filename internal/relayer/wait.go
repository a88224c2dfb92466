package relayer

import (
	"context"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
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
	// lateShare is the part of its caller's remaining time for which a late request waits at most: a
	// reply takes as long again.
	lateShare = 0.33
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
	place, err := p.placeNow(ctx, j)
	if err == nil || ctx.Err() != nil || !p.generates(j) {
		return place, err
	}
	w := p.slotWait(j)
	for p.Clock.Since(began)+w.pause <= w.limit {
		select {
		case <-ctx.Done():
			p.endWait(j, w, false, ctx.Err())
			return nil, ctx.Err()
		case <-p.Clock.After(w.pause):
		}
		place, err = p.placeNow(ctx, j)
		if err == nil || ctx.Err() != nil || !w.late && p.late(j) {
			break
		}
	}
	p.endWait(j, w, err == nil, ctx.Err())
	return place, err
}

// generates tells whether a job's service has engines.
func (p *Placer) generates(j *Job) bool {
	service := p.Registrar.View().Table.Services[j.Service]
	return service != nil && service.Engine != nil
}

// slotWait is how long a request that found no slot looks for one.
func (p *Placer) slotWait(j *Job) slotWait {
	switch {
	case j.Again:
		return slotWait{limit: againHeld, pause: heldPause}
	case !p.late(j):
		limit := time.Duration(heldShare * float64(j.Route.Objective))
		if p.Without.Has(ablator.AdmissionWait) {
			limit = 0
		}
		return slotWait{limit: limit, pause: heldPause}
	case j.Returned && !p.Without.Has(ablator.LateWait) && p.lateWaits.Begin(j.Service, p.Clock.Now()):
		return slotWait{limit: p.lateLimit(j), pause: latePause, late: true}
	default:
		return slotWait{pause: heldPause}
	}
}

// lateLimit is how long a late request waits for a slot: until each slot of an engine should have come
// free once.
func (p *Placer) lateLimit(j *Job) time.Duration {
	e := p.Registrar.View().Table.Services[j.Service].Engine
	turnover := time.Duration(max(1, e.Slots)) * scheduler.TurnTime(e)
	return min(turnover, time.Duration(lateShare*float64(j.Deadline.Sub(p.Clock.Now()))))
}

// endWait notes what became of a request that looked for a slot; left is set if nobody waits for it
// any more.
func (p *Placer) endWait(j *Job, w slotWait, placed bool, left error) {
	now := p.Clock.Now()
	switch {
	case w.late && left != nil:
		p.lateWaits.Abandon(j.Service)
	case w.late:
		p.lateWaits.End(j.Service, placed, now)
	case !placed && left == nil && !p.late(j):
		p.contention.Refused(j.Service, now)
	}
}
