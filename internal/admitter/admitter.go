// Package admitter is an agent's gate: it alone decides whether a request may
// pass to the upstream on the same VM. Its count is exact because the upstream
// is reached only through it, and it treats every unexplained sign as a restart.
// It has no network access and reads only the given clock.
package admitter

import (
	"fmt"
	"time"
)

// Request is a request for admission. Empty fields impose no condition.
type Request struct {
	// Priority is the request's priority for the upstream and the logs. The gate
	// has no queue to order: entries shed by priority.
	Priority int
	// Deadline is when the caller gives up; zero for never.
	Deadline time.Time
	// Model, Version and Manifest are the weights the reply must come from.
	Model, Version, Manifest string
	// EngineStart binds a resumed stream to one start of the engine.
	EngineStart string
}

// Result is how an admitted request ended.
type Result struct {
	Outcome Outcome
	// Latency is the time from admission to the end of the reply.
	Latency time.Duration
}

// Outcome is how a request ended, as observed on the connection to the
// upstream.
type Outcome int

// The outcomes of a request.
const (
	// Served means that the reply was complete.
	Served Outcome = iota
	// Failed means that a healthy upstream reported an error of the request
	// itself.
	Failed
	// Refused means that the upstream refused the request or the connection.
	Refused
	// Cut means that the reply ended early.
	Cut
	// Cancelled means that the caller gave up, which shows nothing about the
	// upstream.
	Cancelled
)

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal. The first group are also reasons to close the
// gate.
const (
	// Booting closes every new gate until its agent opens it.
	Booting Reason = "booting"
	// Drained means that operators have drained the failure domain.
	Drained Reason = "drained"
	// Leaving means that the agent is shutting down.
	Leaving Reason = "leaving"
	// ListedLeaving means that the platform lists the VM as leaving.
	ListedLeaving Reason = "listedLeaving"
	// Switching means that the engine is switching to other weights.
	Switching Reason = "switching"
	// StaleBundle means that the agent has no recent confirmation of the bundle
	// in force.
	StaleBundle Reason = "staleBundle"
	// Unproven means that the engine has not been verified to hold its assigned
	// weights.
	Unproven Reason = "unproven"
	// UpstreamGone means that the upstream does not answer at all.
	UpstreamGone Reason = "upstreamGone"

	// Full means that the gate is at its current limit.
	Full Reason = "full"
	// Unconfirmed means that the gate admits no more requests until the next
	// probe.
	Unconfirmed Reason = "unconfirmed"
	// Expired means that the request's deadline has passed.
	Expired Reason = "expired"
	// WrongWeights means that the engine does not hold the requested weights.
	WrongWeights Reason = "wrongWeights"
	// WrongStart means that the request is bound to another start of the
	// engine.
	WrongStart Reason = "wrongStart"
)

// RefusedError reports a request that was not admitted: it has certainly not
// run here.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when this agent is likely to admit the request; 0 if
	// another agent is the better choice.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("gate refused: %s", e.Reason)
}

// Probe is the result of querying the upstream's state.
type Probe struct {
	// Mark is the result of Gate.Mark before the probe was sent.
	Mark Mark
	// Err is set if the probe failed; the other fields are then ignored.
	Err error
	// Latency is how long the answer took.
	Latency time.Duration

	StartID                  string
	Uptime                   time.Duration
	Cold                     bool
	Model, Version, Manifest string
}

// Mark is a point in the gate's sequence of events. It determines what the
// answer to a probe can confirm, regardless of when it arrives.
type Mark struct {
	connected, resets uint64
}
