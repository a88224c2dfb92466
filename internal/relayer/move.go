package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// minPacedEvents is how many events of a reply determine its pace: three passes, of which one
	// may have read the prompts of others.
	minPacedEvents = 4
	// moveMargin is how far past the deadline the predicted end must be: about two events, the
	// usual error of the prediction.
	moveMargin = 100 * time.Millisecond
	// minMoveGain is how much earlier the reply must end at the other engine to be worth reading
	// the prompt again.
	minMoveGain = 300 * time.Millisecond
	// minMoveSpeedup is the least ratio of the event intervals here and at the other engine. Moves
	// between engines of similar pace don't help an answer that is too long for its caller's time:
	// under steady load without slow engines, 1.5 gave more late streams than no moves (38 for 23
	// of 57,436), 2.0 gave none.
	minMoveSpeedup = 2.0
	// moveRetryInterval is the pause between two searches for another engine for the same stream;
	// it doubles with each, as engines that are full or too slow for a stream remain so for some
	// time.
	moveRetryInterval = 200 * time.Millisecond
	// moveOverhead is the time of the first event at the other engine beyond waiting, reading and
	// writing: a connection, and the pass in progress there.
	moveOverhead = 60 * time.Millisecond
)

// MovedError reports an attempt that was given up although its reply continued, as it would have
// ended after its caller's deadline. Another engine continues the reply.
type MovedError struct {
	// To is the other engine.
	To string
	// Late is how far after the deadline the reply would have ended, and Gain how much earlier it
	// should end at the other engine.
	Late, Gain time.Duration
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("moved to %s, would have ended %v after the deadline, should end %v earlier there", e.To, e.Late, e.Gain)
}

// isMoved reports whether an attempt was given up because its stream moves.
func isMoved(err error) bool {
	var moved *MovedError
	return errors.As(err, &moved)
}

// moveState is a job's state about moves to another engine.
type moveState struct {
	// nextAttempt is the earliest time of the next search, and retryInterval the pause after it.
	nextAttempt   time.Time
	retryInterval time.Duration
	// paceLearned is set once the slowdown was updated from the present reply.
	paceLearned bool
	// placing is set while a place for a move is requested.
	placing bool
	// moving is set if the next place is that of a move.
	moving bool
}

// Move decides, after an event, whether a stream moves because it would end too late at its place.
// If so, the job's next place is set, and the returned *SendError ends the present attempt; nil to
// stay.
func (l *Relayer) Move(ctx context.Context, j *Job, place *Placement) error {
	ends, late := l.endsLate(j, place)
	if !late || !l.mayMove(j) || ctx.Err() != nil {
		return nil
	}
	next := l.placeMove(ctx, j, ends)
	if next == nil {
		return nil
	}
	j.nextPlace, j.mover.moving = next, true
	l.count("moves")
	moved := &MovedError{To: next.Upstream.ID, Late: ends.Sub(j.Deadline), Gain: ends.Sub(next.Ends)}
	return &SendError{Upstream: place.Upstream.ID, Outcome: retrier.Ran, Err: moved}
}

// endsLate predicts the end of a reply by the pace of its events, and whether that is too late for
// its caller.
func (l *Relayer) endsLate(j *Job, place *Placement) (ends time.Time, late bool) {
	if j.events < minPacedEvents || j.Route.Kind != matcher.Streaming || l.Placer.Without.Has(ablator.StreamMove) {
		return time.Time{}, false
	}
	now := l.Clock.Now()
	if now.Before(j.mover.nextAttempt) {
		return time.Time{}, false
	}
	e := l.engineFor(j)
	if e == nil {
		return time.Time{}, false
	}
	_, _, expected := j.tokenCounts(e)
	if expected == 0 {
		return time.Time{}, false
	}
	stride := max(1, e.Stride)
	left := time.Duration((expected + stride - 1) / stride)
	ends = now.Add(left * l.eventInterval(j, place, now.Sub(j.firstEventAt)))
	return ends, ends.Sub(j.Deadline) > moveMargin
}

// eventInterval predicts the time per event of the present reply, whose events took this long so
// far. The agent's prediction has the weight of PaceValidity of observed events, as the pace varies too
// much for shorter observation to predict the rest.
func (l *Relayer) eventInterval(j *Job, place *Placement, elapsed time.Duration) time.Duration {
	events := float64(j.events - 1)
	observed := elapsed.Seconds() / events
	if place.eventInterval <= 0 {
		return secondsToDuration(observed)
	}
	if elapsed >= scheduler.PaceValidity && !j.mover.paceLearned {
		j.mover.paceLearned = true
		l.slowdowns.record(j.Service, observed/place.eventInterval.Seconds())
	}
	predicted := l.slowdowns.get(j.Service) * place.eventInterval.Seconds()
	span := scheduler.PaceValidity.Seconds()
	return secondsToDuration((span*predicted + elapsed.Seconds()*observed) / (span + elapsed.Seconds()))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// engineFor returns the configuration of the engines that serve a job; nil for a plain service.
func (l *Relayer) engineFor(j *Job) *matcher.Engine {
	view := l.Registrar.View()
	if view == nil || view.Table == nil || view.Table.Services[j.Service] == nil {
		return nil
	}
	return view.Table.Services[j.Service].Engine
}

// mayMove reports whether a stream may move although its upstream works.
func (l *Relayer) mayMove(j *Job) bool {
	if !j.repeatable() || j.attempts+1 >= j.Route.MaxAttempts || j.sends >= maxSends {
		return false
	}
	// Only one upstream may get a request with a blamed part.
	return l.Placer.Without.Has(ablator.PromptBlame) || !l.Localizer.AnyBlamed(j.SharedParts())
}

// placeMove reserves a place at which a stream ends in time, if it would end at the given time
// where it is; nil if there is none.
func (l *Relayer) placeMove(ctx context.Context, j *Job, ends time.Time) *Placement {
	startedAt := l.Clock.Now()
	j.mover.retryInterval = max(moveRetryInterval, 2*j.mover.retryInterval)
	j.mover.nextAttempt = startedAt.Add(j.mover.retryInterval)
	again := j.Again
	j.Again, j.mover.placing = true, true
	place, err := l.Placer.placeOnce(ctx, j)
	j.Again, j.mover.placing = again, false
	if err != nil || place == nil {
		return nil
	}
	if !l.worthMoving(j, place, startedAt, ends) {
		place.Release()
		return nil
	}
	if !l.Budgets.Get(j.Service).Take() {
		l.log(j, "No retry left in the budget", nil)
		place.Release()
		return nil
	}
	l.count("retries")
	return place
}

// worthMoving reports whether a stream should continue at a place, given the time of its last event
// and its predicted end where it is.
func (l *Relayer) worthMoving(j *Job, place *Placement, last, ends time.Time) bool {
	if place.Ends.IsZero() {
		return false
	}
	first := l.Clock.Now().Add(place.First)
	slowdown := l.slowdowns.get(j.Service)
	endThere := first.Add(time.Duration(slowdown * float64(place.Ends.Sub(first))))
	if endThere.After(j.Deadline) || ends.Sub(endThere) < minMoveGain {
		return false
	}
	if observed := l.Clock.Since(j.firstEventAt).Seconds() / float64(j.events-1); observed < minMoveSpeedup*slowdown*place.eventInterval.Seconds() {
		return false
	}
	pause := l.Clock.Since(last) + place.First + moveOverhead
	return j.Route.PauseObjective == 0 || pause <= j.Route.PauseObjective
}
