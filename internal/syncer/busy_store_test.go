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
	unreachableStore
	interval, latency time.Duration
	// announceRevision is the revision of the announcement; deletions makes all other changes
	// deletions.
	announceRevision uint64
	deletions        bool

	mu        sync.Mutex
	startedAt time.Time
	watches   int
}

func (s *busyStore) changeTime(revision uint64) time.Time {
	return s.startedAt.Add(time.Duration(revision-1) * s.interval)
}

func (s *busyStore) List(context.Context) (registrar.Batch, error) {
	s.startedAt = time.Now()
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{
		{Key: "m", Value: []byte{1}, Revision: 1, Age: registrar.UnknownAge}}}, nil
}

func (s *busyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	time.Sleep(s.latency)
	time.Sleep(min(wait, max(0, time.Until(s.changeTime(after+1)))))
	b := registrar.Batch{After: after, At: after}
	for !time.Now().Before(s.changeTime(b.At + 1)) {
		b.At++
		rec := registrar.Record{Key: "other", Revision: b.At, Deleted: s.deletions}
		if b.At == s.announceRevision {
			rec = registrar.Record{Key: "m", Value: []byte{2}, Revision: b.At}
		}
		b.Records = append(b.Records, rec)
	}
	time.Sleep(s.latency)
	return b, ctx.Err()
}

// follow returns a registrar after its reader has followed the store for a time.
func (s *busyStore) follow(t *testing.T, d time.Duration) *registrar.Registrar {
	t.Helper()
	r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: func(key string, value []byte) (registrar.Fact, error) {
		if key != "m" {
			return nil, nil
		}
		return decodeWeights(key, value)
	}}
	startReader(t, r, s)
	time.Sleep(d)
	return r
}

// Guards against counting an announcement much too early because all answers of the store have
// changes: engines with current weights would be closed.
func TestAnnouncementAmongManyChangesIsNotCountedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &busyStore{interval: 15 * time.Millisecond, latency: 5 * time.Millisecond, announceRevision: 600}
		r := s.follow(t, 12*time.Second)
		w, ok := r.View().Weights("m")
		must.True(t, ok)
		at, superseded := w.SupersededAt(1)
		must.True(t, superseded)
		must.False(t, at.After(s.changeTime(600)))
		must.LessEq(t, 2*time.Second, s.changeTime(600).Sub(at))
	})
}

// Guards against a reader that calls the store without a pause while each answer has changes.
func TestReaderOfABusyStorePauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followed = 10 * time.Second
		s := &busyStore{interval: 15 * time.Millisecond, latency: time.Millisecond}
		s.follow(t, followed)
		s.mu.Lock()
		defer s.mu.Unlock()
		must.LessEq(t, int(followed/(80*time.Millisecond))+2, s.watches)
	})
}

// Guards against understating a deletion's age by its answer's time in transit: an upstream whose
// record expired lingers from then on.
func TestDeletionInLateAnswerIsNotCountedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &busyStore{interval: 450 * time.Millisecond, latency: 400 * time.Millisecond, deletions: true}
		r := s.follow(t, 1650*time.Millisecond)
		reported := r.ChangesSince(1).Records
		must.Len(t, 1, reported)
		must.GreaterEq(t, time.Since(s.changeTime(reported[0].Revision)), reported[0].Age)
	})
}
