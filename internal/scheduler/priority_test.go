package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// byPriority are the mechanisms that act by priority.
var byPriority = ablator.Set{ablator.PriorityReservation, ablator.UrgentQueue, ablator.WorkspaceShare}

func prioritized(id, priority int, workspace string) scheduler.Job {
	j := job(id, 160*time.Millisecond)
	j.Prompt, j.Priority, j.Workspace = 100, &priority, workspace
	return j
}

// fill takes so many slots by jobs of a priority whose prompts are read.
func fill(t *testing.T, l *scheduler.Ledger, slots, priority int, workspace string) {
	t.Helper()
	for i := range slots {
		j := prioritized(1000*(priority+1)+i, priority, workspace)
		j.ID = workspace + j.ID
		must.True(t, l.Reserve(j, 0).Granted)
		l.Started(j.ID)
	}
}

// live has urgent jobs come for the first time at some engine, and one that found others full.
func live(l *scheduler.Ledger, jobs int) {
	for i := range jobs {
		j := prioritized(9000+i, 0, "")
		l.Reserve(j, 0)
		l.Ended(j.ID)
	}
	j := prioritized(9999, 0, "")
	j.Asked, j.Refusals = 3, 3
	l.Reserve(j, 0)
	l.Ended(j.ID)
}

// Guards against decisions that change where all requests are equally urgent: random jobs get the same verdicts
// from a ledger without the mechanisms as from those with them, whether or not they state their priority.
func TestEqualPrioritiesAreServedAsBefore(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		before := &scheduler.Ledger{Clock: c, Without: byPriority}
		plain, equal := &scheduler.Ledger{Clock: c}, &scheduler.Ledger{Clock: c}
		all := []*scheduler.Ledger{before, plain, equal}
		for _, l := range all {
			l.Open(figures())
		}
		for i := range 1500 {
			c.Step(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
			known := fmt.Sprint(i - random.IntN(60))
			what := random.IntN(4)
			for _, l := range all {
				switch what {
				case 0:
					l.Ended(known)
				case 1:
					l.Started(known)
				}
			}
			j := scheduler.Job{ID: fmt.Sprint(i), Prompt: random.IntN(3000), Answer: random.IntN(250), Spare: random.IntN(4) == 0,
				Patience: time.Duration(random.Int64N(int64(300 * time.Millisecond))), Left: 2 * time.Second}
			stated := j
			priority := 2
			stated.Priority, stated.Workspace, stated.Refusals, stated.Asked = &priority, "abc"[random.IntN(3):][:1], random.IntN(4), random.IntN(2)
			want := before.Reserve(j, 0)
			must.Eq(t, want, plain.Reserve(j, 0))
			must.Eq(t, want, equal.Reserve(stated, 0))
		}
	}
}

// Guards against batch requests that take the slots of live ones: during a shortage as many stay free as live
// requests are expected, and less is kept for few than for many.
func TestSlotsAreKeptForTheExpectedDemand(t *testing.T) {
	granted := func(liveJobs int) int {
		l, _ := openLedger()
		live(l, liveJobs)
		n := 0
		for i := range figures().Slots {
			j := prioritized(i, 2, "")
			v := l.Reserve(j, 0)
			if !v.Granted {
				must.Eq(t, scheduler.KeptForUrgent, v.Kept)
				must.Positive(t, v.Free)
				break
			}
			l.Started(j.ID)
			n++
		}
		must.True(t, l.Reserve(prioritized(5000, 0, ""), 0).Granted, must.Sprint("an urgent request gets what is kept"))
		return n
	}
	must.Eq(t, figures().Slots, granted(0))
	few, many := granted(10), granted(20)
	must.Between(t, 10, few, figures().Slots-1)
	must.Less(t, few, many)
}

// Guards against slots that stand empty at an engine with room, where urgent requests all found slots, or where an
// agent that just started knows no demand.
func TestNothingIsKeptWithoutAShortage(t *testing.T) {
	l, _ := openLedger()
	live(l, 4)
	fill(t, l, 12, 2, "")

	l, _ = openLedger()
	must.True(t, l.Reserve(prioritized(0, 0, ""), 0).Granted)
	l.Ended("0")
	fill(t, l, figures().Slots, 2, "")
}

// Guards against slots that are kept for urgent requests that no longer come.
func TestDemandThatEbbsGivesSlotsBack(t *testing.T) {
	l, c := openLedger()
	live(l, 30)
	fill(t, l, 9, 2, "")
	must.Eq(t, scheduler.KeptForUrgent, l.Reserve(prioritized(0, 2, ""), 0).Kept)
	c.Step(500 * time.Millisecond)
	must.True(t, l.Reserve(prioritized(0, 2, ""), 0).Granted)
}

