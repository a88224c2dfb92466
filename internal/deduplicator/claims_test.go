package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/storer"
)

// fakeStore holds keys in memory; the embedded nil interface provides the methods
// that claims never call.
type fakeStore struct {
	storer.Store
	items  map[string][]byte
	leases int
	writes int
	// lostReplies is the number of next writes that take effect without a reply,
	// lostWrites the number of those that take no effect.
	lostReplies, lostWrites int
	down                    bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string][]byte{}} }

func (s *fakeStore) Grant(context.Context, time.Duration) (string, error) {
	if s.down {
		return "", &storer.UnavailableError{Op: "grant", Err: errors.New("503")}
	}
	s.leases++
	return fmt.Sprint("lease-", s.leases), nil
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.Item, error) {
	if s.down {
		return storer.Item{}, &storer.UnavailableError{Op: "get", Err: errors.New("503")}
	}
	v, ok := s.items[key]
	if !ok {
		return storer.Item{}, &storer.NotFoundError{Key: key}
	}
	return storer.Item{Key: key, Value: v, Version: 1}, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, _ uint64, _ string) (uint64, error) {
	s.writes++
	if s.down {
		return 0, &storer.UnavailableError{Op: "put", Err: errors.New("503")}
	}
	if s.lostWrites > 0 {
		s.lostWrites--
		return 0, &storer.UnknownError{Op: "put", Err: errors.New("timeout")}
	}
	if _, ok := s.items[key]; ok {
		return 0, &storer.ConflictError{Key: key, Version: 1}
	}
	s.items[key] = value
	if s.lostReplies > 0 {
		s.lostReplies--
		return 0, &storer.UnknownError{Op: "put", Err: errors.New("reset")}
	}
	return 1, nil
}

// claim makes a claim for a fixed caller's key, with a minted key of the given nonce.
func claim(c *deduplicator.Claims, nonce string) (deduplicator.Key, bool, error) {
	mint := func() deduplicator.Key { return newKey(nonce, epoch) }
	return c.Claim(context.Background(), "fern", "booking", "friday-swap-7", mint)
}

// A shed lead's app repeats a booking with its own key through another entry.
// Bound to a second agent it would run again there, and two casuals would turn up.
func TestClaimBindsCallerKeyOnce(t *testing.T) {
	s := newFakeStore()
	k, first, err := claim(&deduplicator.Claims{Store: s}, "a")
	must.NoError(t, err)
	test.True(t, first)
	again, first, err := claim(&deduplicator.Claims{Store: s}, "b")
	must.NoError(t, err)
	test.False(t, first)
	test.Eq(t, k, again)
	found, err := (&deduplicator.Claims{Store: s}).Find(t.Context(), "fern", "booking", "friday-swap-7")
	must.NoError(t, err)
	test.Eq(t, k, found)
}

// The store writes the claim and its reply is lost. The entry must recognize its
// own claim, and neither treat it as another entry's nor make a second one.
func TestClaimSurvivesLostReply(t *testing.T) {
	s := newFakeStore()
	s.lostReplies = 1
	k, first, err := claim(&deduplicator.Claims{Store: s}, "a")
	must.NoError(t, err)
	test.True(t, first)
	test.Eq(t, "a", k.Nonce)
	s = newFakeStore()
	s.lostWrites = 2
	k, first, err = claim(&deduplicator.Claims{Store: s}, "a")
	must.NoError(t, err)
	test.True(t, first)
	test.Eq(t, "a", k.Nonce)
	test.Eq(t, 3, s.writes)
}

// During an outage of the store, a caller's key can not be resolved. Nothing may run,
// and the error must state when to retry.
func TestClaimFailsDuringStoreOutage(t *testing.T) {
	s := newFakeStore()
	s.down = true
	_, _, err := claim(&deduplicator.Claims{Store: s, RetryAfter: 3 * time.Second}, "a")
	var e *deduplicator.ClaimError
	must.True(t, errors.As(err, &e))
	test.Eq(t, 3*time.Second, e.RetryAfter)
	s.down = false
	_, err = (&deduplicator.Claims{Store: s}).Find(t.Context(), "fern", "booking", "friday-swap-7")
	var u *deduplicator.UnclaimedError
	test.True(t, errors.As(err, &u))
}

func TestClaimsShareLeaseForPeriod(t *testing.T) {
	s := newFakeStore()
	clock := testingclock.NewFakePassiveClock(epoch)
	c := &deduplicator.Claims{Store: s, Clock: clock}
	mint := func() deduplicator.Key { return newKey("n", epoch) }
	for i := range 10 {
		_, _, err := c.Claim(t.Context(), "fern", "booking", fmt.Sprint(i), mint)
		must.NoError(t, err)
	}
	test.Eq(t, 1, s.leases)
	clock.SetTime(epoch.Add(time.Hour))
	_, _, err := c.Claim(t.Context(), "fern", "booking", "later", mint)
	must.NoError(t, err)
	test.Eq(t, 2, s.leases)
}
