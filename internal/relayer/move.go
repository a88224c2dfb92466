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
	// pacedEvents is after how many events of a reply their pace is known: three passes, of which one may have read the
	// prompts of others.
	pacedEvents = 4
	// moveMargin is how much past the deadline the predicted end has to be: about two events, by which the
	// prediction is off anyway.
	moveMargin = 100 * time.Millisecond
	// moveGain is how much earlier the reply has to end at the other engine: less isn't worth reading the prompt
	// again.
	moveGain = 300 * time.Millisecond
	// moveSpeedup is by what factor events have to come faster at the other engine than they came so far. An answer that
	// is long for its caller's time gains nothing between engines of like pace: with 1.5 a steady load without slow engines had
	// more late streams than without moves (38 for 23 of 57,436), with 2.0 none.
	moveSpeedup = 2.0
	// movePause is the pause between two looks for another engine for the same stream; it doubles with each, as the
	// engines that are full or too slow for one stream are so for some time.
	movePause = 200 * time.Millisecond
	// moveOverhead is what the first event at the other engine takes beyond waiting, reading and writing: a
	// connection, and the pass that is under way there.
	moveOverhead = 60 * time.Millisecond
)

// MovedError reports an attempt that was given up while its reply went on, as it would have ended after its caller's
// deadline. Another engine goes on with the reply.
type MovedError struct {
	// To is the other engine.
	To string
	// Late is how much after the deadline the reply would have ended, and Gain how much earlier it should end at the
	// other engine.
	Late, Gain time.Duration
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("moved to %s, would have ended %v after the deadline, should end %v earlier there", e.To, e.Late, e.Gain)
}

// isMoved tells whether an attempt was given up as its stream moves.
func isMoved(err error) bool {
	var moved *MovedError
	return errors.As(err, &moved)
}

// mover is what a job keeps on looks for another engine.
type mover struct {
	// next is when the next look may be, and pause the pause after it.
	next  time.Time
	pause time.Duration
	// noted tells that the pace of the present reply has been learned from.
	noted bool
	// looking tells that a place for a move is looked for.
	looking bool
	// moving tells that the next place is that of a move.
	moving bool
}

// Move decides, after an event, whether a stream goes on elsewhere as it would end too late where it is. If so it gets
// the place for that, and the returned error ends the present attempt. The error is a *SendError; nil to stay.
func (l *Relayer) Move(ctx context.Context, j *Job, place *Place) error {
	ends, late := l.endsLate(j, place)
	if !late || !l.mayMove(j) || ctx.Err() != nil {
		return nil
	}
	next := l.placeMove(ctx, j, ends)
	if next == nil {
		return nil
	}
	j.next, j.mover.moving = next, true
	l.count("moves")
	moved := &MovedError{To: next.Upstream.ID, Late: ends.Sub(j.Deadline), Gain: ends.Sub(next.Ends)}
	return &SendError{Upstream: place.Upstream.ID, Outcome: retrier.Ran, Err: moved}
}

// endsLate predicts by the pace of its events when a reply ends, and tells whether that is too late for its caller.
func (l *Relayer) endsLate(j *Job, place *Place) (ends time.Time, late bool) {
	if j.events < pacedEvents || j.Route.Kind != matcher.Streaming || l.Placer.Without.Has(ablator.StreamMove) {
		return time.Time{}, false
	}
	now := l.Clock.Now()
	if now.Before(j.mover.next) {
		return time.Time{}, false
	}
	e := l.engineOf(j)
	if e == nil {
		return time.Time{}, false
	}
	_, _, expected := j.size(e)
	if expected == 0 {
		return time.Time{}, false
	}
	stride := max(1, e.Stride)
	left := time.Duration((expected + stride - 1) / stride)
	ends = now.Add(left * l.perEvent(j, place, now.Sub(j.begunAt)))
	return ends, ends.Sub(j.Deadline) > moveMargin
}

// perEvent is how long an event of the present reply should take whose events took a time so far. The agent's prediction counts
// as much as events seen for PaceSpan: a pace that changes that often says little of the rest of a reply.
func (l *Relayer) perEvent(j *Job, place *Place, took time.Duration) time.Duration {
	events := float64(j.events - 1)
	observed := took.Seconds() / events
	if place.event <= 0 {
		return seconds(observed)
	}
	if took >= scheduler.PaceSpan && !j.mover.noted {
		j.mover.noted = true
		l.slowdowns.note(j.Service, observed/place.event.Seconds())
	}
	predicted := l.slowdowns.of(j.Service) * place.event.Seconds()
	span := scheduler.PaceSpan.Seconds()
	return seconds((span*predicted + took.Seconds()*observed) / (span + took.Seconds()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// engineOf are the figures of the engines that serve a job; nil for a plain service.
func (l *Relayer) engineOf(j *Job) *matcher.Engine {
	view := l.Registrar.View()
	if view == nil || view.Table == nil || view.Table.Services[j.Service] == nil {
		return nil
	}
	return view.Table.Services[j.Service].Engine
}

// mayMove tells whether a stream may go on elsewhere although its upstream is well.
func (l *Relayer) mayMove(j *Job) bool {
	if !j.repeatable() || j.attempts+1 >= j.Route.MaxAttempts || j.sends >= maxSends {
		return false
	}
	// One upstream alone may get a request with a blamed part.
	return l.Placer.Without.Has(ablator.PromptBlame) || !l.Localizer.AnyBlamed(j.SharedParts())
}

// placeMove gets a place at which a stream ends in time that would end at a moment where it is; nil if there is none.
func (l *Relayer) placeMove(ctx context.Context, j *Job, ends time.Time) *Place {
	began := l.Clock.Now()
	j.mover.pause = max(movePause, 2*j.mover.pause)
	j.mover.next = began.Add(j.mover.pause)
	again := j.Again
	j.Again, j.mover.looking = true, true
	place, err := l.Placer.placeNow(ctx, j)
	j.Again, j.mover.looking = again, false
	if err != nil || place == nil {
		return nil
	}
	if !l.worthMoving(j, place, began, ends) {
		place.Ended()
		return nil
	}
	if !l.Budgets.Get(j.Service).Take() {
		l.log(j, "No retry left in the budget", nil)
		place.Ended()
		return nil
	}
	l.count("retries")
	return place
}

// worthMoving tells whether a stream that would end at a moment where it is, and had its last event at another one, should go on
// at a place.
func (l *Relayer) worthMoving(j *Job, place *Place, last, ends time.Time) bool {
	if place.Ends.IsZero() {
		return false
	}
	first := l.Clock.Now().Add(place.First)
	slowdown := l.slowdowns.of(j.Service)
	there := first.Add(time.Duration(slowdown * float64(place.Ends.Sub(first))))
	if there.After(j.Deadline) || ends.Sub(there) < moveGain {
		return false
	}
	if observed := l.Clock.Since(j.begunAt).Seconds() / float64(j.events-1); observed < moveSpeedup*slowdown*place.event.Seconds() {
		return false
	}
	pause := l.Clock.Since(last) + place.First + moveOverhead
	return j.Route.PauseObjective == 0 || pause <= j.Route.PauseObjective
}
