// Package forwarder is the data path between an entry and an agent: HTTP with
// an order that carries the request's id, attempt and deadline, and responses
// that state whether the request ran. The wire format is private to it.
package forwarder

import (
	"fmt"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Paths and headers of the protocol.
const (
	pathGenerate = "/run/generate"
	pathCall     = "/run/call"
	pathLookup   = "/run/lookup"
	pathCancel   = "/run/cancel"

	headerOrder   = "Oriolecroft-Order"
	headerOutcome = "Oriolecroft-Outcome"
	headerRequest = "Oriolecroft-Request"
	headerAttempt = "Oriolecroft-Attempt"
	headerEngine  = "Oriolecroft-Engine-Start"
	// headerAgent carries the agent's state as JSON, so that an entry learns its
	// agents' capacity from each response and not only from heartbeats.
	headerAgent = "Oriolecroft-Agent"
)

// The values of headerOutcome.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
)

// MaxBody is the largest body of a call or its reply, in bytes.
const MaxBody = 1 << 20

// Attempt identifies one attempt of one request. The agent echoes it and the entry drops
// responses to other attempts: a late response on a reused connection must never
// reach the wrong caller.
type Attempt struct {
	RequestID string `json:"requestId"`
	Number    int    `json:"number"`
}

// GenerateOrder requests a stream of tokens from an agent's engine.
type GenerateOrder struct {
	Attempt   Attempt `json:"attempt"`
	Workspace string  `json:"workspace"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter,omitempty"`
	Prompt    string  `json:"prompt"`
	MaxTokens int     `json:"maxTokens"`
	Priority  int     `json:"priority,omitempty"`
	// Revision is the bundle revision that the entry's decision is based on.
	Revision uint64 `json:"revision"`
	// Version and EngineStart must match the engine; empty ones match any.
	Version     string `json:"version,omitempty"`
	EngineStart string `json:"engineStart,omitempty"`
	// Stream is the name of the stream in the engine, for a resume.
	Stream string `json:"stream"`
	// From is the index of the first event to send; above 0 the stream is resumed, and
	// nothing runs again.
	From int `json:"from,omitempty"`
	// DeadlineMS is the remaining time in milliseconds when the order is sent.
	DeadlineMS int64 `json:"deadlineMs"`
}

// CallOrder requests one call from an agent's plain service; the body is sent separately.
type CallOrder struct {
	Attempt   Attempt `json:"attempt"`
	Workspace string  `json:"workspace"`
	Service   string  `json:"service"`
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	Priority  int     `json:"priority,omitempty"`
	Revision  uint64  `json:"revision"`
	// Key is the bound idempotency key; empty only for idempotent services.
	Key        string            `json:"key,omitempty"`
	Header     map[string]string `json:"header,omitempty"`
	DeadlineMS int64             `json:"deadlineMs"`
}

// Event is one event of a stream of tokens; the last has Done or Failure.
type Event struct {
	Index   int    `json:"index"`
	Token   string `json:"token,omitempty"`
	Version string `json:"version,omitempty"`
	Weights string `json:"weights,omitempty"`
	// AdapterWeights are the adapter's weights, if one was used.
	AdapterWeights string   `json:"adapterWeights,omitempty"`
	Done           bool     `json:"done,omitempty"`
	Tokens         int      `json:"tokens,omitempty"`
	Digest         string   `json:"digest,omitempty"`
	Failure        *Failure `json:"failure,omitempty"`
	// Agent is the agent's state at the end of the stream.
	Agent *messenger.AgentState `json:"agent,omitempty"`
}

// Failure ends a stream that could not be completed.
type Failure struct {
	Message string `json:"message"`
}

// Reply is a plain service's complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when an earlier attempt with the same key ran, and this is a
	// copy of its reply.
	Replayed bool
	// Agent is the agent's state after the call.
	Agent *messenger.AgentState
}

// KeyState is the state of a key's call.
type KeyState string

// The states of a key's call.
const (
	KeyRan     KeyState = "ran"
	KeyRunning KeyState = "running"
	KeyNotRun  KeyState = "notRun"
	KeyUnknown KeyState = "unknown"
)

// NotRunError states that the request never reached the upstream, as the agent
// reports or because a dial failed.
type NotRunError struct {
	Reason     string        `json:"reason"`
	RetryAfter time.Duration `json:"-"`
	// Busy means that the upstream was full and there was no other problem.
	Busy bool `json:"busy,omitempty"`
	// KeyClosed means that the key will never run: a caller needs a new one.
	KeyClosed bool `json:"keyClosed,omitempty"`
	// Gone means that the agent itself could not be reached.
	Gone bool `json:"-"`
	// Agent is the agent's state when it refused.
	Agent *messenger.AgentState `json:"-"`
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnknownError means that the request may have run.
type UnknownError struct {
	Reason string
}

func (e *UnknownError) Error() string { return "unknown whether it ran: " + e.Reason }

// AttemptMismatchError reports a response to another attempt than the one sent.
type AttemptMismatchError struct {
	Want Attempt
	Got  string
}

func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer to %s arrived for %s/%d", e.Got, e.Want.RequestID, e.Want.Number)
}
