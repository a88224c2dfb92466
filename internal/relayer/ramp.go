package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// attemptEnd is how an attempt ended, as far as it tells of its upstream.
type attemptEnd uint8

const (
	attemptUnjudged attemptEnd = iota
	attemptFailed
	attemptRefused
)

// progressAtEnd is what an agent learns when a request needs its slot no more.
func (p *Place) progressAtEnd(id string) messenger.Progress {
	progress := messenger.Progress{Ended: []string{id}}
	switch p.attempt {
	case attemptFailed:
		progress.Failed = progress.Ended
	case attemptRefused:
		progress.Refused = progress.Ended
	case attemptUnjudged:
	}
	return progress
}

// judge notes at its place how an attempt ended. What its caller or this entry ended tells nothing of
// the upstream. Silence is judged by the agent's own clock, and a connection that was never made by its look
// at the engine.
func (j *Job) judge(place *Place, err error) {
	var s *SendError
	if !errors.As(err, &s) || keptBack(err) || isOvertaken(err) || j.left != nil && j.left() {
		return
	}
	switch {
	case s.Status >= http.StatusInternalServerError && s.Outcome != retrier.NotRun || isCut(err):
		place.attempt = attemptFailed
	case s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests:
		place.attempt = attemptRefused
	}
}

// judgeAnswer tells the slow start of an upstream without an agent how long its answer took.
func (c *call) judgeAnswer(x *exchange) {
	if c.stream == nil {
		c.Chooser.Judge(x.upstream, time.Since(x.sentAt), c.Route.Objective)
	}
}

// isHeld tells whether the slow start of an engine alone kept a request out.
func isHeld(v *messenger.Decision) bool { return v.Ramp != nil && v.Ramp.Limited }

// beyondRamps is why a request need not keep to the slow starts of engines, if most of them have just
// started.
func (p *Placer) beyondRamps(us []*registrar.UpstreamView) scheduler.Beyond {
	if p.Chooser.MostRamp(len(us), func(i int) string { return us[i].ID }) {
		return scheduler.AllRamping
	}
	return scheduler.WithinRamp
}

// noteHeld adds an engine whose slow start kept a request out to those that are asked again if the others
// are full. One that hasn't answered well so far isn't, and isn't asked by others for a moment either.
func (p *Placer) noteHeld(u *registrar.UpstreamView, j *Job, v *messenger.Decision, held []*registrar.UpstreamView) []*registrar.UpstreamView {
	if !v.Ramp.Healthy {
		p.noteFull(u.ID, j, v.FreeIn())
		return held
	}
	return append(held, u)
}

// askBeyondRamp asks engines in their slow start again for a request that found no slot elsewhere; nil
// if none lets it in.
func (p *Placer) askBeyondRamp(ctx context.Context, view *registrar.View, us []*registrar.UpstreamView, j *Job, budget time.Duration) *Place {
	j.beyond = scheduler.OthersFull
	for _, u := range us[:min(len(us), firstAsked)] {
		if !p.Chooser.BeginWithin(u.ID, p.connections(u)) {
			j.met.Connections++
			continue
		}
		place, _, late := p.askInTime(ctx, view, u, j, budget)
		if place != nil {
			return place
		}
		if late == nil {
			p.Chooser.End(u.ID)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// NoteRamps updates the gauges of slow starts, one for each service.
func (p *Placer) NoteRamps() {
	view := p.Registrar.View()
	if view == nil || view.Table == nil || p.Metrics == nil || p.Without.Has(ablator.SlowStart) {
		return
	}
	for name := range view.Table.Services {
		ramping := 0
		for _, u := range view.Service(name) {
			if p.Chooser.Ramping(u.ID) {
				ramping++
			}
		}
		metrics.GetOrRegisterGauge("ramping."+name, p.Metrics).Update(int64(ramping))
	}
}
