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

// busyStore has a change of some record at each interval; one of them announces version 2.
type busyStore struct {
	every, way time.Duration
	// announce is the revision of the announcement; deleted tells that all other changes are deletions.
	announce uint64
	deleted  bool

	mu      sync.Mutex
	began   time.Time
	watches int
}

func (s *busyStore) madeAt(revision uint64) time.Time {
	return s.began.Add(time.Duration(revision-1) * s.every)
}

func (s *busyStore) List(context.Context) (registrar.Batch, error) {
	s.began = time.Now()
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{
		{Key: "m", Value: []byte{1}, Revision: 1, Age: registrar.UnknownAge}}}, nil
}

func (s *busyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	time.Sleep(s.way)
	time.Sleep(min(wait, max(0, time.Until(s.madeAt(after+1)))))
	b := registrar.Batch{After: after, At: after}
	for !time.Now().Before(s.madeAt(b.At + 1)) {
		b.At++
		rec := registrar.Record{Key: "other", Revision: b.At, Deleted: s.deleted}
		if b.At == s.announce {
			rec = registrar.Record{Key: "m", Value: []byte{2}, Revision: b.At}
		}
		b.Records = append(b.Records, rec)
	}
	time.Sleep(s.way)
	return b, ctx.Err()
}

// follow has a reader follow the store for a time.
func (s *busyStore) follow(t *testing.T, d time.Duration) *registrar.Registrar {
	t.Helper()
	r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: func(key string, value []byte) (registrar.Fact, error) {
		if key != "m" {
			return nil, nil
		}
		return weightsOf(key, value)
	}}
	serveReader(t, r, s)
	time.Sleep(d)
	return r
}

// Guards against counting an announcement from long before it, as the store has had changes in all of
// its answers: engines with weights in force would be closed.
func TestAnnouncementAmongManyChangesCountsFromSoonBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &busyStore{every: 15 * time.Millisecond, way: 5 * time.Millisecond, announce: 600}
		r := s.follow(t, 12*time.Second)
		w, ok := r.View().Weights("m")
		must.True(t, ok)
		at, superseded := w.SupersededAt(1)
		must.True(t, superseded)
		must.False(t, at.After(s.madeAt(600)))
		must.LessEq(t, 2*time.Second, s.madeAt(600).Sub(at))
	})
}

// Guards against a reader that asks the store without a pause while each answer has changes.
func TestReaderOfABusyStorePauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followed = 10 * time.Second
		s := &busyStore{every: 15 * time.Millisecond, way: time.Millisecond}
		s.follow(t, followed)
		s.mu.Lock()
		defer s.mu.Unlock()
		must.LessEq(t, int(followed/(80*time.Millisecond))+2, s.watches)
	})
}

// Guards against a deletion that counts as younger than it is, by what its answer was on its way: an
// upstream whose record lapsed lingers from then on.
func TestDeletionInALateAnswerIsNotYoung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &busyStore{every: 450 * time.Millisecond, way: 400 * time.Millisecond, deleted: true}
		r := s.follow(t, 1650*time.Millisecond)
		reported := r.ChangesSince(1).Records
		must.Len(t, 1, reported)
		must.GreaterEq(t, time.Since(s.madeAt(reported[0].Revision)), reported[0].Age)
	})
}
