package syncer

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/storer"
)

const (
	// leaseTTL is how long a dead entry stays on the lists that callers get. It must be well below
	// the six seconds after which no list may contain it.
	leaseTTL = 3 * time.Second
	// renewalsPerLease is how often a lease is renewed within its TTL: two renewals may be lost.
	renewalsPerLease = 3
	// retryPause is the pause after a failed call.
	retryPause = 300 * time.Millisecond
)

// Leases is the part of the store that manages leases and an entry's record.
type Leases interface {
	Lease(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	EndLease(ctx context.Context, lease uint64) error
	PutMember(ctx context.Context, m registrar.Member, lease uint64) error
}

// Registration keeps an entry's record in the store while the entry runs. Set the exported fields
// before Serve.
type Registration struct {
	Store  Leases
	Member registrar.Member
	Clock  clock.Clock
	// LeastLease is the shortest lease that the store grants; 0 for any.
	LeastLease time.Duration
	// Ready returns whether the entry accepts callers.
	Ready func() bool

	mu           sync.Mutex
	lease        uint64
	deregistered bool
}

// Serve runs until the context ends.
func (r *Registration) Serve(ctx context.Context) error {
	for {
		next := r.renewOrRegister(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Clock.After(next.Sub(r.Clock.Now())):
		}
	}
}

func (r *Registration) String() string { return "registration" }

// renewOrRegister renews the lease, or registers again, and returns the time of the next call. A lease runs from the
// arrival of the call at the store, and the answer may be read much later.
func (r *Registration) renewOrRegister(ctx context.Context) (next time.Time) {
	r.mu.Lock()
	lease, deregistered := r.lease, r.deregistered
	r.mu.Unlock()
	if deregistered || !r.Ready() {
		return r.nextRetry()
	}
	if lease == 0 {
		return r.register(ctx)
	}
	sentAt := r.Clock.Now()
	err := r.Store.Renew(ctx, lease)
	var notFound *storer.NotFoundError
	if errors.As(err, &notFound) {
		klog.InfoS("Lease not found", "lease", lease)
		return r.register(ctx)
	}
	if err != nil {
		klog.V(1).InfoS("Lease not renewed", "lease", lease, "err", err)
		return r.nextRetry()
	}
	return sentAt.Add(r.ttl() / renewalsPerLease)
}

func (r *Registration) nextRetry() time.Time { return r.Clock.Now().Add(retryPause) }

func (r *Registration) ttl() time.Duration { return max(leaseTTL, r.LeastLease) }

// register writes the entry's record under a new lease, unless the entry is deregistered meanwhile.
func (r *Registration) register(ctx context.Context) (next time.Time) {
	if !r.replaceLease(0) {
		return r.nextRetry()
	}
	sentAt := r.Clock.Now()
	lease, err := r.Store.Lease(ctx, r.ttl())
	if err != nil {
		klog.InfoS("Lease not granted", "err", err)
		return r.nextRetry()
	}
	// From here on Deregister ends this lease, and with it the record.
	if !r.replaceLease(lease) {
		r.endLease(ctx, lease)
		return r.nextRetry()
	}
	if err := r.Store.PutMember(ctx, r.Member, lease); err != nil {
		klog.InfoS("Entry not registered", "lease", lease, "err", err)
		r.replaceLease(0)
		r.endLease(ctx, lease)
		return r.nextRetry()
	}
	klog.InfoS("Entry registered", "entry", r.Member.ID, "lease", lease)
	return sentAt.Add(r.ttl() / renewalsPerLease)
}

// replaceLease sets the entry's lease, 0 for none, and reports whether the entry isn't deregistered.
func (r *Registration) replaceLease(lease uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deregistered {
		klog.InfoS("Not registering a draining entry", "entry", r.Member.ID, "lease", lease)
		return false
	}
	r.lease = lease
	return true
}

// Deregister ends the lease, which removes this entry from the lists that callers get.
func (r *Registration) Deregister(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.deregistered = true
	r.lease = 0
	r.mu.Unlock()
	if lease != 0 {
		r.endLease(ctx, lease)
	}
}

// endLease ends a lease, including one under which the record may still be written: a call without
// an answer can take effect seconds later. The record would then depend on a lease that is never
// renewed, while that of the next attempt is renewed forever, and callers would not find the entry.
func (r *Registration) endLease(ctx context.Context, lease uint64) {
	if err := r.Store.EndLease(ctx, lease); err != nil {
		klog.InfoS("Lease not ended, it will expire", "lease", lease, "err", err)
	}
}
