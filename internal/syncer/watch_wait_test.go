package syncer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// slowChangeStore has a change for each watch, after a time, and records the waits of the watches.
type slowChangeStore struct {
	unreachableStore
	changeAfter time.Duration

	mu    sync.Mutex
	waits []time.Duration
}

func (s *slowChangeStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "m", Value: []byte{1}, Revision: 1, Age: registrar.UnknownAge}}}, nil
}

func (s *slowChangeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	time.Sleep(min(wait, s.changeAfter))
	b := registrar.Batch{After: after, At: after}
	if wait >= s.changeAfter {
		b.At++
		b.Records = []registrar.Record{{Key: "m", Value: []byte{1}, Revision: b.At}}
	}
	return b, ctx.Err()
}

// Guards against calls with a short time limit while updates are fresh: behind a saturated link
// they would fail one after the other, and whole regions would lose contact.
func TestWatchesOfAFreshProcessAreNotShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowChangeStore{changeAfter: 950 * time.Millisecond}
		r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decodeWeights}
		startReader(t, r, store)
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		defer store.mu.Unlock()
		for _, wait := range store.waits {
			must.GreaterEq(t, 500*time.Millisecond, wait)
		}
	})
}
