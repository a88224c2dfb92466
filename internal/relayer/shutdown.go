package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// hintMargin is the factor by which an answer may exceed its hint: three in four stay within it.
	hintMargin = 1.4
	// paceMargin is the factor by which a reply may exceed its predicted time: nine in ten of the longest under
	// load stay within it.
	paceMargin = 1.35
	// maxAnswerWithin is how long before its cut an entry that shuts down counts the longest answer instead of
	// the hinted one, by which 3 in 1,000 of the last streams were cut.
	maxAnswerWithin = 4950 * time.Millisecond
)

// Shutdown describes the end of an entry that shuts down.
type Shutdown interface {
	// CutIn is the time until replies in progress are cut; false for an entry that keeps running.
	CutIn() (time.Duration, bool)
	// MustEndIn is the time in which a request of some age must end by its own time limit, as a cut would lose it; false
	// if it may be cut.
	MustEndIn(age time.Duration) (time.Duration, bool)
	// LeastTime is the time that must be left until then for a request of unknown length; 0 for any.
	LeastTime() time.Duration
	// RetryAfter is when refused callers of a host should retry.
	RetryAfter(host string) time.Duration
}

// ShutdownError reports a request that could not end before its entry does.
type ShutdownError struct {
	// Takes is the predicted time for the request, or the rest of its time limit if a prediction isn't enough; CutIn is the
	// time left.
	Takes, CutIn time.Duration
}

func (e *ShutdownError) Error() string {
	return fmt.Sprintf("entry leaves, takes %v of %v left", e.Takes, e.CutIn)
}

// timeToCut is the time until this entry cuts its replies; false for an entry that keeps running.
func (p *Placer) timeToCut() (time.Duration, bool) {
	if p.Shutdown == nil {
		return 0, false
	}
	return p.Shutdown.CutIn()
}

// timeLeft is the time a job has until its caller leaves or, if cut is set, its entry cuts it before that.
func (p *Placer) timeLeft(j *Job) (left time.Duration, cut bool) {
	left = j.Deadline.Sub(p.Clock.Now())
	if cutIn, draining := p.timeToCut(); draining && cutIn < left {
		return cutIn, true
	}
	return left, false
}

// checkTimeLeft reports whether a job that should take some time can end before this entry does. One that may have run
// already continues, as it can't be refused.
func (p *Placer) checkTimeLeft(j *Job, takes time.Duration) *ShutdownError {
	if p.Shutdown == nil || j.Again {
		return nil
	}
	now := p.Clock.Now()
	left, cut := p.timeLeft(j)
	if in, bounded := p.Shutdown.MustEndIn(j.age(now)); bounded {
		takes, left, cut = j.Deadline.Sub(now), in, true
	}
	if !cut || takes <= left {
		return nil
	}
	return &ShutdownError{Takes: takes, CutIn: left}
}

// age is the time since a job's whole request was received.
func (j *Job) age(now time.Time) time.Duration {
	if j.received.IsZero() {
		return now.Sub(j.Arrived)
	}
	return now.Sub(j.received)
}

// checkLeastTime is checkTimeLeft for a job of unknown length.
func (p *Placer) checkLeastTime(j *Job) *ShutdownError {
	if p.Shutdown == nil {
		return nil
	}
	return p.checkTimeLeft(j, p.Shutdown.LeastTime())
}

// checkTimeLeftAt is checkTimeLeft for a job that has a place.
func (p *Placer) checkTimeLeftAt(j *Job, place *Placement) *ShutdownError {
	if place.Ends.IsZero() {
		return p.checkLeastTime(j)
	}
	return p.checkTimeLeft(j, time.Duration(paceMargin*float64(place.Ends.Sub(p.Clock.Now()))))
}

// askInTime asks for a place at which the reply can end before this entry does; late reports that it can't at the
// granted one.
func (p *Placer) askInTime(ctx context.Context, view *registrar.View, u *registrar.UpstreamView, j *Job, budget time.Duration) (place *Placement, v *messenger.Decision, late *ShutdownError) {
	place, v = p.reserve(ctx, view, u, j, budget)
	if place == nil {
		return nil, v, nil
	}
	if late = p.checkTimeLeftAt(j, place); late != nil {
		place.Release()
		j.refusals.EndsLate++
		return nil, v, late
	}
	return place, v, nil
}

// shutdownRefusal returns the refusal of a job that can't end before this entry does.
func (p *Placer) shutdownRefusal(j *Job, err *ShutdownError) *RefusedError {
	return &RefusedError{Reason: err.Error(), RetryAfter: p.Shutdown.RetryAfter(j.Route.Host), Shutdown: err, Met: j.refusals}
}

// retryAfterShutdown is when the caller of a job that this entry refuses as it ends should come back; 0 if unknown.
func (p *Placer) retryAfterShutdown(j *Job) time.Duration {
	if p.Shutdown == nil {
		return 0
	}
	return p.Shutdown.RetryAfter(j.Route.Host)
}

// checkTimeLeft checks that the reply can end before this entry does, if the request can still be refused: one with a hedge
// may have run already. Errors are *RefusedError.
func (r *reception) checkTimeLeft() error {
	if r.hedged {
		return nil
	}
	p, j := r.call.Placer, &r.call.Job
	if late := p.checkTimeLeftAt(j, r.place); late != nil {
		return p.shutdownRefusal(j, late)
	}
	return nil
}

// logIfStopping logs that an entry which shuts down sends a request. If it is killed, no later line names the request.
func (r *reception) logIfStopping() {
	p, j := r.call.Placer, &r.call.Job
	cutIn, draining := p.timeToCut()
	if !draining {
		return
	}
	klog.InfoS("Sent by stopping entry", "request", j.ID, "upstream", r.place.Upstream.ID, "after", p.Clock.Since(j.Arrived), "cutIn", cutIn,
		"limitLeft", j.Deadline.Sub(p.Clock.Now()), "endPredicted", r.place.Ends, "hedged", r.hedged, "resuming", r.resuming)
}

// unloadedTime is how long an engine with these figures takes for a job that it runs alone.
func unloadedTime(e *matcher.Engine, j *Job) time.Duration {
	return scheduler.ReadTime(e, j.Prompt) + time.Duration(j.ExpectedAnswer())*scheduler.StepTime(e, 1)
}

// longAnswerTokens is the size, in tokens, of an answer that is long for its hint; the longest answer for a
// request that arrives shortly before the entry cuts it.
func (j *Job) longAnswerTokens(cutIn time.Duration) int {
	long := int(hintMargin * float64(j.ExpectedAnswer()))
	switch {
	case j.MaxAnswer <= 0:
		return long
	case cutIn < maxAnswerWithin:
		return j.MaxAnswer
	default:
		return min(long, j.MaxAnswer)
	}
}

// tokensToReserve is the size of a job's answer for the reservation at an agent, given the usual answer.
func (p *Placer) tokensToReserve(j *Job, answer int) int {
	if left, cut := p.timeLeft(j); cut {
		return max(answer, j.longAnswerTokens(left))
	}
	return answer
}

// isFinalRefusal reports whether a job was refused for a reason that waiting doesn't change.
func isFinalRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && (refused.Shutdown != nil || refused.TooLate)
}

// isShutdownRefusal reports whether a job was refused because this entry shuts down.
func isShutdownRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Shutdown != nil
}
