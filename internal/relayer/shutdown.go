package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// hintMargin is how many times as long as hinted an answer may be: three in four are within it.
	hintMargin = 1.4
	// paceMargin is how many times as long as predicted a reply may take: nine in ten of the longest under
	// load are within it.
	paceMargin = 1.35
	// longestWithin is how long before its cut a leaving entry counts the longest answer instead of the hinted
	// one. Callers come until 4.55 s before it, and a stream that is read as late as this and then cut is lost to
	// its caller: by the hint 3 in 1,000 of them were.
	longestWithin = 4950 * time.Millisecond
)

// Shutdown tells of the end of an entry that leaves.
type Shutdown interface {
	// CutIn is in how long replies that are still under way are cut; false for an entry that stays.
	CutIn() (time.Duration, bool)
	// RetryAfter is when callers of a host that are refused should come back.
	RetryAfter(host string) time.Duration
}

// ShutdownError reports a request that could not end before its entry does.
type ShutdownError struct {
	// Takes is the predicted time that it takes, CutIn what is left.
	Takes, CutIn time.Duration
}

func (e *ShutdownError) Error() string {
	return fmt.Sprintf("entry leaves, takes %v of %v left", e.Takes, e.CutIn)
}

// cutIn is in how long the replies of this entry are cut; false for an entry that stays.
func (p *Placer) cutIn() (time.Duration, bool) {
	if p.Shutdown == nil {
		return 0, false
	}
	return p.Shutdown.CutIn()
}

// bound is in how long a job has to end: when its caller leaves, or its entry cuts it before that, which cut tells.
func (p *Placer) bound(j *Job) (left time.Duration, cut bool) {
	left = j.Deadline.Sub(p.Clock.Now())
	if cutIn, leaves := p.cutIn(); leaves && cutIn < left {
		return cutIn, true
	}
	return left, false
}

// checkTimeLeft tells whether a job that takes a time can end before this entry does. One that may have run
// already goes on: it can't be refused any more.
func (p *Placer) checkTimeLeft(j *Job, takes time.Duration) *ShutdownError {
	left, cut := p.bound(j)
	if !cut || j.Again || takes <= left {
		return nil
	}
	return &ShutdownError{Takes: takes, CutIn: left}
}

// checkTimeLeftAt is checkTimeLeft for a job that has a place.
func (p *Placer) checkTimeLeftAt(j *Job, place *Place) *ShutdownError {
	if place.Ends.IsZero() {
		return nil
	}
	return p.checkTimeLeft(j, time.Duration(paceMargin*float64(place.Ends.Sub(p.Clock.Now()))))
}

// askInTime is ask for a place at which the reply can end before this entry does; late tells that it
// can't at the one that was granted.
func (p *Placer) askInTime(ctx context.Context, view *registrar.View, u *registrar.UpstreamView, j *Job, budget time.Duration) (place *Place, v *messenger.Decision, late *ShutdownError) {
	place, v = p.ask(ctx, view, u, j, budget)
	if place == nil {
		return nil, v, nil
	}
	if late = p.checkTimeLeftAt(j, place); late != nil {
		place.Ended()
		j.met.EndsLate++
		return nil, v, late
	}
	return place, v, nil
}

// refuse is the refusal of a job that can't end before this entry does.
func (p *Placer) refuse(j *Job, err *ShutdownError) *RefusedError {
	return &RefusedError{Reason: err.Error(), RetryAfter: p.Shutdown.RetryAfter(j.Route.Host), Shutdown: err, Met: j.met}
}

// checkTimeLeft tells whether the reply can end before this entry does, if the request can still be refused.
// Errors are *RefusedError.
func (r *reception) checkTimeLeft() error {
	if r.failed {
		return nil
	}
	p, j := r.c.Placer, &r.c.Job
	if late := p.checkTimeLeftAt(j, r.place); late != nil {
		return p.refuse(j, late)
	}
	return nil
}

// leastTime is how long an engine by its figures takes for a job that it runs alone.
func leastTime(e *matcher.Engine, j *Job) time.Duration {
	return scheduler.ReadTime(e, j.Prompt) + time.Duration(j.Answer())*scheduler.StepTime(e, 1)
}

// longAnswer is the size of an answer, in tokens, that is long for its hint; the longest one for a request that
// comes shortly before the entry cuts it.
func (j *Job) longAnswer(cutIn time.Duration) int {
	long := int(hintMargin * float64(j.Answer()))
	switch {
	case j.MaxAnswer <= 0:
		return long
	case cutIn < longestWithin:
		return j.MaxAnswer
	default:
		return min(long, j.MaxAnswer)
	}
}

// sizeToReserve is the size of a job's answer that an agent reserves for, if the usual one is answer.
func (p *Placer) sizeToReserve(j *Job, answer int) int {
	if left, cut := p.bound(j); cut {
		return max(answer, j.longAnswer(left))
	}
	return answer
}

// isFinal tells whether a job was refused for a reason that waiting doesn't change.
func isFinal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && (refused.Shutdown != nil || refused.TooLate)
}

// isShutdown tells whether a job was refused as this entry leaves.
func isShutdown(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Shutdown != nil
}
