package deduplicator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/storer"
)

// Defaults and bounds of Claims.
const (
	defaultClaimRetain = 24 * time.Hour
	defaultRetryAfter  = time.Second
	// maxClaimAttempts bounds the retries after lost replies of the store.
	maxClaimAttempts = 4
	// leasesPerRetain is the number of leases granted per Retain: all claims of
	// one such period share a lease, which costs the store a single write.
	leasesPerRetain = 24
)

// Claims bind caller-provided keys to keys of the system, through the platform's store.
// Set the exported fields before the first call; all methods may be called
// concurrently.
type Claims struct {
	Store storer.Store
	// Clock only decides when to request a new lease; nil means the real clock.
	Clock clock.PassiveClock
	// Retain is the minimum time for which a claim is kept; 0 means 24 hours. A caller
	// that repeats a key after that starts a new call.
	Retain time.Duration
	// RetryAfter is put into errors while the store is down; 0 means one second.
	RetryAfter time.Duration

	mu      sync.Mutex
	lease   string
	granted time.Time
}

// ClaimError reports that the agent to which a caller's key is bound is not
// known. This attempt did not start the call.
type ClaimError struct {
	RetryAfter time.Duration
	Err        error
}

func (e *ClaimError) Error() string { return fmt.Sprintf("claim of a caller's key: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClaimError) Unwrap() error { return e.Err }

// UnclaimedError reports a key without a claim in the store.
type UnclaimedError struct{}

func (*UnclaimedError) Error() string { return "no call was made with this key lately" }

// Claim returns the key to which the caller's key is bound, and binds it to
// the result of mint if it is not bound yet. First is set if this call bound
// it: it has not run before, though a retry through another entry may find
// the claim and run it at any time. Errors are *KeyError and *ClaimError.
func (c *Claims) Claim(ctx context.Context, workspace, service, callerKey string, mint func() Key) (k Key, first bool, err error) {
	name, err := claimKey(workspace, service, callerKey)
	if err != nil {
		return Key{}, false, err
	}
	candidate := mint()
	for range maxClaimAttempts {
		err = c.create(ctx, name, candidate)
		if err == nil {
			return candidate, true, nil
		}
		var conflict *storer.ConflictError
		var unknown *storer.UnknownError
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return Key{}, false, c.claimError(err)
		}
		// The reply to a write can be lost after the write took effect. Writing
		// another key then would bind the caller's key twice, and two agents would
		// each run the booking once. So the value in the store is decisive.
		k, err = c.read(ctx, name, workspace, service)
		var missing *storer.NotFoundError
		if !errors.As(err, &missing) {
			return k, err == nil && k.String() == candidate.String(), c.claimError(err)
		}
	}
	return Key{}, false, c.claimError(err)
}

// Find returns the key to which the caller's key is bound. Errors are
// *KeyError, *UnclaimedError and *ClaimError.
func (c *Claims) Find(ctx context.Context, workspace, service, callerKey string) (Key, error) {
	name, err := claimKey(workspace, service, callerKey)
	if err != nil {
		return Key{}, err
	}
	k, err := c.read(ctx, name, workspace, service)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return Key{}, &UnclaimedError{}
	}
	return k, c.claimError(err)
}

// create writes the claim if there is none.
func (c *Claims) create(ctx context.Context, name string, k Key) error {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return err
	}
	_, err = c.Store.Put(ctx, name, []byte(k.String()), 0, lease)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		c.dropLease(lease)
	}
	return err
}

func (c *Claims) read(ctx context.Context, name, workspace, service string) (Key, error) {
	item, err := c.Store.Get(ctx, name)
	if err != nil {
		return Key{}, err
	}
	k, err := ParseKey(string(item.Value))
	if err != nil {
		return Key{}, err
	}
	if k.Workspace != workspace || k.Service != service {
		return Key{}, &KeyError{Problem: "claim is of another workspace or service"}
	}
	return k, nil
}

// currentLease returns the lease for new claims. A claim must outlive every retry
// of its caller, or the retry would run as a new call. The lease is
// therefore never renewed or revoked, and lasts Retain beyond its period.
func (c *Claims) currentLease(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	period := c.retain() / leasesPerRetain
	if c.lease != "" && now.Sub(c.granted) < period {
		return c.lease, nil
	}
	lease, err := c.Store.Grant(ctx, c.retain()+2*period)
	if err != nil {
		// A lease whose grant was not confirmed has no keys attached and expires by itself.
		return "", &storer.UnavailableError{Op: "grant", Err: err}
	}
	c.lease, c.granted = lease, now
	return lease, nil
}

func (c *Claims) dropLease(lease string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = ""
	}
}

func (c *Claims) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock.Now()
}

func (c *Claims) retain() time.Duration {
	if c.Retain <= 0 {
		return defaultClaimRetain
	}
	return c.Retain
}

// claimError wraps an error of writing or reading a claim; nil stays nil.
func (c *Claims) claimError(err error) error {
	if err == nil {
		return nil
	}
	after := c.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	return &ClaimError{RetryAfter: after, Err: err}
}

// claimKey returns the claim's key in the store. The hash keeps text of callers
// out of the store's keys.
func claimKey(workspace, service, callerKey string) (string, error) {
	if callerKey == "" || len(callerKey) > MaxKeyBytes {
		return "", &KeyError{Problem: fmt.Sprintf("caller's key has %d bytes, want 1 to %d", len(callerKey), MaxKeyBytes)}
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + callerKey))
	return "claims/" + service + "/" + hex.EncodeToString(sum[:]), nil
}
