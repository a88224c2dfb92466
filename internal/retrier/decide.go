package retrier

import (
	"math/rand/v2"
	"time"
)

// Attempt is an attempt that ended without a complete answer.
type Attempt struct {
	// Outcome is the outcome of this attempt, Earlier the combined outcome of
	// those before it (ignored if Number is 1).
	Outcome, Earlier Outcome
	// Number is 1 for the first attempt.
	Number int
	// Idempotent calls may run more than once.
	Idempotent bool
	// Streamed means that the caller already has a part of the answer.
	Streamed bool
	// SameEngine means that the engine start and version that started the
	// stream still hold it, so that it can be resumed there.
	SameEngine bool
	// Now is the time of the decision; Deadline is when the caller gives up,
	// zero for never.
	Now, Deadline time.Time
	// RetryAfter is the minimum wait that the upstream requested.
	RetryAfter time.Duration
}

// Decision is the next step after an attempt.
type Decision struct {
	// Retry means to try again after Delay; for a stream, to resume it.
	Retry bool
	Delay time.Duration
	// Final is the outcome for the caller if Retry is false, over all attempts.
	Final Outcome
	// Reason is for the log line.
	Reason string
}

// Policy decides on retries. Set the fields before use. It is safe for
// concurrent use if Random is nil or itself safe.
type Policy struct {
	Budget *Budget
	// MaxAttempts bounds attempts per request; 0 means 4.
	MaxAttempts int
	// Base and Max bound the delay between attempts; 0 means 10 ms and 1 s.
	Base, Max time.Duration
	// Random spreads the delays; nil means the process's own source.
	Random *rand.Rand
}

// Decide returns the decision on an attempt. Retries that it grants are taken
// from the budget.
func (p *Policy) Decide(a Attempt) Decision {
	final := a.Outcome
	if a.Number > 1 {
		final = Combine(a.Outcome, a.Earlier)
	}
	if reason := p.refusalReason(a, final); reason != "" {
		return Decision{Final: final, Reason: reason}
	}
	delay := p.delay(a)
	if !a.Deadline.IsZero() && !a.Now.Add(delay).Before(a.Deadline) {
		return Decision{Final: final, Reason: "deadline before the next attempt"}
	}
	if !p.Budget.Take() {
		return Decision{Final: final, Reason: "retry budget used up"}
	}
	return Decision{Retry: true, Delay: delay, Final: final, Reason: "retry of " + a.Outcome.String()}
}

// refusalReason is why there must be no further attempt; empty if there may be
// one.
func (p *Policy) refusalReason(a Attempt, final Outcome) string {
	switch {
	case a.Streamed && !a.SameEngine:
		// A second engine start would continue with other weights or another
		// sample: the caller would read one reply composed of two.
		return "stream cannot be resumed on the same engine"
	case a.Streamed:
		// Resuming starts no second run, so that idempotence does not matter.
	case a.Outcome == Ran:
		return "ran"
	case final == Unknown && !a.Idempotent:
		// It may be running: a second run would book the slot twice.
		return "unknown outcome of a call that may not be repeated"
	}
	if a.Number >= p.maxAttempts() {
		return "attempts used up"
	}
	return ""
}

// delay is 0 after the first refusal, as another upstream may be free. Later
// delays grow and are jittered.
func (p *Policy) delay(a Attempt) time.Duration {
	if a.RetryAfter > 0 {
		return a.RetryAfter + p.jitter(a.RetryAfter/2)
	}
	if a.Number == 1 && a.Outcome == NotRun {
		return 0
	}
	d := orDuration(p.Base, 10*time.Millisecond) << min(a.Number-1, 16)
	d = min(d, orDuration(p.Max, time.Second))
	return d/2 + p.jitter(d/2)
}

func (p *Policy) jitter(d time.Duration) time.Duration { return Jitter(d, p.Random) }

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts == 0 {
		return 4
	}
	return p.MaxAttempts
}

func orDuration(v, d time.Duration) time.Duration {
	if v == 0 {
		return d
	}
	return v
}

// Jitter returns a random duration from 0 to d; nil random means the process's
// own source.
func Jitter(d time.Duration, random *rand.Rand) time.Duration {
	if d <= 0 {
		return 0
	}
	if random == nil {
		return rand.N(d)
	}
	return time.Duration(random.Int64N(int64(d)))
}
