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

// newKey binds a fresh key to the chosen agent's present incarnation.
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

// lookupKey finds the bound key behind what the caller gave.
func (d *Dispatcher) lookupKey(ctx context.Context, workspace, service, key string) (deduplicator.Key, error) {
	if !deduplicator.IsKey(key) {
		k, err := d.Claims.Find(ctx, workspace, service, key)
		var unclaimed *deduplicator.UnclaimedError
		if errors.As(err, &unclaimed) {
			return deduplicator.Key{}, refuse(http.StatusNotFound, err.Error(), 0)
		}
		if err != nil {
			return deduplicator.Key{}, refuse(http.StatusServiceUnavailable, err.Error(), pause())
		}
		return k, nil
	}
	k, err := deduplicator.ParseKey(key)
	if err != nil {
		return deduplicator.Key{}, refuse(http.StatusBadRequest, err.Error(), 0)
	}
	if k.Workspace != workspace || k.Service != service {
		return deduplicator.Key{}, refuse(http.StatusBadRequest, "key: was made for another workspace or service", 0)
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
