package syncer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// stormyStore is a store whose route table changes each gap. The platform's client marks an answer with a table of over
// 128 KiB as partial, as the store may have cut it off.
type stormyStore struct {
	unreachableStore
	began time.Time
	gap   time.Duration
}

func (s *stormyStore) List(context.Context) (registrar.Batch, error) {
	s.began = time.Now()
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{
		{Key: "weights/m", Value: []byte("1"), Revision: 1, Age: registrar.UnknownAge}}}, nil
}

func (s *stormyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	b := registrar.Batch{After: after, At: after}
	next := s.began.Add(time.Duration(after) * s.gap)
	if time.Until(next) > wait {
		time.Sleep(wait)
		return b, ctx.Err()
	}
	time.Sleep(time.Until(next))
	b.At = 1 + uint64(time.Since(s.began)/s.gap)
	b.Records = []registrar.Record{{Key: "other", Value: []byte("x"), Revision: b.At}}
	b.Partial = true
	return b, ctx.Err()
}

// Guards against engines that stop though nothing was announced, because a large route table changes more often than
// once in a watch: each answer holds the table, counts as partial and confirms nothing.
func TestWeightsStayConfirmedWhileALargeTableChanges(t *testing.T) {
	for _, gap := range []time.Duration{330 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decodeFleet, Region: "r"}
				startReader(t, r, &stormyStore{gap: gap})
				oldest := time.Duration(0)
				time.Sleep(time.Second)
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					at, _ := r.SupersededSince("m", 1)
					oldest = max(oldest, time.Since(at))
				}
				must.Less(t, weightsBound, oldest)
			})
		})
	}
}
