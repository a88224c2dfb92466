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
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/platform"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// Those that read the store for all fall silent together, as when their VMs freeze, and a
// version is named just then. A process waits for each of them in vain and then reads the
// naming from the store's history, which has no times. Taken for new, the naming would let
// old weights begin replies that much beyond their time.
func TestNamingFoundInTheHistoryIsNotNew(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	store.Put("op/version/m", map[string]any{"model": "m", "version": 1})
	var silent sync.RWMutex
	var seeds []netip.AddrPort
	for range 2 {
		seeds = append(seeds, reader(t, store, &silent))
	}
	p := start(t, "agent", false, store.Address(), seeds...)
	eventually(t, func() bool { return p.registrar.View() != nil })
	time.Sleep(time.Second)
	silent.Lock()
	time.Sleep(50 * time.Millisecond)
	named := time.Now()
	store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	at := learned(t, p.registrar)
	silent.Unlock()
	// Some of the time may go by before the store is asked; a part of the margin of 0.7 s
	// that agents leave before the bound bears that much.
	must.LessEq(t, 200*time.Millisecond, at.Sub(named))
}

// reader is an entry that reads the store and answers nothing while silent is locked.
func reader(t *testing.T, store *standin.Store, silent *sync.RWMutex) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	c := clock.RealClock{}
	r := &registrar.Registrar{Clock: c, Decode: platform.Decode}
	answer := syncer.Answer(r, c)
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		b := answer(ctx, q)
		silent.RLock()
		defer silent.RUnlock()
		return b
	}}
	go func() { _ = server.Serve(ctx) }()
	s := &syncer.Syncer{ID: l.Addr().String(), Entry: true, Seed: true, Region: "r", Registrar: r, Store: platform.NewStore(store.Address()), Clock: c,
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }, Random: rand.New(rand.NewPCG(1, 2))}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool { return r.View() != nil })
	return netip.MustParseAddrPort(l.Addr().String())
}
