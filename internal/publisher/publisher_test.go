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

// fixture is a publisher with the stand-in store, in virtual time.
type fixture struct {
	*publisher.Publisher
	kv   http.Handler
	link *storertest.Transport
}

func runWithStore(t *testing.T, f func(t *testing.T, b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		k := &imitator.KV{Seed: 1}
		b := &fixture{kv: k.Handler()}
		b.link = &storertest.Transport{Handler: b.kv}
		store := &storer.HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: &http.Client{Transport: b.link}}
		key := record(1, "any").Signatures[0].Key
		b.Publisher = &publisher.Publisher{Store: store, Keyring: bundler.Keyring{Keys: []string{key}, Threshold: 1}}
		f(t, b)
	})
}

func (b *fixture) admin(t *testing.T, path, body string) {
	w := httptest.NewRecorder()
	b.kv.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	must.Eq(t, http.StatusOK, w.Code)
}

// lostAnswers is a store that loses the replies of the next bundle writes.
type lostAnswers struct {
	storer.Store
	remaining int
}

func (l *lostAnswers) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	v, err := l.Store.Put(ctx, key, value, version, lease)
	if err == nil && key == gossiper.BundleKey && l.remaining > 0 {
		l.remaining--
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

// Guards against reporting a failure for a bundle that was accepted but whose reply was
// lost: the operator would publish it again, or undo a change that is in force.
func TestLostAnswerIsResolved(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
		b.Store = &lostAnswers{Store: b.Store, remaining: 1}
		res, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.AnswerLost)
		must.False(t, res.AlreadyAccepted)
		res, err = b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.AlreadyAccepted)
	})
}

// Guards against reporting a lost race for a change that was in force until another
// operator's change superseded it, before the first operator, whose reply was lost,
// read the store again: the first operator would publish the same change twice.
func TestLostAnswerOfSupersededChange(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
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

// Guards against a second write at the same revision that replaces the first: a drain
// could vanish though no operator has undone it.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
		var g sync.WaitGroup
		errs := make([]error, 8)
		b.admin(t, "/admin/faults", `{"delayMs":20}`)
		for i := range errs {
			g.Go(func() { _, errs[i] = b.Publish(t.Context(), record(1, fmt.Sprintf("c%d", i))) })
		}
		g.Wait()
		current, _, err := b.Current(t.Context())
		must.NoError(t, err)
		won := 0
		for i, err := range errs {
			var race *publisher.RaceError
			if err == nil {
				won++
				must.Eq(t, fmt.Sprintf("c%d", i), current.ChangeID)
				continue
			}
			must.True(t, errors.As(err, &race))
			must.Eq(t, current.ChangeID, race.Accepted.ChangeID)
			must.False(t, race.Undecided)
		}
		must.Eq(t, 1, won)
	})
}

// Guards against reporting a failure for a change that may be in force: the store goes
// down before the write, or after it was sent.
func TestStoreOutageDuringPublish(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
		b.admin(t, "/admin/faults", `{"down":true}`)
		_, err := b.Publish(t.Context(), record(1, "c1"))
		var unavailable *storer.UnavailableError
		must.True(t, errors.As(err, &unavailable))
		b.admin(t, "/admin/faults", `{"loseAnswers":1}`)
		b.Store = &disconnectAfterWrite{Store: b.Store, link: b.link}
		_, err = b.Publish(t.Context(), record(1, "c1"))
		var undecided *publisher.UndecidedError
		must.True(t, errors.As(err, &undecided))
		b.link.Cut.Store(false)
		res, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		must.True(t, res.AlreadyAccepted)
	})
}

// disconnectAfterWrite makes the store unreachable once the bundle was sent.
type disconnectAfterWrite struct {
	storer.Store
	link *storertest.Transport
}

func (c *disconnectAfterWrite) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	v, err := c.Store.Put(ctx, key, value, version, lease)
	if key == gossiper.BundleKey {
		c.link.Cut.Store(true)
	}
	return v, err
}

// Guards against a head that lags behind the bundle after an operator's client crashed
// right after the bundle was accepted. Entries read only the head; with the old one they
// would keep confirming the old bundle to each other, and a drain would never take effect.
func TestHeadNeverLagsBehind(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
		_, err := b.Publish(t.Context(), record(1, "c1"))
		must.NoError(t, err)
		s := &gossiper.State{Keyring: b.Keyring, Clock: clock.RealClock{}}
		w := &gossiper.Watcher{Store: b.Store, State: s, Clock: clock.RealClock{}}
		must.NoError(t, w.Probe(t.Context()))
		b.Store = &disconnectAfterWrite{Store: b.Store, link: b.link}
		_, _ = b.Publish(t.Context(), record(2, "c2"))
		b.link.Cut.Store(false)
		must.NoError(t, w.Probe(t.Context()))
		current, _ := s.Current()
		must.Eq(t, 2, current.Revision)
	})
}

// Guards against publishing on top of an old copy of the store that the platform has
// restored: that would create a second bundle with a revision already in force, which
// every process refuses. The operator has to get an error instead.
func TestRolledBackStoreRefusesPublish(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
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

// Limits the calls per change: the service handles several hundred writes and about two
// thousand reads a second for all clients together, and 7,400 changes a day are expected.
func TestStoreCallsPerChange(t *testing.T) {
	runWithStore(t, func(t *testing.T, b *fixture) {
		var before int64
		for n := uint64(1); n <= publisher.HistoryKept+2; n++ {
			before = b.link.Calls.Load()
			_, err := b.Publish(t.Context(), record(n, fmt.Sprint(n)))
			must.NoError(t, err)
		}
		// Reads: the bundle, the head, the oldest revision of the history. Writes: the
		// old revision to the history (already there), the head, the bundle, the new
		// revision to the history, the deletion of the oldest one.
		must.Eq(t, 8, b.link.Calls.Load()-before)
	})
}
