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

// priorityMechanisms are the mechanisms that act by priority.
var priorityMechanisms = ablator.Set{ablator.PriorityReservation, ablator.UrgentQueue, ablator.WorkspaceShare}

func prioritizedJob(id, priority int, workspace string) scheduler.Job {
	j := job(id, 160*time.Millisecond)
	j.Prompt, j.Priority, j.Workspace = 100, &priority, workspace
	return j
}

// fillSlots takes slots with jobs of a priority whose prompts have been read.
func fillSlots(t *testing.T, l *scheduler.Ledger, slots, priority int, workspace string) {
	t.Helper()
	for i := range slots {
		j := prioritizedJob(1000*(priority+1)+i, priority, workspace)
		j.ID = workspace + j.ID
		must.True(t, l.Reserve(j, 0).Granted)
		l.Started(j.ID)
	}
}

// sendLiveJobs sends urgent jobs that ask their first engine, and one that found others full.
func sendLiveJobs(l *scheduler.Ledger, jobs int) {
	for i := range jobs {
		j := prioritizedJob(9000+i, 0, "")
		l.Reserve(j, 0)
		l.Ended(j.ID)
	}
	j := prioritizedJob(9999, 0, "")
	j.Asked, j.Refusals = 3, 3
	l.Reserve(j, 0)
	l.Ended(j.ID)
}

