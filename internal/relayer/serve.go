package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Attempt sends a request to the upstream of a place and hands the reply on. It gives nil once
// the caller has its answer. Errors are *SendError.
type Attempt func(ctx context.Context, place *Place) error

// tries is what became of a job's attempts.
type tries struct {
	// outcome joins what is known of all attempts.
	outcome  retrier.Outcome
	attempts int
	sends    int
	// failed tells that an attempt that was sent has failed.
	failed bool
	// reused tells that the last attempt failed on a connection that had been idle, unsent that it never
	// reached its upstream.
	reused, unsent bool
	// events were passed on from the present attempt's reply, the first one at begunAt.
	events  int
	begunAt time.Time
	// delivered counts the events passed on from the replies of all attempts.
	delivered int
	// unnumbered tells that the last data that went out has no id: its rest can't be asked for.
	unnumbered bool
	// next is the place that the next attempt already has; nil for none.
	next  *Place
	mover mover
	// rest is for how long all upstreams want nothing from this entry, once the job is given up.
	rest time.Duration
}

// Serve makes attempts until one gives the caller its answer. Errors are those of Place and
// of the last attempt.
func (l *Relayer) Serve(ctx context.Context, j *Job, attempt Attempt) error {
	err := l.serve(ctx, j, attempt)
	if err != nil {
		j.rest = l.Placer.rest(j)
	}
	return err
}

func (l *Relayer) serve(ctx context.Context, j *Job, attempt Attempt) error {
	l.Budgets.Get(j.Service).RecordFirstAttempt()
	j.outcome = retrier.NotRun
	defer j.endMove()
	for {
		if err := l.checkParts(j); err != nil {
			return err
		}
		place, err := l.placeNext(ctx, j)
		if err != nil {
			return err
		}
		j.Tried = append(j.Tried, place.Upstream.ID)
		err = l.attemptAt(ctx, j, place, attempt)
		if err == nil {
			if j.events < survivedEvents {
				l.noteSurvived(j)
			}
			return nil
		}
		l.note(j, place, err, j.events)
		if ctx.Err() != nil || isShutdown(err) || isUnread(err) || endsForMemory(err) || !l.again(j) {
			return err
		}
		j.Again = j.attempts > 0
	}
}

// attemptAt makes an attempt and frees its place however it ends. A reply that has to be cut
// ends in a panic for the HTTP server; the place left taken, the upstream would look fuller
// with each such reply until nothing goes there.
func (l *Relayer) attemptAt(ctx context.Context, j *Job, place *Place, attempt Attempt) error {
	defer place.Ended()
	j.sends++
	j.events, j.begunAt, j.mover.noted = 0, time.Time{}, false
	err := attempt(ctx, place)
	j.judge(place, err)
	return err
}

// note counts what an attempt that failed after some events means for the request and the upstream.
func (l *Relayer) note(j *Job, place *Place, err error, events int) {
	upstream := place.Upstream.ID
	j.failed = j.failed || !keptBack(err)
	var s *SendError
	if !errors.As(err, &s) {
		return
	}
	j.outcome = retrier.Combine(j.outcome, s.Outcome)
	j.reused = s.Reused
	j.unsent = s.Outcome == retrier.NotRun && keptBack(err)
	if s.Outcome != retrier.NotRun {
		j.attempts++
	}
	if j.left != nil && j.left() {
		// The caller left; that says nothing of the upstream.
		return
	}
	if !keptBack(err) && !isOvertaken(err) && !isMoved(err) {
		l.Chooser.Failed(upstream, s.Status == 0 && !s.Reused)
	}
	if s.Outcome == retrier.NotRun && s.Status != 0 {
		l.Chooser.Avoid(upstream, refusedPause)
		l.Placer.notePlainRefusal(j)
	}
	if isMoved(err) {
		l.log(j, "Stream moved", err, "upstream", upstream, "events", events)
		return
	}
	l.noteCut(j, place, err, events)
	l.log(j, "Attempt failed", err, "upstream", upstream, "outcome", s.Outcome, "reused", s.Reused, "stated", s.Stated, "events", events, "silence", s.Silence)
}

// keptBack tells whether this entry itself didn't send the request or gave it up, which says nothing
// of the upstream.
func keptBack(err error) bool {
	var full *ConnectionsError
	var stale *StaleWeightsError
	var unsent *UnsentError
	var withheld *WithheldError
	var blamed *localizer.BlamedError
	return isShutdown(err) || isUnread(err) || endsForMemory(err) || errors.As(err, &blamed) || errors.As(err, &full) || errors.As(err, &stale) || errors.As(err, &unsent) || errors.As(err, &withheld)
}

// isOvertaken tells whether an attempt was given up while its upstream might still have gone on.
func isOvertaken(err error) bool {
	var overtaken *OvertakenError
	return errors.As(err, &overtaken)
}

// refusedPause is how long an upstream that refused is passed over: about the time
// in which a place comes free.
const refusedPause = 100 * time.Millisecond

// maxSends bounds how often a request is sent although no upstream ran it.
const maxSends = 3

// repeatable tells whether the request, or the rest of its stream, may go to another upstream though it has run.
func (j *Job) repeatable() bool { return j.Route.Repeatable() && !j.unnumbered }

// again tells whether another attempt may be made. Only what certainly did not run,
// or may run twice, goes out again.
func (l *Relayer) again(j *Job) bool {
	if j.outcome != retrier.NotRun && !j.repeatable() {
		return false
	}
	if j.attempts >= j.Route.MaxAttempts || j.sends >= maxSends {
		return false
	}
	if j.next != nil {
		// Its retry is paid for.
		return true
	}
	if j.unsent {
		// The budget is for what upstreams get.
		return true
	}
	if !l.Budgets.Get(j.Service).Take() {
		l.log(j, "No retry left in the budget", nil)
		return false
	}
	l.count("retries")
	return true
}
