package storer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/internal/storer/storertest"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func runWithStore(t *testing.T, f func(t *testing.T, s *storer.HTTP, link *storertest.Transport, faults func(string))) {
	synctest.Test(t, func(t *testing.T) {
		kv := (&imitator.KV{Seed: 1}).Handler()
		link := &storertest.Transport{Handler: kv}
		s := &storer.HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: &http.Client{Transport: link}}
		f(t, s, link, func(body string) {
			w := httptest.NewRecorder()
			kv.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/admin/faults", strings.NewReader(body)))
			must.Eq(t, http.StatusOK, w.Code)
		})
	})
}

func TestCompareAndSwap(t *testing.T) {
	runWithStore(t, func(t *testing.T, s *storer.HTTP, _ *storertest.Transport, _ func(string)) {
		_, err := s.Get(t.Context(), "a/b c")
		var missing *storer.NotFoundError
		must.True(t, errors.As(err, &missing))
		v, err := s.Put(t.Context(), "a/b c", []byte("one"), 0, "")
		must.NoError(t, err)
		_, err = s.Put(t.Context(), "a/b c", []byte("two"), v+1, "")
		var conflict *storer.ConflictError
		must.True(t, errors.As(err, &conflict))
		must.Eq(t, v, conflict.Version)
		items, err := s.List(t.Context(), "a/")
		must.NoError(t, err)
		must.Eq(t, []storer.Item{{Key: "a/b c", Value: []byte("one"), Version: v}}, items)
		must.NoError(t, s.Delete(t.Context(), "a/b c", v))
	})
}

func TestLeaseExpires(t *testing.T) {
	runWithStore(t, func(t *testing.T, s *storer.HTTP, _ *storertest.Transport, _ func(string)) {
		lease, err := s.Grant(t.Context(), 5*time.Second)
		must.NoError(t, err)
		_, err = s.Put(t.Context(), "k", nil, 0, lease)
		must.NoError(t, err)
		<-time.After(4 * time.Second)
		must.NoError(t, s.Renew(t.Context(), lease))
		<-time.After(6 * time.Second)
		var missing *storer.NotFoundError
		must.True(t, errors.As(s.Renew(t.Context(), lease), &missing))
		_, err = s.Get(t.Context(), "k")
		must.True(t, errors.As(err, &missing))
	})
}

func TestWatch(t *testing.T) {
	runWithStore(t, func(t *testing.T, s *storer.HTTP, _ *storertest.Transport, _ func(string)) {
		_, err := s.Watch(t.Context(), "k", 0, time.Second)
		var unchanged *storer.UnchangedError
		must.True(t, errors.As(err, &unchanged))
		time.AfterFunc(time.Second, func() { _, _ = s.Put(t.Context(), "k", []byte("v"), 0, "") })
		i, err := s.Watch(t.Context(), "k", 0, time.Minute)
		must.NoError(t, err)
		must.Eq(t, "v", string(i.Value))
	})
}

// Guards against a watch without a timeout: if its connection fails without an error, the
// caller would wait for ever and never learn of a change again.
func TestUnresponsiveWatchTimesOut(t *testing.T) {
	runWithStore(t, func(t *testing.T, s *storer.HTTP, _ *storertest.Transport, faults func(string)) {
		faults(`{"deadWatches":true}`)
		start := time.Now()
		_, err := s.Watch(t.Context(), "k", 0, 20*time.Second)
		var unavailable *storer.UnavailableError
		must.True(t, errors.As(err, &unavailable))
		must.Eq(t, 20*time.Second+storer.DefaultTimeout, time.Since(start))
	})
}

