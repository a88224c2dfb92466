package deduplicator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	claimPrefix = "claims/"
	// DefaultClaimRetain is how long a claim outlives its making.
	DefaultClaimRetain = 24 * time.Hour
	// leasesPerRetain is how often a fresh lease is taken within the retention:
	// claims share leases, so that a claim costs one write and not two.
	leasesPerRetain = 24
	claimAttempts   = 3
)

// Claims binds keys of callers' own making, which do not say which agent may run
// them, by one compare-and-swap each in the platform's store. Set the exported
// fields before the first call.
type Claims struct {
	Store storer.Store
	Clock clock.PassiveClock
	// Retain is how long a claim is kept; a caller that repeats a key later than
	// that makes a new call. 0 means DefaultClaimRetain.
	Retain time.Duration

	mu      sync.Mutex
	lease   string
	granted time.Time
}

// ClaimError reports that a claim could be neither made nor found. Nothing was
// run by it.
type ClaimError struct {
	Err error
}

func (e *ClaimError) Error() string { return "claim: " + e.Err.Error() }

func (e *ClaimError) Unwrap() error { return e.Err }

// Claim gives the bound key behind a caller's own, binding it to mint's key if
// nobody has yet; first tells that this very call did so, and that no attempt
// can have run before.
func (c *Claims) Claim(ctx context.Context, workspace, service, callerKey string, mint func() Key) (k Key, first bool, err error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return Key{}, false, &ClaimError{Err: err}
	}
	ours := mint()
	value, err := json.Marshal(ours)
	if err != nil {
		return Key{}, false, &ClaimError{Err: err}
	}
	at := claimKey(workspace, service, callerKey)
	for range claimAttempts {
		_, err = c.Store.Put(ctx, at, value, 0, lease)
		if err == nil {
			return ours, true, nil
		}
		// The claim may stand all the same: another's, or ours whose answer was
		// lost. Looking tells, since each bound key has a nonce of its own.
		k, found := c.Find(ctx, workspace, service, callerKey)
		if found == nil {
			return k, k.Nonce == ours.Nonce, nil
		}
		var none *storer.NotFoundError
		if !errors.As(found, &none) {
			return Key{}, false, &ClaimError{Err: errors.Join(err, found)}
		}
	}
	return Key{}, false, &ClaimError{Err: err}
}

// Find gives the bound key of a caller's own, and *storer.NotFoundError inside a
// *ClaimError when it has none.
func (c *Claims) Find(ctx context.Context, workspace, service, callerKey string) (Key, error) {
	item, err := c.Store.Get(ctx, claimKey(workspace, service, callerKey))
	if err != nil {
		return Key{}, &ClaimError{Err: err}
	}
	var k Key
	if err := json.Unmarshal(item.Value, &k); err != nil {
		return Key{}, &ClaimError{Err: fmt.Errorf("claim can not be read: %w", err)}
	}
	return k, nil
}

// claimKey hides the caller's key behind a digest: it may be of any form.
func claimKey(workspace, service, callerKey string) string {
	return claimPrefix + service + "/" + bundler.Digest([]byte(workspace+"\n"+callerKey))
}

func (c *Claims) currentLease(ctx context.Context) (string, error) {
	retain := c.Retain
	if retain == 0 {
		retain = DefaultClaimRetain
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != "" && c.Clock.Since(c.granted) < retain/leasesPerRetain {
		return c.lease, nil
	}
	at := c.Clock.Now()
	lease, err := c.Store.Grant(ctx, retain+retain/leasesPerRetain)
	if err != nil {
		return "", err
	}
	c.lease, c.granted = lease, at
	return lease, nil
}
