// Package relayer answers callers: it finds a request's route, places it at an
// upstream, and hands the reply on whole or visibly broken. It knows no names of the
// wire; a Codec has them.
package relayer

import (
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/observer"
)

// Request is what a caller says of a request besides method, path and body.
type Request struct {
	// ID names this attempt of the caller's; each has its own.
	ID string
	// Key is the API key; empty for none.
	Key string
	// Model is the model that a generation asks for.
	Model string
	// Prompt and MaxAnswer are a generation's size in tokens; Hint is the caller's
	// guess of the answer's, 0 for none.
	Prompt, MaxAnswer, Hint int
	// Parts are the IDs of the prompt's parts in order. Requests share them, but for the last one, which
	// is the request's own or its session's.
	Parts []string
	// LastEvent is the last event of a stream that the caller has.
	LastEvent string
	// Patience is how long the caller waits; 0 when not told.
	Patience time.Duration
}

// Answer is the likely size of a generation's answer in tokens.
func (r Request) Answer() int {
	if r.Hint > 0 && (r.Hint < r.MaxAnswer || r.MaxAnswer == 0) {
		return r.Hint
	}
	return r.MaxAnswer
}

// SharedParts are the IDs of the prompt's parts that other requests may have too.
func (r Request) SharedParts() []string {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Send is what the system itself tells the upstream of one attempt.
type Send struct {
	// Upstream is the start of the upstream that is meant; any other refuses.
	Upstream string
	// Workspace is whom the request is for; empty for public routes.
	Workspace string
	// Left is the time that remains.
	Left time.Duration
	// LastEvent replaces the caller's own when a stream goes on elsewhere; empty
	// leaves it.
	LastEvent string
	// Version binds the attempt to a version of the weights; 0 for any.
	Version uint64
	// Priority is the request's; nil at services where all requests have the same.
	Priority *int
}

// Reply is what an upstream's header says of a reply.
type Reply struct {
	// ID is the attempt that it answers; empty when not told.
	ID string
	// NotRun says that the request did not run there and never will.
	NotRun bool
	// Upstream is the start of the upstream that refuses a request meant for another one; empty when
	// unknown.
	Upstream string
	// Sealed replies bear the upstream's proof that they are its own.
	Sealed bool
	// Version is that of the weights; 0 when not told.
	Version uint64
	// Running, Waiting and Slots are the upstream's load; Slots is 0 when not told.
	Running, Waiting, Slots int
	// Pace is by what factor the upstream is slower than normal at the moment; 0 when not stated.
	Pace float64
	// Idle is how long the upstream keeps an idle connection; 0 when not told.
	Idle time.Duration
	// Stated is what the upstream asks of those who send to it.
	Stated observer.Statements
}

// Codec reads and writes the headers of the wire.
type Codec interface {
	Request(h http.Header) Request
	// Outgoing makes an attempt's header from the caller's.
	Outgoing(h http.Header, s Send) http.Header
	Reply(status int, h http.Header) Reply
	// EventVersion gives the version of the weights that an event of a stream states, as they change with it;
	// 0 for none.
	EventVersion(event []byte) uint64
	// Returned makes the header for the caller from the upstream's.
	Returned(h http.Header) http.Header
}
