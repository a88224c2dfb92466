package syncer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// distantStore is a store with one model's weights, behind links that delay calls. Its times count from
// the first watch.
type distantStore struct {
	// calls are the delays of the watches, in turn; the last one is that of all further watches.
	calls []callDelay
	// announceAt is when version 2 is announced; changeAt is when another record is written before, zero
	// for never.
	announceAt, changeAt time.Duration

	mu      sync.Mutex
	watches int
	at      time.Time
	// events are the changes after the list, each closed once it is made.
	events []chan struct{}
}

// callDelay is how long a call takes to the store and its answer back.
type callDelay struct{ there, back time.Duration }

func (s *distantStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{
		{Key: "m", Value: []byte{1}, Revision: 1, Age: registrar.UnknownAge}}}, nil
}

func (s *distantStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	s.mu.Lock()
	delay := s.calls[min(s.watches, len(s.calls)-1)]
	s.watches++
	if s.events == nil {
		s.at = time.Now().Add(s.announceAt)
		for _, at := range s.changes() {
			made := make(chan struct{})
			s.events = append(s.events, made)
			time.AfterFunc(at, func() { close(made) })
		}
	}
	s.mu.Unlock()
	time.Sleep(delay.there)
	b := registrar.Batch{After: after, At: after}
	var event chan struct{}
	if next := int(after) - 1; next < len(s.events) {
		event = s.events[next]
	}
	select {
	case <-event:
		b.At++
		b.Records = []registrar.Record{s.record(b.At)}
		b.Partial = s.hasMore(after)
	case <-time.After(wait):
	}
	time.Sleep(delay.back)
	return b, ctx.Err()
}

// hasMore tells whether a change after the next one has been made.
func (s *distantStore) hasMore(after uint64) bool {
	if int(after) >= len(s.events) {
		return false
	}
	select {
	case <-s.events[after]:
		return true
	default:
		return false
	}
}

func (s *distantStore) changes() []time.Duration {
	if s.changeAt == 0 {
		return []time.Duration{s.announceAt}
	}
	return []time.Duration{s.changeAt, s.announceAt}
}

// record is the change at a revision.
func (s *distantStore) record(revision uint64) registrar.Record {
	if int(revision)-1 == len(s.events) {
		return registrar.Record{Key: "m", Value: []byte{2}, Revision: revision}
	}
	return registrar.Record{Key: "m", Value: []byte{1}, Revision: revision}
}

// serveReader has an entry that reads a store feed a registrar until the test ends.
func serveReader(t *testing.T, r *registrar.Registrar, store syncer.Store) {
	t.Helper()
	s := &syncer.Syncer{ID: "entry", Entry: true, Region: "r", Registrar: r, Store: store, Clock: clock.RealClock{},
		Random: rand.New(rand.NewPCG(1, 2))}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = s.Serve(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// Guards against counting an announcement from when the store's answer arrives: the time of stale
// weights would end too late by as long as the answer was on its way or lay unread.
func TestAnnouncementInALateAnswerIsNotYoung(t *testing.T) {
	for name, store := range map[string]*distantStore{
		"answer on its way":                     {calls: []callDelay{{back: time.Second}}, announceAt: 10 * time.Millisecond},
		"answer on its way beyond the wait":     {calls: []callDelay{{back: 1050 * time.Millisecond}}, announceAt: 500 * time.Millisecond},
		"question on its way":                   {calls: []callDelay{{there: 300 * time.Millisecond}}, announceAt: 10 * time.Millisecond},
		"second watch's answer":                 {calls: []callDelay{{}, {back: 900 * time.Millisecond}}, announceAt: 1100 * time.Millisecond},
		"reader suspended between two watches":  {calls: []callDelay{{}, {there: 900 * time.Millisecond}}, announceAt: 1010 * time.Millisecond},
		"after another change in a late answer": {calls: []callDelay{{back: 900 * time.Millisecond}, {}}, changeAt: 10 * time.Millisecond, announceAt: 30 * time.Millisecond},
		"changes in answers of their own":       {calls: []callDelay{{back: 700 * time.Millisecond}, {}}, changeAt: 1100 * time.Millisecond, announceAt: 1200 * time.Millisecond},
		"answer without news on its way":        {calls: []callDelay{{back: 700 * time.Millisecond}, {there: 60 * time.Millisecond}}, announceAt: 1010 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: weightsOf}
				serveReader(t, r, store)
				time.Sleep(5 * time.Second)
				w, ok := r.View().Weights("m")
				must.True(t, ok)
				at, superseded := w.SupersededAt(1)
				must.True(t, superseded)
				must.False(t, at.After(store.at), must.Sprintf("counts from %v after the announcement", at.Sub(store.at)))
				// A bound that is too wide closes engines early.
				must.LessEq(t, 2*time.Second, store.at.Sub(at))
			})
		})
	}
}

// lapsingStore is a store from which an upstream's record goes just after the first watch begins, and
// whose answer is on its way for a while.
type lapsingStore struct {
	transit time.Duration
	lapsed  time.Time
}

