package driver

import "fmt"

// NotSentError reports a request for which no connection was established: it
// certainly never reached the upstream.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to the upstream: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// UnknownError reports a request without a reply that may have run.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string { return fmt.Sprintf("upstream gave no reply: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// RefusedError reports an engine that refused to run the request.
type RefusedError struct {
	Status int
	Text   string
	// Fence is the engine's fence if the refusal is about fencing.
	Fence uint64
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.Status, e.Text)
}

// FencedError reports an order whose fence is older than the engine's.
type FencedError struct{ Sent, Fence uint64 }

func (e *FencedError) Error() string {
	return fmt.Sprintf("order with fence %d is behind the engine's %d", e.Sent, e.Fence)
}

// CutError reports a reply that started but was not received to its end.
type CutError struct {
	// Events is the number of events of a stream received before that.
	Events int
	Err    error
}

func (e *CutError) Error() string {
	return fmt.Sprintf("reply cut after %d events: %v", e.Events, e.Err)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// RestartedError reports that an upstream has restarted since it was called.
type RestartedError struct{ Was, Is string }

func (e *RestartedError) Error() string {
	return fmt.Sprintf("start %s in the place of %s", e.Is, e.Was)
}

// InconsistentError reports a stream whose tokens do not all come from the same weights,
// or whose last event does not match its tokens.
type InconsistentError struct{ Want, Got string }

func (e *InconsistentError) Error() string {
	return fmt.Sprintf("stream is not of one piece: want %s, got %s", e.Want, e.Got)
}

// ProtocolError reports an upstream that violates its protocol.
type ProtocolError struct {
	Problem string
	Err     error
}

func (e *ProtocolError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("upstream's wire: %s: %v", e.Problem, e.Err)
	}
	return "upstream's wire: " + e.Problem
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }
