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

// silentStore never answers calls that come before it is back.
type silentStore struct {
	back  time.Time
	lists atomic.Int32
}

// listTimeout bounds a list, as the platform's client does.
const listTimeout = 2400 * time.Millisecond

func (s *silentStore) List(ctx context.Context) (registrar.Batch, error) {
	s.lists.Add(1)
	if time.Now().Before(s.back) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		<-ctx.Done()
		return registrar.Batch{}, ctx.Err()
	}
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "drained/a", Revision: 1}}}, nil
}

func (s *silentStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return registrar.Batch{After: after, At: after}, ctx.Err()
}

// startAtSilentStore gives how long a process takes to know its records when the store is
// unresponsive for a while after its start, and how many lists it has asked for.
func startAtSilentStore(t *testing.T, seed bool, silence time.Duration) (took time.Duration, lists int) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &silentStore{back: began.Add(silence)}
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

// Guards against a restart that is held up by a store which returned just after it was asked:
// everybody waits for the seeds.
func TestSeedHedgesItsFirstList(t *testing.T) {
	took, _ := startAtSilentStore(t, true, 100*time.Millisecond)
	must.Less(t, time.Second, took)
}

// Guards against a retry storm at a store that stays unresponsive.
func TestHedgedListsAreBounded(t *testing.T) {
	const silence = 20 * time.Second
	_, lists := startAtSilentStore(t, true, silence)
	must.LessEq(t, 3*int(silence/listTimeout)+3, lists)
}

// Guards against lists that saturate the links to the store: only seeds hedge.
func TestOthersDoNotHedge(t *testing.T) {
	_, lists := startAtSilentStore(t, false, time.Second)
	must.Eq(t, 2, lists)
}
