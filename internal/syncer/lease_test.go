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

// lossyLeases is a store that doesn't answer the first write of an entry's record, and carries it
// out only after the second.
type lossyLeases struct {
	mu sync.Mutex
	// leases are the active ones, by number; recordLease is the one that holds the record.
	leases       map[uint64]bool
	granted      uint64
	recordLease  uint64
	delayedLease uint64
	puts         int
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
	l.removeLease(lease)
	return nil
}

func (l *lossyLeases) removeLease(lease uint64) {
	delete(l.leases, lease)
	if l.recordLease == lease {
		l.recordLease = 0
	}
}

func (l *lossyLeases) PutMember(_ context.Context, _ registrar.Member, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts++
	if l.puts == 1 {
		l.delayedLease = lease
		return &storer.UnknownError{Op: "put", Key: "e", Err: context.DeadlineExceeded}
	}
	l.recordLease = lease
	if l.delayedLease != 0 && l.leases[l.delayedLease] {
		l.recordLease = l.delayedLease
	}
	l.delayedLease = 0
	return nil
}

// expire ends a lease that is not renewed, and removes the record under it.
func (l *lossyLeases) expire(lease uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLease(lease)
}

func (l *lossyLeases) listed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordLease != 0
}

// Guards against a record under an abandoned lease. The answer to its first write is lost, the
// entry writes it again under a new lease, and the first write is carried out after that. The first
// lease is never renewed and the second forever: callers would not find the entry although it
// serves.
func TestRecordOnAbandonedLeaseIsRewritten(t *testing.T) {
	l := &lossyLeases{leases: map[uint64]bool{}}
	r := &syncer.Registration{Store: l, Clock: clock.RealClock{}, Ready: func() bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = r.Serve(ctx) }()
	eventually(t, l.listed)
	l.expire(1)
	eventually(t, l.listed)
}
