package fetcher

import (
	"fmt"
	"time"
)

// CorruptError reports bytes that are not those asked for: another digest, or
// another size.
type CorruptError struct {
	// Source names who sent the bytes, where known.
	Source string
	// Digest was asked for, Got was received.
	Digest, Got string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s sent %s for %s", e.Source, e.Got, e.Digest)
}

// ShapeError reports a manifest whose digest is right and whose content isn't:
// it was published so, and no other source can help.
type ShapeError struct {
	Digest, Problem string
}

func (e *ShapeError) Error() string {
	return fmt.Sprintf("manifest %s: %s", e.Digest, e.Problem)
}

// UnavailableError reports a source that didn't answer, broke off, stalled, or
// refused for now.
type UnavailableError struct {
	Source string
	// Status is the HTTP status; 0 when there was none.
	Status int
	// RetryAfter is how long the source asked to be left alone; 0 when it said
	// nothing.
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

// Busy tells whether the source is alive and only had no free upload slot.
func (e *UnavailableError) Busy() bool { return e.Status == 429 }

// NotHeldError reports a source that is alive and doesn't have the digest.
type NotHeldError struct {
	Source, Digest string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("%s does not hold %s", e.Source, e.Digest)
}
