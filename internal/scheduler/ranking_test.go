package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against leaving an engine out: a request is refused only after each engine has been ranked, near and
// idle ones first and those that failed recently last. One left out would idle while callers are refused.
func TestRankingGivesEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, _ := newChooser()
		n := rapid.IntRange(0, 60).Draw(t, "candidates")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var all []scheduler.Candidate
		waits := make([]time.Duration, n)
		for i := range n {
			id := fmt.Sprint(i)
			all = append(all, scheduler.Candidate{ID: id, Slots: 16})
			waits[i] = time.Duration(random.IntN(20)) * 50 * time.Millisecond
			c.RecordLoad(id, waits[i], 0)
			if random.IntN(4) == 0 {
				c.RecordFailure(id, true)
			}
		}
		ranked := map[int]bool{}
		avoided, before := false, time.Duration(0)
		r := c.Rank(all)
		for i, ok := r.Next(); ok; i, ok = r.Next() {
			must.False(t, ranked[i])
			ranked[i] = true
			must.Eq(t, n-len(ranked), r.Left())
			switch isAvoided := c.Avoided(all[i].ID); {
			case isAvoided && !avoided:
				avoided = true
			default:
				must.Eq(t, avoided, isAvoided)
				must.LessEq(t, waits[i], before, must.Sprint("out of order by more than the jitter"))
			}
			before = waits[i]
		}
		must.MapLen(t, n, ranked)
	})
}

// Guards against avoiding a restarted upstream that keeps its ID for failures of its earlier start.
func TestRestartResetsUpstreamState(t *testing.T) {
	chooser, _ := newChooser()
	a, b := scheduler.Candidate{ID: "a", StartedAt: time.UnixMilli(100)}, scheduler.Candidate{ID: "b", StartedAt: time.UnixMilli(100)}
	chooser.Order([]scheduler.Candidate{a, b})
	chooser.RecordFailure("a", true)
	chooser.RecordFull("a", false, time.Minute)
	must.Eq(t, "b", chooser.Order([]scheduler.Candidate{a, b})[0].ID)
	must.True(t, chooser.Avoided("a"))
	a.StartedAt = time.UnixMilli(200)
	chooser.Order([]scheduler.Candidate{a, b})
	must.False(t, chooser.Avoided("a"))
	must.Eq(t, 0, chooser.FullFor("a", false))
}
