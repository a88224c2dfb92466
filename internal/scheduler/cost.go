// Package scheduler decides when a request may go to a model engine, and to which one. The agent beside an
// engine keeps the exact count of its requests; an entry estimates where slots are free and asks. Nothing here
// opens a socket, and the time is passed in.
package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// attendedShare is the part of the square of a prompt's length that is computed: each token attends to all
// earlier ones only.
const attendedShare = 0.5

// ReadTime is how long an otherwise idle engine takes to read a prompt of so many tokens.
func ReadTime(e *matcher.Engine, prompt int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	linear := time.Duration(float64(prompt) / e.ReadPerSecond * float64(time.Second))
	millions := attendedShare * float64(prompt) * float64(prompt) / 1e6
	return linear + time.Duration(millions*float64(e.PerMillionPairs))
}

// StepTime is how long a token step takes while so many requests generate, each with the usual context.
func StepTime(e *matcher.Engine, writing int) time.Duration {
	context := float64(e.UsualPrompt+e.UsualAnswer/2) / 1000
	perRequest := e.PerRequest + time.Duration(context*float64(e.PerThousand))
	return e.Step + time.Duration(writing)*perRequest
}

// PassTime is how long a pass takes in which requests generate and no prompt is read.
func PassTime(e *matcher.Engine, writing int) time.Duration {
	return time.Duration(max(1, e.Stride)) * StepTime(e, writing)
}

// SlotTurnaround is the expected time until a slot comes free while all are taken.
func SlotTurnaround(e *matcher.Engine) time.Duration {
	slots := max(1, e.Slots)
	write := time.Duration(e.UsualAnswer) * StepTime(e, slots) / time.Duration(slots)
	return write + ReadTime(e, e.UsualPrompt)
}
