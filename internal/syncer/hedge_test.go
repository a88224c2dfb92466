package syncer_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// unresponsiveStore never answers calls that arrive before respondsFrom.
type unresponsiveStore struct {
	unreachableStore
	respondsFrom time.Time
	lists        atomic.Int32
}

// listTimeout bounds a list, as the platform's client does.
const listTimeout = 2400 * time.Millisecond

func (s *unresponsiveStore) List(ctx context.Context) (registrar.Batch, error) {
	s.lists.Add(1)
	if time.Now().Before(s.respondsFrom) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		<-ctx.Done()
		return registrar.Batch{}, ctx.Err()
	}
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "drained/a", Revision: 1}}}, nil
}

func (s *unresponsiveStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return registrar.Batch{After: after, At: after}, ctx.Err()
}

// startWithUnresponsiveStore returns how long a process takes to get its records when the store is
// unresponsive for a while after its start, and how many times it has listed the store.
func startWithUnresponsiveStore(t *testing.T, seed bool, outage time.Duration) (took time.Duration, lists int) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &unresponsiveStore{respondsFrom: began.Add(outage)}
		c := clock.RealClock{}
		r := &registrar.Registrar{Clock: c, Decode: decodeFleet, Linger: time.Second}
		s := &syncer.Syncer{ID: "entry", Entry: true, Seed: seed, Registrar: r, Store: store, Clock: c, Random: rand.New(rand.NewPCG(1, 2))}
		go func() { _ = s.Serve(t.Context()) }()
		for {
			changed := r.Changed()
			if v := r.View(); v != nil && v.Drained("a") {
				break
			}
			<-changed
		}
		took, lists = time.Since(began), int(store.lists.Load())
	})
	return took, lists
}

// Guards against a restart delayed by a store that recovers just after it was called: all processes
// wait for the seeds.
func TestSeedHedgesItsFirstList(t *testing.T) {
	took, _ := startWithUnresponsiveStore(t, true, 100*time.Millisecond)
	must.Less(t, time.Second, took)
}

// Guards against a retry storm while the store stays unresponsive.
func TestHedgedListsAreBounded(t *testing.T) {
	const outage = 20 * time.Second
	_, lists := startWithUnresponsiveStore(t, true, outage)
	must.LessEq(t, 3*int(outage/listTimeout)+3, lists)
}

// slowListStore takes a while to send its list.
type slowListStore struct {
	unresponsiveStore
	transfer time.Duration
}

func (s *slowListStore) List(ctx context.Context) (registrar.Batch, error) {
	b, err := s.unresponsiveStore.List(ctx)
	reportArrival(ctx)
	time.Sleep(s.transfer)
	return b, err
}

// Guards against a seed whose hedged lists share the link with the one that is arriving, so that all arrive later.
func TestArrivingListIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowListStore{transfer: 2 * time.Second}
		r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decodeFleet}
		s := &syncer.Syncer{ID: "entry", Entry: true, Seed: true, Registrar: r, Store: store, Clock: clock.RealClock{}, Random: rand.New(rand.NewPCG(1, 2))}
		go func() { _ = s.Serve(t.Context()) }()
		time.Sleep(store.transfer + time.Second)
		must.True(t, r.View().Drained("a"))
		must.Eq(t, 1, store.lists.Load())
	})
}

// Guards against lists that saturate the links to the store: only seeds hedge.
func TestOnlySeedsHedge(t *testing.T) {
	_, lists := startWithUnresponsiveStore(t, false, time.Second)
	must.Eq(t, 2, lists)
}
