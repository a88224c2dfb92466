package gossiper

import (
	"fmt"
	"time"
)

// NoBundleError reports a process without a bundle, which refuses all work.
type NoBundleError struct{}

func (e *NoBundleError) Error() string { return "no bundle is known yet" }

// StaleError reports that the bundle was not confirmed as the newest for too
// long: a newer one may have moved the work elsewhere.
type StaleError struct {
	Revision uint64
	// Age is the time since the store confirmed Revision as the newest; negative if
	// it never did.
	Age time.Duration
	// Limit is State.FreshFor.
	Limit time.Duration
	// Known is the highest known revision. If it is above Revision, the process is
	// certainly behind.
	Known uint64
}

func (e *StaleError) Error() string {
	if e.Known > e.Revision {
		return fmt.Sprintf("revision %d is superseded by %d, which has not arrived", e.Revision, e.Known)
	}
	if e.Age < 0 {
		return fmt.Sprintf("revision %d was never confirmed as the newest", e.Revision)
	}
	return fmt.Sprintf("revision %d was last confirmed %v ago, over the limit of %v", e.Revision, e.Age, e.Limit)
}

// RolledBackError reports that the store holds a lower revision than one
// accepted earlier: it was restored from an old copy.
type RolledBackError struct {
	Held, Found uint64
}

func (e *RolledBackError) Error() string {
	return fmt.Sprintf("the store holds revision %d, but %d was accepted before: it was rolled back", e.Found, e.Held)
}

// EmptyStoreError reports a store without a bundle although one was accepted.
type EmptyStoreError struct {
	Held uint64
}

func (e *EmptyStoreError) Error() string {
	return fmt.Sprintf("the store holds no bundle, but revision %d was accepted before", e.Held)
}

// ForkError reports two different bundles with the same revision.
type ForkError struct {
	Revision    uint64
	Held, Found string
}

func (e *ForkError) Error() string {
	return fmt.Sprintf("revision %d exists twice: %s is held, %s was found", e.Revision, e.Held, e.Found)
}

// BadRecordError reports a record that is corrupt or lacks sign-offs.
type BadRecordError struct {
	// Digest is that of the record's payload; empty if it could not be decoded.
	Digest string
	Err    error
}

func (e *BadRecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Digest, e.Err) }

func (e *BadRecordError) Unwrap() error { return e.Err }
