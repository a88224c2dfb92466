package fetcher

import (
	"fmt"
	"time"
)

// CorruptError reports bytes that differ from the requested ones in their digest
// or size.
type CorruptError struct {
	// Source is the sender of the bytes, if known.
	Source string
	// Digest was requested, Got was received.
	Digest, Got string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s returned %s instead of %s", e.Source, e.Got, e.Digest)
}

// InvalidManifestError reports a manifest with a matching digest and invalid content:
// it was published that way, so no other source can help.
type InvalidManifestError struct {
	Digest, Problem string
}

func (e *InvalidManifestError) Error() string {
	return fmt.Sprintf("manifest %s: %s", e.Digest, e.Problem)
}

// UnavailableError reports a source that didn't respond, disconnected, stalled, or
// refused temporarily.
type UnavailableError struct {
	Source string
	// Status is the HTTP status; 0 when there was none.
	Status int
	// RetryAfter is the source's requested delay before a retry; 0 when it stated
	// none.
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s unavailable: %v", e.Source, e.Err)
	}
	return fmt.Sprintf("%s unavailable: status %d", e.Source, e.Status)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// Busy reports whether the source is alive and merely had no free upload slot.
func (e *UnavailableError) Busy() bool { return e.Status == 429 }

// NotHeldError reports a source that is alive and doesn't have the digest.
type NotHeldError struct {
	Source, Digest string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("%s does not hold %s", e.Source, e.Digest)
}
