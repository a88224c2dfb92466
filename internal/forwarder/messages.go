// Package forwarder is the data path between an entry and an agent: HTTP, with
// an order that names the request, its attempt and its deadline, and replies
// that say whether the request ran. Nothing outside it knows the wire.
package forwarder

import (
	"fmt"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Paths and headers of the wire.
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
	// headerAgent carries the agent's account of itself as JSON, so that an entry
	// knows what its agents bear from each answer and not only from heartbeats.
	headerAgent = "Oriolecroft-Agent"
)

// The words of headerOutcome.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
)

// MaxBody is the largest body of a call or its reply, in bytes.
const MaxBody = 1 << 20

// Attempt names one try of one request. The agent echoes it and the entry drops
// an answer that names another: a late answer on a reused connection must never
// reach the wrong caller.
type Attempt struct {
	RequestID string `json:"requestId"`
	Number    int    `json:"number"`
}

// GenerateOrder asks an agent's engine for a stream of tokens.
type GenerateOrder struct {
	Attempt   Attempt `json:"attempt"`
	Workspace string  `json:"workspace"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter,omitempty"`
	Prompt    string  `json:"prompt"`
	MaxTokens int     `json:"maxTokens"`
	Priority  int     `json:"priority,omitempty"`
	// Revision is the bundle by which the entry decided.
	Revision uint64 `json:"revision"`
	// Version and EngineStart bind the reply; empty means whatever is in force.
	Version     string `json:"version,omitempty"`
	EngineStart string `json:"engineStart,omitempty"`
	// Stream names the stream in the engine, for a resume.
	Stream string `json:"stream"`
	// From is the first event wanted; above 0 the stream is resumed, and nothing
	// is run anew.
	From int `json:"from,omitempty"`
	// DeadlineMS is what is left, in milliseconds, when the order is sent.
	DeadlineMS int64 `json:"deadlineMs"`
}

// CallOrder asks an agent's plain service for one call; the body goes beside it.
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

// Event is one step of a stream of tokens; the last has Done or Failure.
type Event struct {
	Index   int    `json:"index"`
	Token   string `json:"token,omitempty"`
	Version string `json:"version,omitempty"`
	Weights string `json:"weights,omitempty"`
	// AdapterWeights is the adapter's, when one was used.
	AdapterWeights string   `json:"adapterWeights,omitempty"`
	Done           bool     `json:"done,omitempty"`
	Tokens         int      `json:"tokens,omitempty"`
	Digest         string   `json:"digest,omitempty"`
	Failure        *Failure `json:"failure,omitempty"`
	// Agent is the agent's account of itself at the end of the stream.
	Agent *messenger.AgentState `json:"agent,omitempty"`
}

// Failure ends a stream that could not be completed.
type Failure struct {
	Message string `json:"message"`
}

// Reply is a plain service's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when an earlier attempt with the same key ran, and this is
	// its answer again.
	Replayed bool
	// Agent is the agent's account of itself after the call.
	Agent *messenger.AgentState
}

// Fate is what became of a key.
type Fate string

// The fates of a key.
const (
	FateRan     Fate = "ran"
	FateRunning Fate = "running"
	FateNotRun  Fate = "notRun"
	FateUnknown Fate = "unknown"
)

// NotRunError is the agent's own word, or a dial that failed: the request never
// reached the upstream.
type NotRunError struct {
	Reason     string        `json:"reason"`
	RetryAfter time.Duration `json:"-"`
	// Busy means that the upstream was full and nothing else was wrong.
	Busy bool `json:"busy,omitempty"`
	// KeyClosed means the key will never run: a caller needs a new one.
	KeyClosed bool `json:"keyClosed,omitempty"`
	// Gone means that the agent itself could not be reached.
	Gone bool `json:"-"`
	// Agent is the agent's account of itself when it refused.
	Agent *messenger.AgentState `json:"-"`
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnknownError means that the request may have run.
type UnknownError struct {
	Reason string
}

func (e *UnknownError) Error() string { return "unknown whether it ran: " + e.Reason }

// CrossedError reports an answer to another attempt than the one asked.
type CrossedError struct {
	Want Attempt
	Got  string
}

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer to %s arrived for %s/%d", e.Got, e.Want.RequestID, e.Want.Number)
}
