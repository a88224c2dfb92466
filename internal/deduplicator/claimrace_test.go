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

// racingStore loses and delays writes, and lets other entries in between.
type racingStore struct {
	*fakeStore
	pick picker
	// late are writes that were sent and have not landed yet.
	late []func()
	// other is what another entry does meanwhile; depth bounds it.
	other func()
	depth int
}

func (s *racingStore) between() {
	for len(s.late) > 0 && s.pick(2) == 0 {
		s.late[0]()
		s.late = s.late[1:]
	}
	if s.depth < 3 && s.pick(3) == 0 {
		s.depth++
		s.other()
		s.depth--
	}
}

func (s *racingStore) Get(ctx context.Context, key string) (storer.Item, error) {
	s.between()
	s.down = s.pick(8) == 0
	return s.fakeStore.Get(ctx, key)
}

func (s *racingStore) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	s.between()
	s.down = s.pick(8) == 0
	if s.pick(3) == 0 {
		s.late = append(s.late, func() {
			s.down = false
			_, _ = s.fakeStore.Put(ctx, key, value, version, lease)
		})
		return 0, &storer.UnknownError{Op: "put", Err: errors.New("timeout")}
	}
	s.lose = s.pick(2)
	v, err := s.fakeStore.Put(ctx, key, value, version, lease)
	s.between()
	return v, err
}

// One booking's key comes through three entries at once, while the store loses
// answers and lets writes land late. Whichever entries get as far as an answer
// must name the same agent: with two, the booking runs at both.
func TestClaimsAgreeInARace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &racingStore{fakeStore: newFakeStore()}
		s.pick = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		bound, firsts, minted := map[string]bool{}, 0, 0
		s.other = func() {
			minted++
			k, first, err := claim(&deduplicator.Claims{Store: s}, fmt.Sprint(minted))
			if err != nil {
				return
			}
			bound[k.String()] = true
			if first {
				firsts++
			}
		}
		for range 4 {
			s.other()
		}
		must.LessEq(t, 1, len(bound))
		must.LessEq(t, 1, firsts)
	})
}