// Guards against errors that confuse a write that took effect but whose response was lost
// with one that failed because the store was down or unreachable: an operator would undo
// or repeat a change that is in force.
func TestOutcomeOfFailedWrites(t *testing.T) {
	runWithStore(t, func(t *testing.T, s *storer.HTTP, link *storertest.Transport, faults func(string)) {
		var (
			unknown     *storer.UnknownError
			unavailable *storer.UnavailableError
		)
		faults(`{"loseAnswers":1}`)
		_, err := s.Put(t.Context(), "k", []byte("v"), 0, "")
		must.True(t, errors.As(err, &unknown))
		i, err := s.Get(t.Context(), "k")
		must.NoError(t, err)
		must.Eq(t, "v", string(i.Value))
		faults(`{"down":true}`)
		_, err = s.Put(t.Context(), "k", []byte("w"), i.Version, "")
		must.True(t, errors.As(err, &unavailable))
		faults(`{}`)
		link.Cut.Store(true)
		_, err = s.Put(t.Context(), "k", []byte("w"), i.Version, "")
		must.True(t, errors.As(err, &unavailable))
		link.Cut.Store(false)
		_, err = s.Put(t.Context(), "k", make([]byte, 1<<20+1), i.Version, "")
		var refused *storer.RefusedError
		must.True(t, errors.As(err, &refused))
	})
}

// Guards against a store that sends endless response headers.
func TestEndlessHeadIsAnError(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := (&storer.HTTP{Address: a}).Get(t.Context(), "k")
		return err
	})
}

// Guards against a status that HTTP doesn't define counting as the store's word: on a change, on a key that is missing or
// unchanged, or on a write that had no effect.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const body = `{"key":"k","value":"dg==","version":7,"id":"lease-1","items":[]}`
	for name, call := range map[string]func(s *storer.HTTP) error{
		"get":   func(s *storer.HTTP) error { _, err := s.Get(t.Context(), "k"); return err },
		"list":  func(s *storer.HTTP) error { _, err := s.List(t.Context(), "k"); return err },
		"watch": func(s *storer.HTTP) error { _, err := s.Watch(t.Context(), "k", 6, time.Minute); return err },
	} {
		t.Run(name, func(t *testing.T) {
			bodyreadertest.InvalidStatuses(t, "", body, func(t *testing.T, a netip.AddrPort) error {
				err := call(&storer.HTTP{Address: a})
				var unavailable *storer.UnavailableError
				must.True(t, errors.As(err, &unavailable), must.Sprint(err))
				return err
			})
		})
	}
	for name, call := range map[string]func(s *storer.HTTP) error{
		"put":    func(s *storer.HTTP) error { _, err := s.Put(t.Context(), "k", []byte("v"), 6, ""); return err },
		"delete": func(s *storer.HTTP) error { return s.Delete(t.Context(), "k", 6) },
		"grant":  func(s *storer.HTTP) error { _, err := s.Grant(t.Context(), time.Minute); return err },
		"renew":  func(s *storer.HTTP) error { return s.Renew(t.Context(), "lease-1") },
	} {
		t.Run(name, func(t *testing.T) {
			bodyreadertest.InvalidStatuses(t, "", body, func(t *testing.T, a netip.AddrPort) error {
				err := call(&storer.HTTP{Address: a})
				var unknown *storer.UnknownError
				must.True(t, errors.As(err, &unknown), must.Sprint(err))
				return err
			})
		})
	}
}

// Guards against following a redirect of the store: the success of the read that a write became would count as the write's.
func TestRedirectIsNoAnswer(t *testing.T) {
	bodyreadertest.Redirects(t, `{"key":"k","value":"dg==","version":7,"id":"lease-1"}`, map[string]func(netip.AddrPort) error{
		"get": func(a netip.AddrPort) error { _, err := (&storer.HTTP{Address: a}).Get(t.Context(), "k"); return err },
		"put": func(a netip.AddrPort) error {
			_, err := (&storer.HTTP{Address: a}).Put(t.Context(), "k", []byte("v"), 6, "")
			return err
		},
		"delete": func(a netip.AddrPort) error { return (&storer.HTTP{Address: a}).Delete(t.Context(), "k", 6) },
		"grant": func(a netip.AddrPort) error {
			_, err := (&storer.HTTP{Address: a}).Grant(t.Context(), time.Minute)
			return err
		},
		"renew": func(a netip.AddrPort) error { return (&storer.HTTP{Address: a}).Renew(t.Context(), "lease-1") },
	})
}
