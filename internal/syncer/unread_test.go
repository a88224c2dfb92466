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

// naming is the store's record of a named version.
var naming = registrar.Record{Key: "op/version/m", Value: []byte(`{"model":"m","version":2}`), Revision: 2}

// learned is when a process takes its version 2 to have been named.
func learned(t *testing.T, r *registrar.Registrar) time.Time {
	t.Helper()
	eventually(t, func() bool {
		w, ok := r.View().Weights("m")
		return ok && w.Version == 2
	})
	w, _ := r.View().Weights("m")
	return w.Learned
}

// A peer's answer names a version and says that this is new. It reaches the VM, but the
// process stands still and reads it ten seconds later. Taken for new then, the naming
// would let old weights begin replies ten seconds beyond their time, and routes that were
// added meanwhile would be denied as if the news were fresh.
func TestAnswerThatLayUnreadIsOld(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	named := c.Now().Add(time.Second)
	var mu sync.Mutex
	asked := 0
	server := &messenger.Server{Listener: l, OnRecords: func(_ context.Context, q messenger.RecordsQuery) registrar.Batch {
		mu.Lock()
		defer mu.Unlock()
		asked++
		switch {
		case asked == 1:
			return registrar.Batch{Whole: true, At: 1}
		case c.Now().Before(named):
			c.SetTime(named)
		}
		b := registrar.Batch{After: q.After, At: 2}
		if q.After < 2 {
			told := naming
			told.Age = c.Since(named)
			b.Records = []registrar.Record{told}
		}
		if asked == 2 {
			c.Step(10 * time.Second)
		}
		return b
	}}
	go func() { _ = server.Serve(ctx) }()
	r := &registrar.Registrar{Clock: c, Decode: platform.Decode}
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: r, Store: unreachable{}, Clock: c, Random: rand.New(rand.NewPCG(1, 2)),
		Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial:  func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }}
	go func() { _ = s.Serve(ctx) }()
	// Whatever pauses goes on.
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			if c.HasWaiters() {
				c.Step(10 * time.Millisecond)
			}
		}
	}()
	eventually(t, func() bool { return r.View() != nil })
	must.LessEq(t, 100*time.Millisecond, learned(t, r).Sub(named), must.Sprint("how much later than the naming it is taken to be"))
}

// unreachable is a store that can't be reached.
type unreachable struct{}

func (unreachable) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{}, &storer.UnavailableError{Op: "list"}
}

func (unreachable) Watch(context.Context, uint64, time.Duration) (registrar.Batch, error) {
	return registrar.Batch{}, &storer.UnavailableError{Op: "watch"}
}
