package scheduler

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// rampStartShare is the part of an upstream's ordinary share at which a ramp starts. Three times that is
	// less than two round trips of good answers away, a quarter of a second at an engine. With a quarter,
	// engines that fail repeatedly cost 0.006 of the worth instead of 0.003 (failsAgain).
	rampStartShare = 1.0 / 3
	// rampDoublingTime is the time in which a limit doubles without answers: an upstream without traffic grows
	// from a third of its share to all of it in 0.8 s.
	rampDoublingTime = 500 * time.Millisecond
	// rampPause is how long growth by time stops after a late or bad answer. Without the stop a server that is
	// always late would reach its whole share by time alone.
	rampPause = 500 * time.Millisecond
	// firstTrialPause is the pause before the next trial after even one request at a time failed; it doubles up
	// to maxTrialPause. A server that fails at once would otherwise fail one request after another.
	firstTrialPause = 200 * time.Millisecond
	maxTrialPause   = 2 * time.Second
	// provingTime is for how long an upstream has to carry its ordinary share after a ramp. A failure within it
	// is a setback: the growth may have caused it, and each setback up to maxSetbacks halves the first limit
	// and the growth of the next ramp. A later failure isn't due to load; delaying such engines, too, cost
	// 0.026 of the worth in failsAgain.
	provingTime = time.Second
	maxSetbacks = 3
)

// Ramp limits the concurrency of an upstream that has just started or recovered. The limit grows by one with
// each good answer, and with time; it stays with late answers and halves with bad ones.
//
// A limit below one is the fraction of requests for which the upstream is considered at all: each of many
// entries sends it less than one request at a time. The zero value is no ramp. Times are passed in; it isn't
// safe for concurrent use.
type Ramp struct {
	// Least is the lower bound of the limit.
	Least float64

	active bool
	reason string
	// limit is the value at limitAt; from then on it grows with time.
	limit     float64
	limitAt   time.Time
	startedAt time.Time
	// endedAt is when the last ramp ended; zero before.
	endedAt  time.Time
	setbacks int
	// pausedUntil is when the next trial is due, failedTrials how many have failed in a row.
	pausedUntil     time.Time
	failedTrials    int
	good, late, bad int
	// healthy reports that the last good answer is newer than the last bad one.
	healthy bool
}

// RampReport summarizes a ramp.
type RampReport struct {
	// Why is the reason for its start.
	Why             string
	Took            time.Duration
	Good, Late, Bad int
	Setbacks        int
}

// GrownBy is what raised the limit to the upstream's ordinary share.
func (r RampReport) GrownBy() string {
	switch {
	case r.Good == 0:
		return "time"
	case r.Late+r.Bad == 0:
		return "good answers"
	default:
		return "good answers and time"
	}
}

// Start starts a ramp towards an ordinary share, for an upstream that has started, or returned after a failure
// at the time failed.
func (r *Ramp) Start(failed, now time.Time, share float64, reason string) {
	if r.active && r.reason != reasonRequestsFail || !r.endedAt.IsZero() && failed.Sub(r.endedAt) < provingTime {
		r.setbacks = min(r.setbacks+1, maxSetbacks)
	} else {
		r.setbacks = 0
	}
	r.StartFrom(now, max(r.Least, rampStartShare*share/float64(int(1)<<r.setbacks)), reason)
}

// StartFrom starts a ramp from a limit.
func (r *Ramp) StartFrom(now time.Time, limit float64, reason string) {
	*r = Ramp{Least: r.Least, active: true, healthy: true, reason: reason, limit: limit, limitAt: now, startedAt: now, endedAt: r.endedAt, setbacks: r.setbacks}
}

// Active reports whether the ramp is under way.
func (r *Ramp) Active() bool { return r.active }

// Healthy reports whether the upstream has answered well since its last bad answer.
func (r *Ramp) Healthy() bool { return r.healthy }

// Limit is the limit at a given time.
func (r *Ramp) Limit(now time.Time) float64 {
	if !now.After(r.limitAt) {
		return r.limit
	}
	return r.limit * math.Exp2(float64(now.Sub(r.limitAt))/float64(r.doublingTime()))
}

func (r *Ramp) doublingTime() time.Duration { return rampDoublingTime << r.setbacks }

// Allows reports whether the limit, at least one, admits one more request beside those that run.
func (r *Ramp) Allows(now time.Time, running int) bool {
	return !now.Before(r.pausedUntil) && running < max(1, int(r.Limit(now)))
}

// Wait is in how long time alone admits one more request beside those that run.
func (r *Ramp) Wait(now time.Time, running int) time.Duration {
	pause := max(0, r.pausedUntil.Sub(now))
	missing := math.Log2(float64(running+1) / r.limit)
	if missing <= 0 {
		return pause
	}
	return max(pause, r.limitAt.Add(time.Duration(missing*float64(r.doublingTime()))).Sub(now))
}

// RecordGood records a good answer.
func (r *Ramp) RecordGood(now time.Time) {
	if !r.active {
		return
	}
	r.applyGrowth(now)
	r.limit += 1 / float64(int(1)<<r.setbacks)
	r.pausedUntil, r.failedTrials = time.Time{}, 0
	r.good++
	r.healthy = true
}

// RecordLate records a good answer that was late. The limit stays as it is.
func (r *Ramp) RecordLate(now time.Time) {
	if !r.active {
		return
	}
	r.applyGrowth(now)
	r.limitAt = now.Add(rampPause)
	r.late++
}

// RecordBad records an answer beyond all bounds, a refusal or a failure.
func (r *Ramp) RecordBad(now time.Time) {
	if !r.active {
		return
	}
	r.applyGrowth(now)
	if r.limit <= max(1, r.Least) && !now.Before(r.pausedUntil) {
		r.pausedUntil = now.Add(min(firstTrialPause<<min(r.failedTrials, 10), maxTrialPause))
		r.failedTrials++
	}
	r.limit = max(r.Least, r.limit/2)
	r.limitAt = now.Add(rampPause)
	r.bad++
	r.healthy = false
}

// applyGrowth applies the growth by time up to now.
func (r *Ramp) applyGrowth(now time.Time) {
	if now.After(r.limitAt) {
		r.limit, r.limitAt = r.Limit(now), now
	}
}

// TryEnd ends the ramp if its limit has reached the upstream's ordinary share, and reports whether it has.
func (r *Ramp) TryEnd(now time.Time, share float64) (RampReport, bool) {
	if !r.active || now.Before(r.pausedUntil) || r.Limit(now) < share {
		return RampReport{}, false
	}
	r.active, r.endedAt = false, now
	return RampReport{Why: r.reason, Took: now.Sub(r.startedAt), Good: r.good, Late: r.late, Bad: r.bad, Setbacks: r.setbacks}, true
}

// logRampStart logs the start of a ramp. Upstream is empty at an agent, whose lines name it.
func logRampStart(upstream string, r *Ramp, share float64) {
	klog.InfoS("Slow start begins", "upstream", upstream, "why", r.reason, "limit", r.limit, "share", share, "setbacks", r.setbacks)
}

func logRampEnd(upstream string, r RampReport) {
	klog.InfoS("Slow start ends", "upstream", upstream, "decided", r.GrownBy(), "why", r.Why, "took", r.Took,
		"good", r.Good, "late", r.Late, "bad", r.Bad, "setbacks", r.Setbacks)
}
