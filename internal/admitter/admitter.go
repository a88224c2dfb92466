// Package admitter is an agent's gate: the one place that decides whether a
// request may pass to the upstream on the same VM. It counts exactly, because
// nothing reaches the upstream but through it, and it takes every unexplained
// sign for a restart. It is pure: it knows no network and reads no clock but the
// one it is given.
package admitter

import (
	"fmt"
	"time"
)

// Work is a request that asks to pass. Empty fields ask for nothing particular.
type Work struct {
	// Priority is the request's for the upstream and the logs. The gate holds no
	// queue, so that it has nothing to put in order: entries shed by priority.
	Priority int
	// Deadline is when the caller gives up; zero for never.
	Deadline time.Time
	// Model, Version and Manifest are the weights the reply must come from.
	Model, Version, Manifest string
	// EngineStart binds a resumed stream to one start of the engine.
	EngineStart string
}

// Result is how a request that passed has ended.
type Result struct {
	Outcome Outcome
	// Latency is the time from admission to the end of the reply.
	Latency time.Duration
}

// Outcome is the end of a request as seen from the upstream's wire.
type Outcome int

// The outcomes of a request.
const (
	// Served is a whole reply.
	Served Outcome = iota
	// Failed is an honest error of the request itself, from a sound upstream.
	Failed
	// Refused is an upstream that would not take the request or the connection.
	Refused
	// Cut is a reply without its end.
	Cut
	// Cancelled is a request that its caller gave up: it proves nothing.
	Cancelled
)

// Reason says why a request was not let through.
type Reason string

// The reasons for a refusal, and those to hold the gate closed.
const (
	// Booting holds every new gate until its agent opens it.
	Booting Reason = "booting"
	// Drained is a failure domain that operators have taken out.
	Drained Reason = "drained"
	// Leaving is an agent that shuts down.
	Leaving Reason = "leaving"
	// Listed is a VM that the platform lists as leaving.
	Listed Reason = "listedLeaving"
	// Switching is an engine that is put to other weights.
	Switching Reason = "switching"
	// Stale is an agent without fresh word of the bundle in force.
	Stale Reason = "staleBundle"
	// Unproven is an engine not yet known to hold the weights it should.
	Unproven Reason = "unproven"
	// Gone is an upstream that does not answer at all.
	Gone Reason = "upstreamGone"

	// Full is a gate at its present limit.
	Full Reason = "full"
	// Unconfirmed is a gate that waits for a probe before it lets more through.
	Unconfirmed Reason = "unconfirmed"
	// Expired is a request whose deadline has passed.
	Expired Reason = "expired"
	// WrongWeights is a request for weights that the engine does not hold.
	WrongWeights Reason = "wrongWeights"
	// WrongStart is a request bound to another start of the engine.
	WrongStart Reason = "wrongStart"
)

// RefusedError reports a request that was not passed on: it certainly has not
// run here.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when this agent is likely to take the request; 0 when it is
	// better to ask another.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("gate refused: %s", e.Reason)
}

// Probe is what asking the upstream for its state gave.
type Probe struct {
	// Mark is what Gate.Mark gave before the probe was sent.
	Mark Mark
	// Err is set when the probe failed; the other fields are then ignored.
	Err error
	// Latency is how long the answer took.
	Latency time.Duration

	StartID                  string
	Uptime                   time.Duration
	Cold                     bool
	Model, Version, Manifest string
}

// Mark is a point in the gate's own order of events: it tells what a probe's
// answer can prove, whenever that answer arrives.
type Mark struct {
	connected, narrowed uint64
}
