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

// pausedReaderStore is the store as used by a process that is paused while an answer to it is in
// transit.
type pausedReaderStore struct {
	unreachableStore
	clock *clocktest.FakeClock
	// pause is the length of that; less than the time limit of a call by the store's client.
	pause time.Duration
	calls int
	// announced is when version 2 was announced.
	announced time.Time
	done      chan struct{}
}

func (s *pausedReaderStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "weights", Value: []byte{1}, Revision: 1}}}, nil
}

func (s *pausedReaderStore) Watch(ctx context.Context, after uint64, _ time.Duration) (registrar.Batch, error) {
	s.calls++
	switch s.calls {
	case 1:
		// The store answers without updates, and the process is paused before it reads that.
		s.clock.Step(time.Millisecond)
		s.announced = s.clock.Now()
		s.clock.Step(s.pause)
		return registrar.Batch{After: after, At: after}, nil
	case 2:
		return registrar.Batch{After: after, At: after + 1, Records: []registrar.Record{{Key: "weights", Value: []byte{2}, Revision: after + 1}}}, nil
	default:
		close(s.done)
		<-ctx.Done()
		return registrar.Batch{}, ctx.Err()
	}
}

// Guards against taking an answer without updates for fresh when the process was paused for 1.8 s
// before reading it. If the next answer announces a version, old weights would start replies for
// that much longer, and all others would get an age that is too low.
func TestStoreAnswerReadLateIsNotFresh(t *testing.T) {
	// maxLate is how late an announcement may be counted.
	const maxLate = 1200 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := &registrar.Registrar{Clock: c, Decode: func(_ string, value []byte) (registrar.Fact, error) {
		return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
	}}
	store := &pausedReaderStore{clock: c, pause: 1800 * time.Millisecond, done: make(chan struct{})}
	s := &syncer.Syncer{ID: "entry", Entry: true, Seed: true, Region: "r", Registrar: r, Store: store, Clock: c,
		Random: rand.New(rand.NewPCG(1, 2))}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool {
		// Ends the reader's pause after an update.
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
	must.LessEq(t, maxLate, at.Sub(store.announced))
}

// Guards against a peer's answer that was read late, as the VM was suspended for 9.4 s, but before
// the call's time limit was noticed. With the answer's age added to the time of reading, the
// announcement would be counted 9.4 s too late and never corrected: callers would get replies from
// outdated weights.
func TestPeerAnswerReadLateIsNotFresh(t *testing.T) {
	const suspended = 9400 * time.Millisecond
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	decode := func(_ string, value []byte) (registrar.Fact, error) {
		return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
	}
	peer, requester := &registrar.Registrar{Clock: c, Decode: decode}, &registrar.Registrar{Clock: c, Decode: decode}
	peer.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "weights", Value: []byte{1}, Revision: 1}}})
	var requests atomic.Int32
	announced, done := make(chan time.Time, 1), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		switch requests.Add(1) {
		case 1:
			return peer.ChangesSince(q.After)
		case 2:
			announced <- c.Now()
			peer.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{{Key: "weights", Value: []byte{2}, Revision: 2}}})
			b := peer.ChangesSince(q.After)
			c.Step(suspended)
			return b
		case 3:
			close(done)
		}
		<-ctx.Done()
		return registrar.Batch{}
	}}
	go func() { _ = server.Serve(ctx) }()
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: requester, Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }, Clock: c,
		Random: rand.New(rand.NewPCG(1, 2)), Store: unreachableStore{}}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool {
		// A process that finds the answer too old pauses before it asks again.
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
	w, ok := requester.View().Weights("m")
	must.True(t, ok)
	at, superseded := w.SupersededAt(1)
	must.True(t, superseded)
	must.False(t, at.After(<-announced))
}
