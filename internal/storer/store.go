// Package storer is the client of the platform's key-value service: compare-and-swap,
// leases and watches, with errors that state whether a write may have taken effect.
package storer

import (
	"context"
	"fmt"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Version is the service's counter at the last change of the key.
	Version uint64
}

// Store is the key-value service. All methods are safe for concurrent use.
type Store interface {
	// Get reads one key; *NotFoundError if it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes the key if its version is the given one; version 0 means that
	// the key must not exist. The key is deleted when the lease expires, unless lease
	// is empty. It returns the new version, *ConflictError or *UnknownError.
	Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// Delete removes the key if its version is the given one.
	Delete(ctx context.Context, key string, version uint64) error
	// List reads all keys with the prefix.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Watch waits until the key's version is above after; *UnchangedError once
	// wait is over, *NotFoundError if the key was deleted.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Item, error)
	// Grant creates a lease that expires after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew restarts the lease's ttl; *NotFoundError once it has expired.
	Renew(ctx context.Context, lease string) error
}

// NotFoundError reports a key or a lease that does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %q does not exist", e.Key) }

// ConflictError reports a write whose condition did not hold.
type ConflictError struct {
	Key string
	// Version is the key's current version, 0 if it does not exist.
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %q is at version %d", e.Key, e.Version)
}

// UnavailableError reports a call that certainly did not take effect.
type UnavailableError struct {
	Op, Key string
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s %q: unavailable: %v", e.Op, e.Key, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError reports a write that may or may not have taken effect: it was sent, but
// the response was lost. Only reading the key again resolves that.
type UnknownError struct {
	Op, Key string
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: %s %q: outcome unknown: %v", e.Op, e.Key, e.Err)
}

func (e *UnknownError) Unwrap() error { return e.Err }

// UnchangedError reports a watch that ended without a change.
type UnchangedError struct {
	Key string
	// After is the version given to Watch.
	After uint64
}

func (e *UnchangedError) Error() string {
	return fmt.Sprintf("store: %q has not changed since version %d", e.Key, e.After)
}

// RefusedError reports a call that the service refused as invalid, such as a value
// above a megabyte. It did not take effect, and a retry would fail as well.
type RefusedError struct {
	Op, Key string
	// Status is the HTTP status.
	Status int
	Text   string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: %s %q: refused (%d): %s", e.Op, e.Key, e.Status, e.Text)
}

// CompactedError reports a watch that requested history which the service has deleted.
// The reader has to start again from a list.
type CompactedError struct {
	// After is the version given to the watch.
	After uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: history after version %d is gone", e.After)
}
