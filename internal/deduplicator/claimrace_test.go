package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/storer"
)

// racingStore loses and delays writes, and runs concurrent claims between operations.
type racingStore struct {
	*fakeStore
	pick picker
	// delayed are writes that were sent and have not been applied yet.
	delayed []func()
	// concurrentClaim is a claim of another entry; depth bounds its nesting.
	concurrentClaim func()
	depth           int
}

func (s *racingStore) interleave() {
	for len(s.delayed) > 0 && s.pick(2) == 0 {
		s.delayed[0]()
		s.delayed = s.delayed[1:]
	}
	if s.depth < 3 && s.pick(3) == 0 {
		s.depth++
		s.concurrentClaim()
		s.depth--
	}
}

func (s *racingStore) Get(ctx context.Context, key string) (storer.Item, error) {
	s.interleave()
	s.down = s.pick(8) == 0
	return s.fakeStore.Get(ctx, key)
}

func (s *racingStore) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	s.interleave()
	s.down = s.pick(8) == 0
	if s.pick(3) == 0 {
		s.delayed = append(s.delayed, func() {
			s.down = false
			_, _ = s.fakeStore.Put(ctx, key, value, version, lease)
		})
		return 0, &storer.UnknownError{Op: "put", Err: errors.New("timeout")}
	}
	s.lostReplies = s.pick(2)
	v, err := s.fakeStore.Put(ctx, key, value, version, lease)
	s.interleave()
	return v, err
}

// One booking's key arrives through three entries at once, while the store loses
// replies and applies writes late. All entries that get an answer must
// return the same agent: with two, the booking would run at both.
func TestConcurrentClaimsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &racingStore{fakeStore: newFakeStore()}
		s.pick = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		bound, created, minted := map[string]bool{}, 0, 0
		s.concurrentClaim = func() {
			minted++
			k, first, err := claim(&deduplicator.Claims{Store: s}, fmt.Sprint(minted))
			if err != nil {
				return
			}
			bound[k.String()] = true
			if first {
				created++
			}
		}
		for range 4 {
			s.concurrentClaim()
		}
		must.LessEq(t, 1, len(bound))
		must.LessEq(t, 1, created)
	})
}
