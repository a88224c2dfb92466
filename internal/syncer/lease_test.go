package syncer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// lossyLeases is a store that takes the first account of an entry without an answer, and
// carries it out only after the second.
type lossyLeases struct {
	mu sync.Mutex
	// leases are those that run, by number; record is the one that keeps the account.
	leases  map[uint64]bool
	granted uint64
	record  uint64
	delayed uint64
	puts    int
}

func (l *lossyLeases) Lease(context.Context, time.Duration) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted++
	l.leases[l.granted] = true
	return l.granted, nil
}

func (l *lossyLeases) Renew(_ context.Context, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leases[lease] {
		return &storer.NotFoundError{}
	}
	return nil
}

func (l *lossyLeases) EndLease(_ context.Context, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(lease)
	return nil
}

func (l *lossyLeases) end(lease uint64) {
	delete(l.leases, lease)
	if l.record == lease {
		l.record = 0
	}
}

func (l *lossyLeases) PutMember(_ context.Context, _ registrar.Member, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts++
	if l.puts == 1 {
		l.delayed = lease
		return &storer.UnknownError{Op: "put", Key: "e", Err: context.DeadlineExceeded}
	}
	l.record = lease
	if l.delayed != 0 && l.leases[l.delayed] {
		l.record = l.delayed
	}
	l.delayed = 0
	return nil
}

// lapse ends a lease that nobody renews, and the account that hangs on it.
func (l *lossyLeases) lapse(lease uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(lease)
}

func (l *lossyLeases) listed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record != 0
}

// The store takes an entry's account, and its answer is lost. The entry writes it again
// under a new lease, and only then is the first writing carried out. The account hangs on
// the first lease, which nobody renews, while the second is renewed for good: the entry
// would be on no list any more, and callers would not find it although it serves.
func TestAccountOnAnAbandonedLeaseIsWrittenAgain(t *testing.T) {
	l := &lossyLeases{leases: map[uint64]bool{}}
	r := &syncer.Registration{Store: l, Clock: clock.RealClock{}, Ready: func() bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = r.Serve(ctx) }()
	eventually(t, l.listed)
	l.lapse(1)
	eventually(t, l.listed)
}