// Guards against a long prompt that has urgent requests wait for longer than they may: its reading is counted
// against the smallest budget that they stated.
func TestLongPromptsDoNotDelayUrgentRequests(t *testing.T) {
	l, _ := openLedger()
	live(l, 0)
	long := prioritized(0, 2, "")
	long.Prompt, long.Patience = 4000, 300*time.Millisecond
	must.Eq(t, scheduler.KeptForUrgent, l.Reserve(long, 0).Kept)
	must.True(t, l.Reserve(prioritized(1, 2, ""), 0).Granted)
}

// Guards against live requests that are refused while batch requests hold all slots, and against a queue at the
// engine behind requests that are as urgent.
func TestUrgentRequestWaitsAtTheEngine(t *testing.T) {
	l, _ := openLedger()
	fill(t, l, figures().Slots, 2, "")
	must.False(t, l.Reserve(prioritized(0, 2, ""), 0).Granted)
	v := l.Reserve(prioritized(1, 0, ""), 0)
	must.True(t, v.Granted)
	must.GreaterEq(t, scheduler.TurnTime(figures()), v.Wait)
	must.False(t, l.Reserve(prioritized(2, 0, ""), 0).Granted, must.Sprint("one beyond the batch"))

	for _, e := range []struct {
		holding  int
		patience time.Duration
	}{{0, time.Second}, {2, scheduler.TurnTime(figures()) / 2}} {
		l, _ = openLedger()
		fill(t, l, figures().Slots, e.holding, "")
		j := prioritized(1, 0, "")
		j.Patience = e.patience
		must.False(t, l.Reserve(j, 0).Granted)
	}
}

// Guards against a workspace with a third of the demand that finds all slots taken by another one.
func TestWorkspaceWithAThirdOfTheDemandGetsTheLastSlot(t *testing.T) {
	l, _ := openLedger()
	fill(t, l, 1, 0, "other")
	fill(t, l, figures().Slots-1, 2, "large")
	must.False(t, l.Reserve(prioritized(1, 2, "third"), 0).Granted)
	l.Ended("large3000")
	must.Eq(t, scheduler.KeptForWorkspaces, l.Reserve(prioritized(2, 2, "large"), 0).Kept)
	must.True(t, l.Reserve(prioritized(1, 2, "third"), 0).Granted)
}

// Entries with an older table send no priority for requests to which others give one, or another one. Guards
// against a ledger that takes those for the most urgent, or doesn't keep slots from them.
func TestEntriesWithDifferentTables(t *testing.T) {
	l, _ := openLedger()
	live(l, 20)
	fill(t, l, 8, 4, "")
	unstated := prioritized(0, 0, "")
	unstated.Priority = nil
	granted := 0
	for ; l.Reserve(unstated, 0).Granted; granted++ {
		l.Started(unstated.ID)
		unstated.ID += "0"
	}
	must.Between(t, 1, granted, figures().Slots-9)
	must.True(t, l.Reserve(prioritized(1, 0, ""), 0).Granted)
	must.Eq(t, scheduler.KeptForUrgent, l.Reserve(prioritized(2, 4711, ""), 0).Kept, must.Sprint("counts as the least urgent"))
}

// surge has live and batch requests come at several entries, batch at another rate from the fourth second to the
// eleventh.
func (w *town) surge(live, batch *[]*caller, state bool) {
	come := func(into *[]*caller, priority, perSecond int, from, to time.Duration) {
		for at := from; at < to; at += time.Second / time.Duration(perSecond) {
			w.after(at, func() {
				w.next++
				c := &caller{arrived: w.clock.Now(), job: scheduler.Job{ID: fmt.Sprint(w.next), Prompt: 400 + w.random.IntN(1200),
					Answer: 40 + w.random.IntN(100), Left: 6 * time.Second}}
				if state {
					c.job.Priority = &priority
				}
				*into = append(*into, c)
				w.try(c)
			})
		}
	}
	come(live, 0, 50, 0, 15*time.Second)
	come(batch, 2, 45, 0, 4*time.Second)
	come(batch, 2, 105, 4*time.Second, 11*time.Second)
	come(batch, 2, 45, 11*time.Second, 15*time.Second)
}

func inTimeShare(cs []*caller) float64 {
	n := 0
	for _, c := range cs {
		if c.inTime {
			n++
		}
	}
	return float64(n) / float64(len(cs))
}

// Guards against live requests that are served worse than the batch requests that surge beside them, and against
// slots that stand empty meanwhile.
func TestBatchSurgeAgainstLiveTraffic(t *testing.T) {
	share := map[bool][2]float64{}
	for _, state := range []bool{false, true} {
		w := newTown(12)
		var live, batch []*caller
		w.surge(&live, &batch, state)
		w.run()
		share[state] = [2]float64{inTimeShare(live), inTimeShare(batch)}
		t.Logf("priorities stated %v: live %.3f, batch %.3f in time, %d of all", state, share[state][0], share[state][1], w.inTime)
	}
	must.Greater(t, share[false][0]+0.05, share[true][0])
	must.Greater(t, 0.97, share[true][0])
	must.Greater(t, 0.4, share[true][1])
}