func (s *lapsingStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "up", Revision: 1, Age: registrar.UnknownAge}}}, nil
}

func (s *lapsingStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	if after > 1 {
		time.Sleep(wait)
		return registrar.Batch{After: after, At: after}, ctx.Err()
	}
	s.lapsed = time.Now()
	time.Sleep(s.transit)
	return registrar.Batch{After: after, At: 2, Records: []registrar.Record{{Key: "up", Revision: 2, Deleted: true}}}, nil
}

// Guards against an upstream that gets requests for too long after its record went: the answer that
// says so was on its way for a while.
func TestLapseInALateAnswerIsNotYoung(t *testing.T) {
	const linger = 2400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r := &registrar.Registrar{Clock: clock.RealClock{}, Linger: linger, Decode: func(key string, _ []byte) (registrar.Fact, error) {
			return registrar.Upstream{ID: key, Service: "s"}, nil
		}}
		store := &lapsingStore{transit: 900 * time.Millisecond}
		r.StoreCallFailed()
		serveReader(t, r, store)
		time.Sleep(2 * time.Second)
		must.Len(t, 1, r.View().Service("s"), must.Sprint("the store was out of reach, and the record may come back"))
		time.Sleep(linger - time.Since(store.lapsed))
		r.Tick()
		must.SliceEmpty(t, r.View().Service("s"))
	})
}

// Guards against counting an announcement from after a standstill of its reader, between the arrival
// of an answer and its use.
func TestStandstillBeforeAnAnswerIsAppliedAges(t *testing.T) {
	const stood = time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	announced := c.Now()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		if q.After > 0 {
			<-ctx.Done()
		}
		return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{
			{Key: "other", Revision: 1},
			{Key: "m", Value: []byte{2}, Revision: 1, Namings: []registrar.AnnouncementReport{{Version: 1, Age: time.Minute, SinceAge: time.Minute}, {Version: 2, Replaced: 1}}}}}
	}}
	go func() { _ = server.Serve(t.Context()) }()
	r := &registrar.Registrar{Clock: c, Decode: func(key string, value []byte) (registrar.Fact, error) {
		if key != "m" {
			c.Step(stood)
			return nil, nil
		}
		return weightsOf(key, value)
	}}
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: r, Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }, Clock: c,
		Random: rand.New(rand.NewPCG(1, 2)), Store: unreachable{}}
	go func() { _ = s.Serve(t.Context()) }()
	eventually(t, func() bool { return r.View() != nil })
	w, _ := r.View().Weights("m")
	at, ok := w.SupersededAt(1)
	must.True(t, ok)
	must.Eq(t, announced, at)
	reported := r.ChangesSince(0)
	must.GreaterEq(t, stood, reported.Age+reported.Unconfirmed, must.Sprint("the age of the confirmation"))
}

// Guards against a process that counts an announcement from after it, whatever the delays between the
// store, the readers and the others, or for much older than it is.
func TestFleetCountsNoAnnouncementTooYoung(t *testing.T) {
	const (
		announcements = 60
		model         = "weights/m"
		// longest is how long an answer of the store is on its way at the most: its call's time is not over.
		longest = 800 * time.Millisecond
		// earliest is how much too old an announcement may count when nothing is delayed: a watch and
		// what it may wait for before the next one.
		earliest = 1200 * time.Millisecond
	)
	inShapedFleet(t, shape{entries: 24, regions: 3, agents: 6}, func(t *testing.T, f *fleet) {
		random := rand.New(rand.NewPCG(1, 2))
		announced := map[uint64]time.Time{}
		var early []time.Duration
		watches := f.store.watched()
		began := time.Now()
		f.store.put(model, 1)
		time.Sleep(5 * time.Second)
		for version := uint64(2); version < announcements; version++ {
			for _, n := range f.members {
				n.answerDelay.Store(0)
				if version%3 == 0 {
					n.answerDelay.Store(random.Int64N(int64(longest)))
				}
				n.squeezed.Store(version%4 == 0 && random.IntN(4) == 0)
			}
			time.Sleep(2*time.Second + time.Duration(random.Int64N(int64(time.Second))))
			f.store.put(model, version)
			announced[version] = time.Now()
			time.Sleep(6 * time.Second)
			for _, n := range f.members {
				w, ok := n.View().Weights("m")
				must.True(t, ok)
				must.Eq(t, version, w.Version, must.Sprint(n.ID))
				at, _ := w.SupersededAt(version - 1)
				must.False(t, at.After(announced[version]), must.Sprintf("%s counts version %d from %v after its announcement", n.ID, version, at.Sub(announced[version])))
				if version%3 != 0 && version%4 != 0 {
					early = append(early, announced[version].Sub(at))
				}
			}
		}
		slices.Sort(early)
		var sum time.Duration
		for _, e := range early {
			sum += e
		}
		t.Logf("early without delays: mean %v, nine in ten %v, most %v; %.3f watches a second", sum/time.Duration(len(early)), early[len(early)*9/10], early[len(early)-1],
			float64(f.store.watched()-watches)/time.Since(began).Seconds())
		must.LessEq(t, earliest, early[len(early)-1])
	})
}
