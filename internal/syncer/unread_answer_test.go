package syncer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/platform"
)

// announcement is the store's record of an announced version.
var announcement = registrar.Record{Key: "op/version/m", Value: []byte(`{"model":"m","version":2}`), Revision: 2}

// waitForAnnouncement waits for version 2 and returns when the process counts it from.
func waitForAnnouncement(t *testing.T, r *registrar.Registrar) time.Time {
	t.Helper()
	eventually(t, func() bool {
		w, ok := r.View().Weights("m")
		return ok && w.Version == 2
	})
	w, _ := r.View().Weights("m")
	return w.Learned
}

// Guards against counting an announcement too late when the process is paused for ten seconds
// before it reads a peer's answer: old weights would start replies for ten seconds too long, and
// routes that were added meanwhile would be denied as if the updates were fresh.
func TestUnreadAnswerAges(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	announced := c.Now().Add(time.Second)
	var mu sync.Mutex
	requests := 0
	server := &messenger.Server{Listener: l, OnRecords: func(_ context.Context, q messenger.RecordsQuery) registrar.Batch {
		mu.Lock()
		defer mu.Unlock()
		requests++
		switch {
		case requests == 1:
			return registrar.Batch{Whole: true, At: 1}
		case c.Now().Before(announced):
			c.SetTime(announced)
		}
		b := registrar.Batch{After: q.After, At: 2}
		if q.After < 2 {
			rec := announcement
			rec.Age = c.Since(announced)
			b.Records = []registrar.Record{rec}
		}
		if requests == 2 {
			c.Step(10 * time.Second)
		}
		return b
	}}
	go func() { _ = server.Serve(ctx) }()
	r := &registrar.Registrar{Clock: c, Decode: platform.Decode}
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: r, Store: unreachableStore{}, Clock: c, Random: rand.New(rand.NewPCG(1, 2)),
		Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial:  func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }}
	go func() { _ = s.Serve(ctx) }()
	// Ends the pauses of the syncer.
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			if c.HasWaiters() {
				c.Step(10 * time.Millisecond)
			}
		}
	}()
	eventually(t, func() bool { return r.View() != nil })
	must.LessEq(t, 100*time.Millisecond, waitForAnnouncement(t, r).Sub(announced), must.Sprint("how much too late the announcement is counted"))
}

// unreachableStore fails all calls.
type unreachableStore struct{}

func (unreachableStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{}, &storer.UnavailableError{Op: "list"}
}

func (unreachableStore) Watch(context.Context, uint64, time.Duration) (registrar.Batch, error) {
	return registrar.Batch{}, &storer.UnavailableError{Op: "watch"}
}

func (unreachableStore) WatchWeights(context.Context, uint64, time.Duration) (registrar.Batch, error) {
	return registrar.Batch{}, &storer.UnavailableError{Op: "watch"}
}
