package syncer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// stoppedReader is the store as a process sees it that stands still while an answer to it is
// under way.
type stoppedReader struct {
	clock *clocktest.FakeClock
	// stood is for how long; less than the time that the client of the store allows a call.
	stood time.Duration
	calls int
	// named is when version 2 was named.
	named time.Time
	done  chan struct{}
}

func (s *stoppedReader) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "weights", Value: []byte{1}, Revision: 1}}}, nil
}

func (s *stoppedReader) Watch(ctx context.Context, after uint64, _ time.Duration) (registrar.Batch, error) {
	s.calls++
	switch s.calls {
	case 1:
		// The store answers that there is no news, and the process stops before it reads that.
		s.clock.Step(time.Millisecond)
		s.named = s.clock.Now()
		s.clock.Step(s.stood)
		return registrar.Batch{After: after, At: after}, nil
	case 2:
		return registrar.Batch{After: after, At: after + 1, Records: []registrar.Record{{Key: "weights", Value: []byte{2}, Revision: after + 1}}}, nil
	default:
		close(s.done)
		<-ctx.Done()
		return registrar.Batch{}, ctx.Err()
	}
}

// A process that reads the store stands still for 1.8 s, and an answer without news waits for
// it meanwhile. It reads that as if the store had just said so, and the next answer names a
// version that it takes for new. It lets replies begin on the old weights for that much
// longer, and tells all others an age that is too small.
func TestAnswerThatWaitedIsNotFresh(t *testing.T) {
	// seenWithin is how late a naming may count.
	const seenWithin = 1200 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := &registrar.Registrar{Clock: c, Decode: func(_ string, value []byte) (registrar.Fact, error) {
		return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
	}}
	store := &stoppedReader{clock: c, stood: 1800 * time.Millisecond, done: make(chan struct{})}
	s := &syncer.Syncer{ID: "entry", Entry: true, Seed: true, Region: "r", Registrar: r, Store: store, Clock: c,
		Random: rand.New(rand.NewPCG(1, 2))}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool {
		// What the reader pauses for after news passes here.
		if c.HasWaiters() {
			c.Step(100 * time.Millisecond)
		}
		select {
		case <-store.done:
			return true
		default:
			return false
		}
	})
	w, ok := r.View().Weights("m")
	must.True(t, ok)
	at, superseded := w.SupersededAt(1)
	must.True(t, superseded)
	must.LessEq(t, seenWithin, at.Sub(store.named))
}

// A process asks a peer for news and its VM is frozen for 9.4 s just then. The peer's answer,
// which names a version a moment after it was named, lies in the socket until the VM wakes,
// and is read before the call's time limit is noticed. The process adds the answer's age to
// the time at which it reads it, so the naming looks 9.4 s younger than it is, and nothing
// corrects that later. Callers get replies from weights whose time is over.
func TestPeersAnswerThatWaitedIsNotFresh(t *testing.T) {
	const frozen = 9400 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	decode := func(_ string, value []byte) (registrar.Fact, error) {
		return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
	}
	witness, asker := &registrar.Registrar{Clock: c, Decode: decode}, &registrar.Registrar{Clock: c, Decode: decode}
	witness.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "weights", Value: []byte{1}, Revision: 1}}})
	var asked atomic.Int32
	named, done := make(chan time.Time, 1), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		switch asked.Add(1) {
		case 1:
			return witness.ChangesSince(q.After)
		case 2:
			named <- c.Now()
			witness.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{{Key: "weights", Value: []byte{2}, Revision: 2}}})
			b := witness.ChangesSince(q.After)
			c.Step(frozen)
			return b
		case 3:
			close(done)
		}
		<-ctx.Done()
		return registrar.Batch{}
	}}
	go func() { _ = server.Serve(ctx) }()
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: asker, Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }, Clock: c,
		Random: rand.New(rand.NewPCG(1, 2)), Store: unreachable{}}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool {
		// Who finds the answer too old pauses before it asks again.
		if c.HasWaiters() {
			c.Step(10 * time.Millisecond)
		}
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	w, ok := asker.View().Weights("m")
	must.True(t, ok)
	at, superseded := w.SupersededAt(1)
	must.True(t, superseded)
	must.False(t, at.After(<-named))
}
