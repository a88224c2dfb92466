// Package scheduler decides when a request may go to a model engine and to which
// one. The agent beside an engine keeps the exact count of what runs there; an entry
// only guesses where there is room, and asks. Nothing here has a socket, and time
// is passed in.
package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// pairsOfSquare halves the square of a prompt's length: each token is
// compared with all earlier ones.
const pairsOfSquare = 0.5

// ReadTime is how long an engine alone takes to read a prompt of that many tokens.
func ReadTime(e *matcher.Engine, prompt int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	linear := time.Duration(float64(prompt) / e.ReadPerSecond * float64(time.Second))
	millions := pairsOfSquare * float64(prompt) * float64(prompt) / 1e6
	return linear + time.Duration(millions*float64(e.PerMillionPairs))
}

// StepTime is how long a token step takes while that many requests write, each with
// the usual context.
func StepTime(e *matcher.Engine, writing int) time.Duration {
	context := float64(e.UsualPrompt+e.UsualAnswer/2) / 1000
	each := e.PerRequest + time.Duration(context*float64(e.PerThousand))
	return e.Step + time.Duration(writing)*each
}

// PassTime is how long a pass takes in which requests write and nothing is read.
func PassTime(e *matcher.Engine, writing int) time.Duration {
	return time.Duration(max(1, e.Stride)) * StepTime(e, writing)
}

// TurnTime is how long it takes, with all places taken, until one comes free.
func TurnTime(e *matcher.Engine) time.Duration {
	slots := max(1, e.Slots)
	write := time.Duration(e.UsualAnswer) * StepTime(e, slots) / time.Duration(slots)
	return write + ReadTime(e, e.UsualPrompt)
}
