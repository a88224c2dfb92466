package publisher_test

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/internal/storer/storertest"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// bench is a publisher before the stand-in store, in virtual time.
type bench struct {
	*publisher.Publisher
	kv   http.Handler
	link *storertest.Transport
}

func inBench(t *testing.T, f func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		k := &imitator.KV{Seed: 1}
		b := &bench{kv: k.Handler()}
		b.link = &storertest.Transport{Handler: b.kv}
		store := &storer.HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: &http.Client{Transport: b.link}}
		key := record(1, "any").Signatures[0].Key
		b.Publisher = &publisher.Publisher{Store: store, Keyring: bundler.Keyring{Keys: []string{key}, Threshold: 1}}
		f(t, b)
	})
}

func (b *bench) admin(t *testing.T, path, body string) {
	w := httptest.NewRecorder()
	b.kv.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	must.Eq(t, http.StatusOK, w.Code)
}

// lost lets the next write take effect without an answer.
type lost struct {
	storer.Store
	left int
}

func (l *lost) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	v, err := l.Store.Put(ctx, key, value, version, lease)
	if err == nil && key == gossiper.BundleKey && l.left > 0 {
		l.left--
		return 0, &storer.UnknownError{Op: "put", Key: key, Err: errors.New("connection broke")}
	}
	return v, err
}

func record(revision uint64, change string) *bundler.Record {
	b := &bundler.Bundle{
		Revision:       revision,
		ChangeID:       change,
		FailureDomains: []bundler.FailureDomain{{Name: "huon-a", Region: "huon"}},
		Services:       []bundler.Service{{Name: "bookings"}},
		Workspaces:     []bundler.Workspace{{Name: "growers", Services: []string{"bookings"}}},
	}
	payload, err := b.Encode()
	if err != nil {
		panic(err)
	}
	r := &bundler.Record{Payload: payload}
	if err := r.Sign(base64.StdEncoding.EncodeToString(make([]byte, 32))); err != nil {
		panic(err)
	}
	return r
}

// An operator's client accepts a bundle, but the answer is lost. Told "failed",
// the operator would roll it again, or undo something that is in force.
func TestLostAnswerIsResolved(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		b.Store = &lost{Store: b.Store, left: 1}
		res, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.AnswerLost)
		must.False(t, res.AlreadyAccepted)
		res, err = b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.AlreadyAccepted)
	})
}

// The answer is lost and the next operator is accepted before the first one
// looks. The first change was in force for a while; calling that a lost race
// would make its operator roll the same change twice.
func TestLostAnswerAndSuperseded(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		_, err := b.Store.Put(t.Context(), gossiper.BundleKey, encode(record(1, "c1")), 0, "")
		must.NoError(t, err)
		_, err = b.Publish(t.Context(), record(2, "c2"))
		must.NoError(t, err)
		res, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.Superseded)
	})
}

func encode(r *bundler.Record) []byte {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// Operators race for the same revision. If the second write replaced the first,
// a drain could vanish without anyone having undone it.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		var g sync.WaitGroup
		errs := make([]error, 8)
		b.admin(t, "/admin/faults", `{"delayMs":20}`)
		for i := range errs {
			g.Go(func() { _, errs[i] = b.Publish(t.Context(), record(1, fmt.Sprintf("c%d", i))) })
		}
		g.Wait()
		now, _, err := b.Current(t.Context())
		must.NoError(t, err)
		won := 0
		for i, err := range errs {
			var race *publisher.RaceError
			if err == nil {
				won++
				must.Eq(t, fmt.Sprintf("c%d", i), now.ChangeID)
				continue
			}
			must.True(t, errors.As(err, &race))
			must.Eq(t, now.ChangeID, race.Accepted.ChangeID)
			must.False(t, race.Undecided)
		}
		must.Eq(t, 1, won)
	})
}

// The store goes down while an operator rolls: before the write, or after it was
// sent. The client must not say "failed" of what may be in force.
func TestStoreDownWhileRolling(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		b.admin(t, "/admin/faults", `{"down":true}`)
		_, err := b.Publish(t.Context(), record(1, "c1"))
		var unavailable *storer.UnavailableError
		must.True(t, errors.As(err, &unavailable))
		b.admin(t, "/admin/faults", `{"loseAnswers":1}`)
		b.Store = &cutAfterWrite{Store: b.Store, link: b.link}
		_, err = b.Publish(t.Context(), record(1, "c1"))
		var undecided *publisher.UndecidedError
		must.True(t, errors.As(err, &undecided))
		b.link.Cut.Store(false)
		res, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.AlreadyAccepted)
	})
}

// cutAfterWrite makes the store unreachable once the bundle was sent.
type cutAfterWrite struct {
	storer.Store
	link *storertest.Transport
}

func (c *cutAfterWrite) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	v, err := c.Store.Put(ctx, key, value, version, lease)
	if key == gossiper.BundleKey {
		c.link.Cut.Store(true)
	}
	return v, err
}

// An operator's client dies as soon as its bundle is accepted. Entries ask the
// store for the short head alone; if that still named the old bundle, they would
// go on confirming it to each other, and a drain would never come into force.
func TestHeadNeverLagsBehind(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		_, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		s := &gossiper.State{Keyring: b.Keyring, Clock: clock.RealClock{}}
		w := &gossiper.Watcher{Store: b.Store, State: s, Clock: clock.RealClock{}}
		must.NoError(t, w.Probe(t.Context()))
		b.Store = &cutAfterWrite{Store: b.Store, link: b.link}
		_, _ = b.Publish(t.Context(), record(2, "c2"))
		b.link.Cut.Store(false)
		must.NoError(t, w.Probe(t.Context()))
		now, _ := s.Current()
		must.Eq(t, 2, now.Revision)
	})
}

// The platform restores an old copy of its store. Rolling on from there would
// make a second bundle of a revision that is in force already, which every
// process refuses; the operator has to be told instead.
func TestRolledBackStoreIsNotBuiltUpon(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		_, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		b.admin(t, "/admin/snapshot", "{}")
		for n := uint64(2); n <= 3; n++ {
			_, err = b.Publish(t.Context(), record(n, fmt.Sprintf("c%d", n)))
			must.NoError(t, err)
		}
		b.admin(t, "/admin/restore", "{}")
		_, err = b.Publish(t.Context(), record(4, "c4"))
		var gap *publisher.GapError
		must.True(t, errors.As(err, &gap))
		must.Eq(t, 1, gap.Present)
		must.NoError(t, b.Restore(t.Context(), record(3, "c3")))
		var race *publisher.RaceError
		must.True(t, errors.As(b.Restore(t.Context(), record(2, "c2")), &race))
		_, err = b.Publish(t.Context(), record(4, "c4"))
		must.NoError(t, err)
	})
}

// The service takes several hundred writes and about two thousand reads a second
// for everyone together, and there are to be 7,400 changes a day.
func TestCallsOfOneChange(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		var before int64
		for n := uint64(1); n <= publisher.HistoryKept+2; n++ {
			before = b.link.Calls.Load()
			_, err := b.Publish(t.Context(), record(n, fmt.Sprint(n)))
			must.NoError(t, err)
		}
		// Reads: the bundle, the head, the oldest of the history. Writes: the old
		// revision into the history (it is there), head, bundle, new revision into
		// the history, the oldest out of it.
		must.Eq(t, 8, b.link.Calls.Load()-before)
	})
}
