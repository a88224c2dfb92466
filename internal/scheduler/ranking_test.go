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

// A request is refused only after each engine had its turn, the near and idle ones first and
// those that failed just now last. One left out would stand idle while callers are refused.
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
			c.Heard(id, waits[i], 0)
			if random.IntN(4) == 0 {
				c.Failed(id, true)
			}
		}
		given := map[int]bool{}
		avoided, before := false, time.Duration(0)
		r := c.Rank(all)
		for i, ok := r.Next(); ok; i, ok = r.Next() {
			must.False(t, given[i])
			given[i] = true
			must.Eq(t, n-len(given), r.Left())
			switch now := c.Avoided(all[i].ID); {
			case now && !avoided:
				avoided = true
			default:
				must.Eq(t, avoided, now)
				must.LessEq(t, waits[i], before, must.Sprint("further apart than choices are spread"))
			}
			before = waits[i]
		}
		must.MapLen(t, n, given)
	})
}

// Guards against passing over a restarted upstream that keeps its ID for failures of its former start.
func TestRestartedUpstreamStartsAfresh(t *testing.T) {
	chooser, _ := newChooser()
	a, b := scheduler.Candidate{ID: "a", StartedAt: time.UnixMilli(100)}, scheduler.Candidate{ID: "b", StartedAt: time.UnixMilli(100)}
	chooser.Order([]scheduler.Candidate{a, b})
	chooser.Failed("a", true)
	chooser.Full("a", false, time.Minute)
	must.Eq(t, "b", chooser.Order([]scheduler.Candidate{a, b})[0].ID)
	must.True(t, chooser.Avoided("a"))
	a.StartedAt = time.UnixMilli(200)
	chooser.Order([]scheduler.Candidate{a, b})
	must.False(t, chooser.Avoided("a"))
	must.Eq(t, 0, chooser.FullFor("a", false))
}
