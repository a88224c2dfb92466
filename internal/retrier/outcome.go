// Package retrier decides what follows an attempt that did not give the caller
// its complete answer: another attempt now, later, or the final outcome. It
// holds no connection and starts no call.
package retrier

import "fmt"

// Outcome is what is known about whether a request ran.
type Outcome int

// The outcomes. The zero value is Unknown, so that a missing assignment never
// turns into a false promise.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Ran means that the upstream accepted the request and answered it.
	Ran
	// NotRun means that the request never reached the upstream, and never will.
	NotRun
)

// String returns "ran", "notRun" or "unknown", the form used on the wire.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

// ParseOutcome parses the result of String. Anything else is Unknown with an
// *OutcomeError: an unreadable peer has promised nothing.
func ParseOutcome(s string) (Outcome, error) {
	switch s {
	case "ran":
		return Ran, nil
	case "notRun":
		return NotRun, nil
	case "unknown":
		return Unknown, nil
	}
	return Unknown, &OutcomeError{Text: s}
}

// OutcomeError reports a text that is no valid outcome.
type OutcomeError struct {
	Text string
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%q is no outcome: want ran, notRun or unknown", e.Text)
}

// Combine returns the outcome of a request from the outcomes of two of its
// attempts. One that ran makes the request Ran, one that is unknown makes it
// Unknown; only if neither ran is the request NotRun.
func Combine(a, b Outcome) Outcome {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	default:
		return Unknown
	}
}
