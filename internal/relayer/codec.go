// Package relayer answers callers: it finds a request's route, places it at an upstream, and passes the reply on
// whole or visibly broken. A Codec translates the names on the wire.
package relayer

import (
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/observer"
)

// Request is what a caller states about a request besides method, path and body.
type Request struct {
	// ID identifies this attempt of the caller; each attempt has its own.
	ID string
	// Key is the API key; empty for none.
	Key string
	// Model is the model requested for a generation.
	Model string
	// Prompt and MaxAnswer are a generation's sizes in tokens; Hint is the caller's estimate of the answer's
	// size, 0 for none.
	Prompt, MaxAnswer, Hint int
	// Parts are the IDs of the prompt's parts in order. Requests may share all but the last one, which belongs
	// to the request or its session.
	Parts []string
	// LastEvent is the last event of a stream that the caller received.
	LastEvent string
	// The caller's time limit; 0 if not stated.
	Patience time.Duration
}

// ExpectedAnswer is the likely size of a generation's answer in tokens.
func (r Request) ExpectedAnswer() int {
	if r.Hint > 0 && (r.Hint < r.MaxAnswer || r.MaxAnswer == 0) {
		return r.Hint
	}
	return r.MaxAnswer
}

// SharedParts returns the IDs of the prompt's parts that other requests may have too.
func (r Request) SharedParts() []string {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// OutgoingInfo is what the entry itself states to the upstream about one attempt.
type OutgoingInfo struct {
	// Upstream identifies the start of the upstream that is meant; any other refuses.
	Upstream string
	// Workspace is the workspace of the request; empty for public routes.
	Workspace string
	// Left is the remaining time.
	Left time.Duration
	// LastEvent replaces the caller's own when a stream is resumed at another upstream; empty leaves it.
	LastEvent string
	// Version restricts the attempt to a version of the weights; 0 for any.
	Version uint64
	// Priority is the request's priority; nil at services where all requests have the same.
	Priority *int
}

// Reply is what an upstream's header states about a reply.
type Reply struct {
	// ID is the attempt that it answers; empty if not stated.
	ID string
	// NotRun reports that the request did not run there and never will.
	NotRun bool
	// Upstream is the start of the upstream that refuses a request meant for another one; empty when
	// unknown.
	Upstream string
	// Sealed replies carry the upstream's proof that they are its own.
	Sealed bool
	// Version is that of the weights; 0 if not stated.
	Version uint64
	// Running, Waiting and Slots are the upstream's load; Slots is 0 if not stated.
	Running, Waiting, Slots int
	// Pace is the factor by which the upstream is currently slower than normal; 0 if not stated.
	Pace float64
	// Idle is how long the upstream keeps an idle connection; 0 if not stated.
	Idle time.Duration
	// Stated is what the upstream requests of its senders.
	Stated observer.Statements
}

// Codec reads and writes the headers on the wire.
type Codec interface {
	ParseRequest(h http.Header) Request
	// OutgoingHeader makes an attempt's header from the caller's.
	OutgoingHeader(h http.Header, s OutgoingInfo) http.Header
	ParseReply(status int, h http.Header) Reply
	// EventVersion returns the version of the weights that an event of a stream states, as it does when they
	// change with it; 0 for none.
	EventVersion(event []byte) uint64
	// ReturnedHeader makes the header for the caller from the upstream's.
	ReturnedHeader(h http.Header) http.Header
}
