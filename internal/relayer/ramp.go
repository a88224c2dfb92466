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

// attemptOutcome is what an attempt's end shows of its upstream.
type attemptOutcome uint8

const (
	attemptNeutral attemptOutcome = iota
	attemptFailed
	attemptRefused
)

// endProgress is the progress reported to an agent when a request frees its slot.
func (p *Placement) endProgress(id string) messenger.Progress {
	progress := messenger.Progress{Ended: []string{id}}
	switch p.outcome {
	case attemptFailed:
		progress.Failed = progress.Ended
	case attemptRefused:
		progress.Refused = progress.Ended
	case attemptNeutral:
	}
	return progress
}

// recordOutcome records at its place how an attempt ended. An end by the caller or this entry shows
// nothing of the upstream. The agent detects an unresponsive engine by its own timeout, and a
// failed connection by its checks of the engine.
func (j *Job) recordOutcome(place *Placement, err error) {
	var s *SendError
	if !errors.As(err, &s) || isLocalFailure(err) || isOvertaken(err) || j.callerLeft != nil && j.callerLeft() {
		return
	}
	switch {
	case s.Status >= http.StatusInternalServerError && s.Outcome != retrier.NotRun || isConnectionCut(err):
		place.outcome = attemptFailed
	case s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests:
		place.outcome = attemptRefused
	}
}

// recordAnswerTime reports the duration of an answer to the slow start of an upstream without an
// agent.
func (c *call) recordAnswerTime(x *exchange) {
	if c.stream == nil {
		c.Chooser.RecordLatency(x.upstream, time.Since(x.sentAt), c.Route.Objective)
	}
}

// isHeldByRamp reports whether only the slow start of an engine refused a request.
func isHeldByRamp(v *messenger.Decision) bool { return v.Ramp != nil && v.Ramp.Limited }

// rampOverrideFor returns why a request may exceed the slow starts of engines: most of them have
// just started.
func (p *Placer) rampOverrideFor(us []*registrar.UpstreamView) scheduler.RampBypass {
	if p.Chooser.MostlyRamping(len(us), func(i int) string { return us[i].ID }) {
		return scheduler.AllRamping
	}
	return scheduler.WithinRamp
}

// addHeldByRamp adds an engine that refused a request only for its slow start to those asked again
// if the others are full. One without good answers so far isn't added, and is marked as full for a
// moment.
func (p *Placer) addHeldByRamp(u *registrar.UpstreamView, j *Job, v *messenger.Decision, held []*registrar.UpstreamView) []*registrar.UpstreamView {
	if !v.Ramp.Healthy {
		p.markFull(u.ID, j, v.FreeIn())
		return held
	}
	return append(held, u)
}

// reserveBeyondRamp asks engines in slow start again for a request that found no slot elsewhere;
// nil if none admits it.
func (p *Placer) reserveBeyondRamp(ctx context.Context, view *registrar.View, us []*registrar.UpstreamView, j *Job, budget time.Duration) *Placement {
	j.rampOverride = scheduler.OthersFull
	for _, u := range us[:min(len(us), preferredEngines)] {
		if !p.Chooser.TryBegin(u.ID, p.connectionLimit(u)) {
			j.refusals.Connections++
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

// UpdateRampGauges updates the gauges of slow starts, one per service.
func (p *Placer) UpdateRampGauges() {
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
