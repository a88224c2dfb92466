package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

var epoch = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// cluster is nine entries that exchange their demand once a second.
type cluster struct {
	clock    *clocktesting.FakePassiveClock
	limiters []*limiter.Limiter
	random   *rand.Rand
}

func newCluster(l bundler.Limits) *cluster {
	f := &cluster{clock: clocktesting.NewFakePassiveClock(epoch), random: rand.New(rand.NewPCG(1, 1))}
	for range 9 {
		e := &limiter.Limiter{Clock: f.clock, Entries: func() int { return 9 }, Random: rand.New(rand.NewPCG(2, 2))}
		e.SetBundle(&bundler.Bundle{Revision: 1, Workspaces: []bundler.Workspace{{Name: "farm", Limits: l}}})
		f.limiters = append(f.limiters, e)
	}
	return f
}

// run sends rate requests a second for the given duration, each to the entry
// that pick returns and each running for runTime. It returns the mean number
// admitted a second over the last half, the most in any second, and the mean
// number running.
func (f *cluster) run(rate float64, pick func() int, duration, runTime time.Duration) (mean float64, worst int, running float64) {
	const tick = 10 * time.Millisecond
	var ends []time.Time
	var tickets []*limiter.Ticket
	seconds := map[int]int{}
	total, busy := 0, 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		f.clock.SetTime(f.clock.Now().Add(tick))
		if elapsed%time.Second == 0 {
			f.exchange()
		}
		for len(ends) > 0 && !ends[0].After(f.clock.Now()) {
			tickets[0].Done()
			ends, tickets = ends[1:], tickets[1:]
		}
		for want := rate*tick.Seconds() - f.random.Float64(); want > 0; want-- {
			if t, err := f.limiters[pick()].Admit("farm", 1, 0); err == nil {
				ends, tickets = append(ends, f.clock.Now().Add(runTime)), append(tickets, t)
				seconds[int(elapsed/time.Second)]++
			}
		}
		if elapsed >= duration/2 {
			busy += len(ends)
		}
	}
	for _, t := range tickets {
		t.Done()
	}
	for s, n := range seconds {
		worst = max(worst, n)
		if s >= int(duration/2/time.Second) {
			total += n
		}
	}
	half := duration / 2
	return float64(total) / half.Seconds(), worst, float64(busy) / float64(half/tick)
}

func (f *cluster) exchange() {
	for i, from := range f.limiters {
		for j, to := range f.limiters {
			if i != j {
				to.SetPeerDemand(fmt.Sprint(i), from.Demand())
			}
		}
	}
}

// Guards against a wrong division of limits: refusals far below a workspace's
// limit, or requests of others that crowd out its own. Its callers spread over
// all entries, keep to one, or move from one to all at once.
func TestLimitOverEntries(t *testing.T) {
	f := newCluster(bundler.Limits{RequestsPerSecond: 30})
	one := func() int { return 0 }
	all := func() int { return f.random.IntN(9) }
	for _, c := range []struct {
		name  string
		pick  func() int
		least float64
		worst int
	}{{"all", all, 30, 66}, {"then one", one, 26, 66}, {"all again", all, 30, 66}, {"idle, then all", all, 30, 66}} {
		if c.name == "idle, then all" {
			f.run(0, c.pick, 20*time.Second, 0)
		}
		mean, worst, _ := f.run(300, c.pick, 24*time.Second, 0)
		t.Log(c.name, mean, worst)
		must.Between(t, c.least, mean, 30*1.15, must.Sprint(c.name))
		must.LessEq(t, c.worst, worst, must.Sprint(c.name))
	}
}

// Guards against rounding a limit of four concurrent requests at each of nine
// entries: rounded up nine would run, rounded down none.
func TestFewerSlotsThanEntries(t *testing.T) {
	f := newCluster(bundler.Limits{Concurrent: 4})
	_, _, running := f.run(20, func() int { return f.random.IntN(9) }, 20*time.Second, time.Second)
	t.Log("all", running)
	must.Between(t, 3.5, running, 4*1.25)
	f.run(20, func() int { return 0 }, 20*time.Second, time.Second)
	_, _, running = f.run(20, func() int { return 0 }, 20*time.Second, time.Second)
	t.Log("one", running)
	must.Between(t, 3, running, 4.4)
}

// Guards against the last report of an entry that is gone counting forever: if
// it had all the callers, the remaining entries would hold them to a tenth of
// their limit.
func TestDemandOfUnresponsiveEntryExpires(t *testing.T) {
	var p limiter.DemandShares
	p.SetDemand("gone", 9, epoch)
	must.EqOp(t, 0.1, p.Share(1, 2, epoch))
	must.EqOp(t, 0.5, p.Share(1, 2, epoch.Add(6*time.Second)))
}
