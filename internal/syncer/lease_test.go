package syncer_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

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

// expiredLease is each lease that expiredLeases grants.
const expiredLease = 7

// expiredLeases is a store in which an entry's lease has expired. Each call on leases waits until it is resumed.
type expiredLeases struct {
	calls, resumed chan struct{}
	renewErr       error

	mu    sync.Mutex
	ended []uint64
	puts  int
}

func (l *expiredLeases) wait() {
	l.calls <- struct{}{}
	<-l.resumed
}

func (l *expiredLeases) Lease(context.Context, time.Duration) (uint64, error) {
	l.wait()
	return expiredLease, nil
}

func (l *expiredLeases) Renew(context.Context, uint64) error {
	l.wait()
	return l.renewErr
}

func (l *expiredLeases) EndLease(_ context.Context, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, lease)
	return nil
}

func (l *expiredLeases) PutMember(context.Context, registrar.Member, uint64) error {
	l.mu.Lock()
	l.puts++
	l.mu.Unlock()
	l.wait()
	return nil
}

func (l *expiredLeases) state() (ended []uint64, puts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ended), l.puts
}

// Guards against a draining entry that registers again because its lease expired while it was stalled.
func TestDrainingEntryIsNotRegisteredAgain(t *testing.T) {
	for name, e := range map[string]struct {
		// callsBefore is how many calls have been answered when the entry starts draining during the next one.
		callsBefore, puts int
		// ended are the leases that are ended before that call is answered.
		ended []uint64
	}{
		"before its first lease":  {callsBefore: 0, puts: 0},
		"as its record is put":    {callsBefore: 1, puts: 1, ended: []uint64{expiredLease}},
		"as its lease is renewed": {callsBefore: 2, puts: 1, ended: []uint64{expiredLease}},
		"before its next lease":   {callsBefore: 3, puts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := &expiredLeases{calls: make(chan struct{}), resumed: make(chan struct{}), renewErr: &storer.NotFoundError{}}
			c := clocktest.NewFakeClock(time.Unix(0, 0))
			r := &syncer.Registration{Store: l, Clock: c, Ready: func() bool { return true }}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = r.Serve(ctx) }()
			await := func() {
				for {
					select {
					case <-l.calls:
						return
					case <-time.After(time.Millisecond):
						c.Step(time.Second)
					}
				}
			}
			for range e.callsBefore {
				await()
				l.resumed <- struct{}{}
			}
			await()
			r.Deregister(ctx)
			ended, _ := l.state()
			must.Eq(t, e.ended, ended)
			l.resumed <- struct{}{}
			eventually(t, c.HasWaiters)
			for range 3 {
				c.Step(time.Second)
				select {
				case <-l.calls:
					t.Fatal("another call of a draining entry")
				case <-time.After(20 * time.Millisecond):
				}
			}
			ended, puts := l.state()
			must.Eq(t, e.puts, puts)
			must.Eq(t, []uint64{expiredLease}, ended)
		})
	}
}

// slowLeases grants leases whose answers are read late.
type slowLeases struct {
	clock    *clocktest.FakeClock
	late     time.Duration
	renewals chan time.Time
}

func (l *slowLeases) Lease(context.Context, time.Duration) (uint64, error) {
	l.clock.Step(l.late)
	return 1, nil
}

func (l *slowLeases) Renew(context.Context, uint64) error {
	l.renewals <- l.clock.Now()
	l.clock.Step(l.late)
	return nil
}

func (*slowLeases) EndLease(context.Context, uint64) error                    { return nil }
func (*slowLeases) PutMember(context.Context, registrar.Member, uint64) error { return nil }

// Guards against a lease that is counted from when its answer is read, and ends before it is renewed.
func TestLeaseIsRenewedInTimeAfterAStall(t *testing.T) {
	const late = 900 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(0, 0))
	l := &slowLeases{clock: c, late: late, renewals: make(chan time.Time)}
	r := &syncer.Registration{Store: l, Clock: c, Ready: func() bool { return true }}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = r.Serve(ctx) }()
	for renewal := range 3 {
		eventually(t, c.HasWaiters)
		c.Step(time.Second - late)
		select {
		case at := <-l.renewals:
			must.Eq(t, time.Unix(int64(renewal)+1, 0), at)
		case <-time.After(time.Second):
			t.Fatal("not renewed")
		}
	}
}
