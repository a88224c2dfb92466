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
	// claimTries bounds how often a lost answer of the store is followed up.
	claimTries = 4
	// leasesPerRetain is how many leases are granted per Retain: all claims of
	// one such period share a lease, which costs the store one write for them.
	leasesPerRetain = 24
)

// Claims bind keys that callers made themselves, by way of the platform's store.
// Set the exported fields before the first call; all methods may be called
// concurrently.
type Claims struct {
	Store storer.Store
	// Clock is only for when to take a new lease; nil means the real one.
	Clock clock.PassiveClock
	// Retain is the least time that a claim is kept; 0 means 24 hours. A caller
	// that repeats a key later than that starts a new call.
	Retain time.Duration
	// RetryAfter goes into errors while the store is out; 0 means one second.
	RetryAfter time.Duration

	mu      sync.Mutex
	lease   string
	granted time.Time
}

// ClaimError reports that it is not known to which agent a caller's key is
// bound. The call was not started by this attempt.
type ClaimError struct {
	RetryAfter time.Duration
	Err        error
}

func (e *ClaimError) Error() string { return fmt.Sprintf("claim of a caller's key: %v", e.Err) }

// Unwrap gives the cause.
func (e *ClaimError) Unwrap() error { return e.Err }

// UnclaimedError reports a key of which the store knows nothing.
type UnclaimedError struct{}

func (*UnclaimedError) Error() string { return "no call was made with this key lately" }

// Claim gives the key to which the caller's own key is bound, and binds it to
// what mint gives if it is not bound yet. First is set when this very call bound
// it: nobody can have run it before, though a retry through another entry may
// find the claim and run it from now on. Errors are *KeyError and *ClaimError.
func (c *Claims) Claim(ctx context.Context, workspace, service, callerKey string, mint func() Key) (k Key, first bool, err error) {
	name, err := claimName(workspace, service, callerKey)
	if err != nil {
		return Key{}, false, err
	}
	ours := mint()
	for range claimTries {
		err = c.create(ctx, name, ours)
		if err == nil {
			return ours, true, nil
		}
		var conflict *storer.ConflictError
		var unknown *storer.UnknownError
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return Key{}, false, c.failed(err)
		}
		// The answer to a write can be lost after the write took effect. To write
		// another key then would bind the caller's key twice, and two agents would
		// each run the booking once. So what stands in the store decides.
		k, err = c.read(ctx, name, workspace, service)
		var missing *storer.NotFoundError
		if !errors.As(err, &missing) {
			return k, err == nil && k.String() == ours.String(), c.failed(err)
		}
	}
	return Key{}, false, c.failed(err)
}

// Find gives the key to which the caller's own key is bound. Errors are
// *KeyError, *UnclaimedError and *ClaimError.
func (c *Claims) Find(ctx context.Context, workspace, service, callerKey string) (Key, error) {
	name, err := claimName(workspace, service, callerKey)
	if err != nil {
		return Key{}, err
	}
	k, err := c.read(ctx, name, workspace, service)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return Key{}, &UnclaimedError{}
	}
	return k, c.failed(err)
}

// create writes the claim if there is none.
func (c *Claims) create(ctx context.Context, name string, k Key) error {
	lease, err := c.leased(ctx)
	if err != nil {
		return err
	}
	_, err = c.Store.Put(ctx, name, []byte(k.String()), 0, lease)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		c.drop(lease)
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

// leased gives the lease for claims made now. A claim must outlive every retry
// of its caller: were it gone, the retry would run as a new call. The lease is
// therefore never renewed nor given back, and lasts Retain beyond its period.
func (c *Claims) leased(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	period := c.retain() / leasesPerRetain
	if c.lease != "" && now.Sub(c.granted) < period {
		return c.lease, nil
	}
	lease, err := c.Store.Grant(ctx, c.retain()+2*period)
	if err != nil {
		// A lease whose grant was not answered holds nothing and lapses by itself.
		return "", &storer.UnavailableError{Op: "grant", Err: err}
	}
	c.lease, c.granted = lease, now
	return lease, nil
}

func (c *Claims) drop(lease string) {
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

// failed wraps what kept a claim from being made or read; nil stays nil.
func (c *Claims) failed(err error) error {
	if err == nil {
		return nil
	}
	after := c.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	return &ClaimError{RetryAfter: after, Err: err}
}

// claimName is where in the store the claim lies. The hash keeps what callers
// write out of the store's key space.
func claimName(workspace, service, callerKey string) (string, error) {
	if callerKey == "" || len(callerKey) > MaxKeyBytes {
		return "", &KeyError{Problem: fmt.Sprintf("caller's key has %d bytes, want 1 to %d", len(callerKey), MaxKeyBytes)}
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + callerKey))
	return "claims/" + service + "/" + hex.EncodeToString(sum[:]), nil
}
