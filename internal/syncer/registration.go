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
	// leaseTTL is how long a dead entry stays on the lists that callers get. It must
	// be well below the six seconds after which none may name it.
	leaseTTL = 3 * time.Second
	// renewals is how often a lease is renewed within its time: two may be lost.
	renewals = 3
	// registerAgain is the pause after a failed call.
	registerAgain = 300 * time.Millisecond
)

// Leases is the part of the store that keeps an entry's record alive.
type Leases interface {
	Lease(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	EndLease(ctx context.Context, lease uint64) error
	PutMember(ctx context.Context, m registrar.Member, lease uint64) error
}

// Registration keeps an entry's record in the store as long as it lives. Set the
// exported fields before Serve.
type Registration struct {
	Store  Leases
	Member registrar.Member
	Clock  clock.Clock
	// LeastLease is the shortest lease that the store grants; 0 for any.
	LeastLease time.Duration
	// Ready tells whether callers may come already.
	Ready func() bool

	mu    sync.Mutex
	lease uint64
	left  bool
}

// Serve runs until the context ends.
func (r *Registration) Serve(ctx context.Context) error {
	for {
		pause := r.keep(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Clock.After(pause):
		}
	}
}

func (r *Registration) String() string { return "registration" }

// keep renews the lease, or registers anew, and gives the pause until the next time.
func (r *Registration) keep(ctx context.Context) time.Duration {
	r.mu.Lock()
	lease, left := r.lease, r.left
	r.mu.Unlock()
	if left || !r.Ready() {
		return registerAgain
	}
	if lease == 0 {
		return r.register(ctx)
	}
	err := r.Store.Renew(ctx, lease)
	var ended *storer.NotFoundError
	if errors.As(err, &ended) {
		klog.InfoS("Lease ended, registering anew", "lease", lease)
		return r.register(ctx)
	}
	if err != nil {
		klog.V(1).InfoS("Lease not renewed", "lease", lease, "err", err)
		return registerAgain
	}
	return r.ttl() / renewals
}

func (r *Registration) ttl() time.Duration { return max(leaseTTL, r.LeastLease) }

func (r *Registration) register(ctx context.Context) time.Duration {
	lease, err := r.Store.Lease(ctx, r.ttl())
	if err != nil {
		klog.InfoS("No lease", "err", err)
		return registerAgain
	}
	if err := r.Store.PutMember(ctx, r.Member, lease); err != nil {
		klog.InfoS("Entry not registered", "lease", lease, "err", err)
		r.end(ctx, lease)
		return registerAgain
	}
	r.mu.Lock()
	r.lease = lease
	left := r.left
	r.mu.Unlock()
	if left {
		r.Leave(ctx)
	}
	klog.InfoS("Entry registered", "entry", r.Member.ID, "lease", lease)
	return r.ttl() / renewals
}

// Leave takes the record back, so that callers are told no more of this entry.
func (r *Registration) Leave(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.left = true
	r.lease = 0
	r.mu.Unlock()
	if lease != 0 {
		r.end(ctx, lease)
	}
}

// end ends a lease, also one under which the record may still be written: a call without an
// answer can take effect seconds later. The record would then hang on a lease that nobody
// renews, while that of the next try is renewed for good, and callers would not find the
// entry any more.
func (r *Registration) end(ctx context.Context, lease uint64) {
	if err := r.Store.EndLease(ctx, lease); err != nil {
		klog.InfoS("Lease not ended, it will lapse", "lease", lease, "err", err)
	}
}
