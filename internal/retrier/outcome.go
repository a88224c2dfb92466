// Package retrier decides what becomes of an attempt that did not give the
// caller its whole answer: another attempt now, later, or the final word. It
// holds no connection and starts no call.
package retrier

import "fmt"

// Outcome is what is known about whether a request ran.
type Outcome int

// The outcomes. The zero value is Unknown, so that a forgotten assignment can
// never turn into a false promise.
const (
	// Unknown says that the request may or may not have run.
	Unknown Outcome = iota
	// Ran says that the upstream took the request and answered it.
	Ran
	// NotRun says that the request never reached the upstream, and never will.
	NotRun
)

// String gives "ran", "notRun" or "unknown", the form used on the wire.
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

// Parse reads what String gives. Anything else is Unknown with an
// *OutcomeError: a peer that we cannot read has promised nothing.
func Parse(s string) (Outcome, error) {
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

// OutcomeError reports a text that names no outcome.
type OutcomeError struct {
	Text string
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%q is no outcome: want ran, notRun or unknown", e.Text)
}

// Join gives the word on a request from the words on two of its attempts. One
// that ran makes the request ran, one that is unknown makes it unknown; only
// when both did not run may the caller be told so.
func Join(a, b Outcome) Outcome {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	default:
		return Unknown
	}
}
