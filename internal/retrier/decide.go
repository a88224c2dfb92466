package retrier

import (
	"math/rand/v2"
	"time"
)

// Attempt is what is known when an attempt has ended without a whole answer.
type Attempt struct {
	// Outcome is the word on this attempt, Earlier the joined word on those
	// before it (ignored when Number is 1).
	Outcome, Earlier Outcome
	// Number is 1 for the first attempt.
	Number int
	// Idempotent calls may run more than once.
	Idempotent bool
	// Streamed says that the caller already has a part of the answer.
	Streamed bool
	// SameEngine says that the engine start and version that began the stream
	// still hold it, so that it can be resumed there.
	SameEngine bool
	// Now is the time of the decision; Deadline is when the caller gives up,
	// zero for never.
	Now, Deadline time.Time
	// RetryAfter is the least wait that the upstream asked for.
	RetryAfter time.Duration
}

// Decision is what to do next.
type Decision struct {
	// Retry says to try again after Delay; for a stream, to resume it.
	Retry bool
	Delay time.Duration
	// Final is the word for the caller when Retry is false, over all attempts.
	Final Outcome
	// Reason is for the log line.
	Reason string
}

// Policy turns attempts into decisions. Set the fields before use. It is safe
// for concurrent use when Random is nil or itself safe.
type Policy struct {
	Budget *Budget
	// MaxAttempts bounds attempts per request; 0 means 4.
	MaxAttempts int
	// Base and Max bound the delay between attempts; 0 means 10 ms and 1 s.
	Base, Max time.Duration
	// Random spreads the delays; nil means the process's own source.
	Random *rand.Rand
}

// Decide gives the decision on an attempt. Retries that it grants are taken from
// the budget.
func (p *Policy) Decide(a Attempt) Decision {
	final := a.Outcome
	if a.Number > 1 {
		final = Join(a.Outcome, a.Earlier)
	}
	if why := p.refuse(a, final); why != "" {
		return Decision{Final: final, Reason: why}
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

// refuse says why there must be no further attempt; empty when there may be one.
func (p *Policy) refuse(a Attempt, final Outcome) string {
	switch {
	case a.Streamed && !a.SameEngine:
		// A second engine start would go on with other weights or another draw:
		// the caller would read one reply made of two.
		return "stream cannot be resumed on the same engine"
	case a.Streamed:
		// Resuming starts no second run, so that idempotence does not matter.
	case a.Outcome == Ran:
		return "ran"
	case final == Unknown && !a.Idempotent:
		// It may be running now: a second run would book the slot twice.
		return "unknown outcome of a call that may not be repeated"
	}
	if a.Number >= p.maxAttempts() {
		return "attempts used up"
	}
	return ""
}

// delay is nothing after the first refusal, as another upstream may well be
// free, and grows and is spread from then on.
func (p *Policy) delay(a Attempt) time.Duration {
	if a.RetryAfter > 0 {
		return a.RetryAfter + p.spread(a.RetryAfter/2)
	}
	if a.Number == 1 && a.Outcome == NotRun {
		return 0
	}
	d := orDuration(p.Base, 10*time.Millisecond) << min(a.Number-1, 16)
	d = min(d, orDuration(p.Max, time.Second))
	return d/2 + p.spread(d/2)
}

func (p *Policy) spread(d time.Duration) time.Duration { return Spread(d, p.Random) }

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

// Spread gives a random time from 0 to d; nil random means the process's own
// source.
func Spread(d time.Duration, random *rand.Rand) time.Duration {
	if d <= 0 {
		return 0
	}
	if random == nil {
		return rand.N(d)
	}
	return time.Duration(random.Int64N(int64(d)))
}
