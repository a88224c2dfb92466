package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Attempt sends a request to the place's upstream and relays the reply. It returns nil once the caller has its
// answer. Errors are *SendError.
type Attempt func(ctx context.Context, place *Placement) error

// attemptState is the state of a job's attempts.
type attemptState struct {
	// outcome joins the outcomes of all attempts.
	outcome  retrier.Outcome
	attempts int
	sends    int
	// failed reports whether an attempt that was sent has failed.
	failed bool
	// reused reports whether the last attempt failed on a connection that had been idle, unsent whether it never
	// reached its upstream.
	reused, unsent bool
	// events counts the events relayed by the current attempt, the first one at firstEventAt.
	events       int
	firstEventAt time.Time
	// delivered counts the events relayed from the replies of all attempts.
	delivered int
	// unnumbered reports that the last data sent has no id, so that the rest can't be requested elsewhere.
	unnumbered bool
	// endPredicted is when the last attempt's agent expected its reply to end; zero if unknown.
	endPredicted time.Time
	// nextPlace is the place reserved for the next attempt; nil for none.
	nextPlace *Placement
	mover     moveState
	// backoff is how long all upstreams ask this entry to send nothing, once the job is given up.
	backoff time.Duration
}

// Serve makes attempts until one answers the caller. Errors are those of Place and of the last attempt.
func (l *Relayer) Serve(ctx context.Context, j *Job, attempt Attempt) error {
	err := l.serve(ctx, j, attempt)
	if err != nil {
		j.backoff = l.Placer.backoffLeft(j)
	}
	return err
}

func (l *Relayer) serve(ctx context.Context, j *Job, attempt Attempt) error {
	l.Budgets.Get(j.Service).RecordFirstAttempt()
	j.outcome = retrier.NotRun
	defer j.cancelMove()
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
			if j.events < minSurvivedEvents {
				l.reportSurvived(j)
			}
			return nil
		}
		l.recordFailure(j, place, err, j.events)
		if ctx.Err() != nil || isShutdownRefusal(err) || isUnread(err) || failedForMemory(err) || !l.allowRetry(j) {
			return err
		}
		j.Again = j.attempts > 0
	}
}

// attemptAt makes an attempt and releases its place however it ends. Cutting a reply panics into the HTTP server;
// without the release, each such reply would make the upstream look fuller until it gets no requests.
func (l *Relayer) attemptAt(ctx context.Context, j *Job, place *Placement, attempt Attempt) error {
	defer place.Release()
	j.sends++
	j.endPredicted = place.Ends
	j.events, j.firstEventAt, j.mover.paceLearned = 0, time.Time{}, false
	err := attempt(ctx, place)
	j.recordOutcome(place, err)
	return err
}

// recordFailure updates the request and the upstream for an attempt that failed after some events.
func (l *Relayer) recordFailure(j *Job, place *Placement, err error, events int) {
	upstream := place.Upstream.ID
	j.failed = j.failed || !isLocalFailure(err)
	var s *SendError
	if !errors.As(err, &s) {
		return
	}
	j.outcome = retrier.Combine(j.outcome, s.Outcome)
	j.reused = s.Reused
	j.unsent = s.Outcome == retrier.NotRun && isLocalFailure(err)
	if s.Outcome != retrier.NotRun {
		j.attempts++
	}
	if j.callerLeft != nil && j.callerLeft() {
		// A caller that left says nothing about the upstream.
		return
	}
	if !isLocalFailure(err) && !isOvertaken(err) && !isMoved(err) {
		l.Chooser.RecordFailure(upstream, s.Status == 0 && !s.Reused)
	}
	if s.Outcome == retrier.NotRun && s.Status != 0 {
		l.Chooser.Avoid(upstream, refusalPause)
		l.Placer.recordPlainRefusal(j)
	}
	if isMoved(err) {
		l.log(j, "Stream moved", err, "upstream", upstream, "events", events)
		return
	}
	l.investigateCut(j, place, err, events)
	l.log(j, "Attempt failed", err, "upstream", upstream, "outcome", s.Outcome, "reused", s.Reused, "stated", s.Stated, "events", events, "silence", s.Silence)
}

// isLocalFailure reports whether this entry itself withheld or gave up the request, which says nothing about the
// upstream.
func isLocalFailure(err error) bool {
	var full *ConnectionLimitError
	var stale *StaleWeightsError
	var unsent *UnsentError
	var withheld *WithheldError
	var blamed *localizer.BlamedError
	return isShutdownRefusal(err) || isUnread(err) || failedForMemory(err) || errors.As(err, &blamed) || errors.As(err, &full) || errors.As(err, &stale) || errors.As(err, &unsent) || errors.As(err, &withheld)
}

// isOvertaken reports whether an attempt was given up although its upstream might still have continued.
func isOvertaken(err error) bool {
	var overtaken *OvertakenError
	return errors.As(err, &overtaken)
}

// refusalPause is how long an upstream that refused is passed over: about the time in which a slot becomes free.
const refusalPause = 100 * time.Millisecond

// maxSends limits how often a request is sent although no upstream ran it.
const maxSends = 3

// repeatable reports whether the request, or the rest of its stream, may go to another upstream though it has
// run.
func (j *Job) repeatable() bool { return j.Route.Repeatable() && !j.unnumbered }

// allowRetry reports whether another attempt may be made. Only requests that certainly did not run, or that may
// run twice, are sent again.
func (l *Relayer) allowRetry(j *Job) bool {
	if j.outcome != retrier.NotRun && !j.repeatable() {
		return false
	}
	if j.attempts >= j.Route.MaxAttempts || j.sends >= maxSends {
		return false
	}
	if j.nextPlace != nil {
		// The retry is charged already.
		return true
	}
	if j.unsent {
		// The budget is for requests that are sent.
		return true
	}
	if !l.Budgets.Get(j.Service).Take() {
		l.log(j, "No retry left in the budget", nil)
		return false
	}
	l.count("retries")
	return true
}
