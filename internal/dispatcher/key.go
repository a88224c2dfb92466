package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

// newKey binds a fresh key to the chosen agent's current incarnation.
func (d *Dispatcher) newKey(workspace, service string, c *router.Choice) deduplicator.Key {
	return deduplicator.Key{
		Workspace:   workspace,
		Service:     service,
		Owner:       c.AgentID,
		Incarnation: c.Incarnation,
		Issued:      d.Clock.Now(),
		Nonce:       uuid.NewString(),
	}
}

// resolveKey finds the bound key for the caller's key. One of the caller's own making
// is claimed if it has not been yet, for a call and for a lookup alike: a lookup
// closes it at its owner, and a call with it that is in flight must not run after
// that, since the caller may have booked again after "not run".
func (d *Dispatcher) resolveKey(ctx context.Context, workspace, service, key string) (deduplicator.Key, error) {
	if !deduplicator.IsKey(key) {
		return d.claimKey(ctx, workspace, service, key)
	}
	k, err := deduplicator.ParseKey(key)
	if err != nil {
		return deduplicator.Key{}, newRefusal(http.StatusBadRequest, err.Error(), 0)
	}
	if k.Workspace != workspace || k.Service != service {
		return deduplicator.Key{}, newRefusal(http.StatusBadRequest, "key: was made for another workspace or service", 0)
	}
	return k, nil
}

// claimKey returns the bound key for a caller's own, binding it if need be.
func (d *Dispatcher) claimKey(ctx context.Context, workspace, service, key string) (deduplicator.Key, error) {
	fresh, err := d.mint(workspace, service)
	if err != nil {
		return deduplicator.Key{}, err
	}
	k, _, err := d.Claims.Claim(ctx, workspace, service, key, func() deduplicator.Key { return fresh })
	var invalid *deduplicator.KeyError
	switch {
	case errors.As(err, &invalid):
		return deduplicator.Key{}, newRefusal(http.StatusBadRequest, err.Error(), 0)
	case err != nil:
		return deduplicator.Key{}, newRefusal(http.StatusServiceUnavailable, err.Error(), randomRetryAfter())
	}
	return k, nil
}

// sleep waits unless the request ends first.
func sleep(ctx context.Context, c clock.Clock, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := c.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C():
		return true
	}
}