// Guards against different decisions where all requests are equally urgent: random jobs get the same decisions
// from a ledger without the mechanisms as from those with them, whether or not they state their priority.
func TestEqualPrioritiesChangeNothing(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		baseline := &scheduler.Ledger{Clock: c, Without: priorityMechanisms}
		plain, equal := &scheduler.Ledger{Clock: c}, &scheduler.Ledger{Clock: c}
		ledgers := []*scheduler.Ledger{baseline, plain, equal}
		for _, l := range ledgers {
			l.Open(figures())
		}
		for i := range 1500 {
			c.Step(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
			known := fmt.Sprint(i - random.IntN(60))
			action := random.IntN(4)
			for _, l := range ledgers {
				switch action {
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
			want := baseline.Reserve(j, 0)
			must.Eq(t, want, plain.Reserve(j, 0))
			must.Eq(t, want, equal.Reserve(stated, 0))
		}
	}
}

// Guards against batch requests that take the slots of live ones: during a shortage as many slots are kept free
// as live requests are expected, fewer for few than for many.
func TestSlotsAreKeptForTheExpectedDemand(t *testing.T) {
	granted := func(liveJobs int) int {
		l, _ := openLedger()
		sendLiveJobs(l, liveJobs)
		n := 0
		for i := range figures().Slots {
			j := prioritizedJob(i, 2, "")
			v := l.Reserve(j, 0)
			if !v.Granted {
				must.Eq(t, scheduler.KeptForUrgent, v.Kept)
				must.Positive(t, v.Free)
				break
			}
			l.Started(j.ID)
			n++
		}
		must.True(t, l.Reserve(prioritizedJob(5000, 0, ""), 0).Granted, must.Sprint("an urgent request gets a kept slot"))
		return n
	}
	must.Eq(t, figures().Slots, granted(0))
	few, many := granted(10), granted(20)
	must.Between(t, 10, few, figures().Slots-1)
	must.Less(t, few, many)
}

// Guards against slots kept empty where urgent requests all found slots, or where an agent that just started
// has measured no demand.
func TestNothingIsKeptWithoutAShortage(t *testing.T) {
	l, _ := openLedger()
	sendLiveJobs(l, 4)
	fillSlots(t, l, 12, 2, "")

	l, _ = openLedger()
	must.True(t, l.Reserve(prioritizedJob(0, 0, ""), 0).Granted)
	l.Ended("0")
	fillSlots(t, l, figures().Slots, 2, "")
}

// Guards against slots that are kept for urgent requests after these have stopped.
func TestKeptSlotsAreReleasedWithoutDemand(t *testing.T) {
	l, c := openLedger()
	sendLiveJobs(l, 30)
	fillSlots(t, l, 9, 2, "")
	must.Eq(t, scheduler.KeptForUrgent, l.Reserve(prioritizedJob(0, 2, ""), 0).Kept)
	c.Step(500 * time.Millisecond)
	must.True(t, l.Reserve(prioritizedJob(0, 2, ""), 0).Granted)
}

// Guards against a long prompt that delays urgent requests beyond their wait limits: its reading counts against
// the smallest budget that they stated.
func TestLongPromptsDoNotDelayUrgentRequests(t *testing.T) {
	l, _ := openLedger()
	sendLiveJobs(l, 0)
	long := prioritizedJob(0, 2, "")
	long.Prompt, long.Patience = 4000, 300*time.Millisecond
	must.Eq(t, scheduler.KeptForUrgent, l.Reserve(long, 0).Kept)
	must.True(t, l.Reserve(prioritizedJob(1, 2, ""), 0).Granted)
}

// Guards against refusing live requests while batch requests hold all slots, and against a queue at the engine
// behind equally urgent requests.
func TestUrgentRequestQueuesAtFullEngine(t *testing.T) {
	l, _ := openLedger()
	fillSlots(t, l, figures().Slots, 2, "")
	must.False(t, l.Reserve(prioritizedJob(0, 2, ""), 0).Granted)
	v := l.Reserve(prioritizedJob(1, 0, ""), 0)
	must.True(t, v.Granted)
	must.GreaterEq(t, scheduler.SlotTurnaround(figures()), v.Wait)
	must.False(t, l.Reserve(prioritizedJob(2, 0, ""), 0).Granted, must.Sprint("one beyond the batch"))

	for _, e := range []struct {
		holding   int
		waitLimit time.Duration
	}{{0, time.Second}, {2, scheduler.SlotTurnaround(figures()) / 2}} {
		l, _ = openLedger()
		fillSlots(t, l, figures().Slots, e.holding, "")
		j := prioritizedJob(1, 0, "")
		j.Patience = e.waitLimit
		must.False(t, l.Reserve(j, 0).Granted)
	}
}

// Guards against one workspace taking all slots from another with a third of the demand.
func TestWorkspaceWithAThirdOfTheDemandGetsTheLastSlot(t *testing.T) {
	l, _ := openLedger()
	fillSlots(t, l, 1, 0, "other")
	fillSlots(t, l, figures().Slots-1, 2, "large")
	must.False(t, l.Reserve(prioritizedJob(1, 2, "third"), 0).Granted)
	l.Ended("large3000")
	must.Eq(t, scheduler.KeptForWorkspaces, l.Reserve(prioritizedJob(2, 2, "large"), 0).Kept)
	must.True(t, l.Reserve(prioritizedJob(1, 2, "third"), 0).Granted)
}

// Guards against a ledger that treats requests without a priority as the most urgent, or keeps no slots from
// them. Entries with an older route table send no priority, or another one, for requests to which others give
// one.
func TestEntriesWithDifferentRouteTables(t *testing.T) {
	l, _ := openLedger()
	sendLiveJobs(l, 20)
	fillSlots(t, l, 8, 4, "")
	unstated := prioritizedJob(0, 0, "")
	unstated.Priority = nil
	granted := 0
	for ; l.Reserve(unstated, 0).Granted; granted++ {
		l.Started(unstated.ID)
		unstated.ID += "0"
	}
	must.Between(t, 1, granted, figures().Slots-9)
	must.True(t, l.Reserve(prioritizedJob(1, 0, ""), 0).Granted)
	must.Eq(t, scheduler.KeptForUrgent, l.Reserve(prioritizedJob(2, 4711, ""), 0).Kept, must.Sprint("counts as the least urgent"))
}

// surge sends live and batch requests to several entries, batch at another rate from the fourth second to the
// eleventh.
func (s *fleetSim) surge(live, batch *[]*caller, state bool) {
	come := func(into *[]*caller, priority, perSecond int, from, to time.Duration) {
		for at := from; at < to; at += time.Second / time.Duration(perSecond) {
			s.schedule(at, func() {
				s.lastID++
				c := &caller{arrived: s.clock.Now(), job: scheduler.Job{ID: fmt.Sprint(s.lastID), Prompt: 400 + s.random.IntN(1200),
					Answer: 40 + s.random.IntN(100), Left: 6 * time.Second}}
				if state {
					c.job.Priority = &priority
				}
				*into = append(*into, c)
				s.try(c)
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

// Guards against live requests that fare worse than a surge of batch requests beside them, and against slots
// left empty meanwhile.
func TestBatchSurgeAgainstLiveTraffic(t *testing.T) {
	share := map[bool][2]float64{}
	for _, state := range []bool{false, true} {
		s := newFleetSim(12)
		var live, batch []*caller
		s.surge(&live, &batch, state)
		s.run()
		share[state] = [2]float64{inTimeShare(live), inTimeShare(batch)}
		t.Logf("priorities stated %v: live %.3f, batch %.3f in time, %d of all", state, share[state][0], share[state][1], s.inTime)
	}
	must.Greater(t, share[false][0]+0.05, share[true][0])
	must.Greater(t, 0.97, share[true][0])
	must.Greater(t, 0.4, share[true][1])
}
