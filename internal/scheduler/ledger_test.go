package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// figures are those of an engine that reads 20 prompt tokens per millisecond.
func figures() *matcher.Engine {
	return &matcher.Engine{
		Slots: 16, Stride: 5, Chunk: 2048, Step: 9 * time.Millisecond,
		PerRequest: 20 * time.Microsecond, PerThousand: 30 * time.Microsecond,
		ReadPerSecond: 20_000, PerMillionPairs: time.Millisecond,
		UsualPrompt: 1000, UsualAnswer: 90, Load: 300 * time.Millisecond,
	}
}

func openLedger() (*scheduler.Ledger, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	l := &scheduler.Ledger{Clock: c}
	l.Open(figures())
	return l, c
}

func job(id int, waitLimit time.Duration) scheduler.Job {
	return scheduler.Job{ID: fmt.Sprint(id), Prompt: 1000, Answer: 90, Patience: waitLimit, Left: 6 * time.Second}
}

// Guards against an unbounded burst: nine entries see an idle engine and send at once. Prompts are read one
// after the other, so without a common count the last of 20 callers would wait for over a second.
func TestBurstIsBoundedByWaitLimit(t *testing.T) {
	l, _ := openLedger()
	granted := 0
	for i := range 20 {
		v := l.Reserve(job(i, 150*time.Millisecond), i%9)
		if v.Granted {
			granted++
			must.LessEq(t, 150*time.Millisecond, v.Wait)
			continue
		}
		must.Positive(t, v.Free, must.Sprint("a refusal states when to retry"))
	}
	must.Between(t, 2, granted, 5)
}

// Guards against a fixed bound: a request with a longer wait limit may still wait behind the same burst.
func TestWaitLimitDecides(t *testing.T) {
	l, _ := openLedger()
	for i := range 20 {
		l.Reserve(job(i, 50*time.Millisecond), 0)
	}
	must.False(t, l.Reserve(job(100, 10*time.Millisecond), 0).Granted)
	must.True(t, l.Reserve(job(101, 400*time.Millisecond), 0).Granted)
}

// Guards against overestimated reading times that accumulate until an idle engine looks busy for good.
func TestFirstEventsCorrectReadEstimate(t *testing.T) {
	l, _ := openLedger()
	for i := range 4 {
		l.Reserve(job(i, time.Second), 0)
	}
	must.Positive(t, l.Reserve(job(9, 0), 0).Wait)
	for i := range 4 {
		l.Started(fmt.Sprint(i))
	}
	must.True(t, l.Reserve(job(10, 0), 0).Granted)
}

// Guards against losing the slots of a killed entry, whose requests' ends are never reported: the engine would
// in the end accept nothing. The slots are free once the engine no longer runs the requests.
func TestSlotsOfLostEntriesAreFreed(t *testing.T) {
	l, c := openLedger()
	for i := range 16 {
		l.Reserve(job(i, time.Hour), "killed")
		l.Started(fmt.Sprint(i))
	}
	must.False(t, l.Reserve(job(20, time.Hour), "other").Granted)
	l.ConnectionLost("killed")
	l.Observe(15, 1)
	must.True(t, l.Reserve(job(21, time.Hour), "other").Granted)
	must.False(t, l.Reserve(job(22, time.Hour), "other").Granted)
	l.Ended("21")
	l.Observe(0, 1)

	for i := range 16 {
		l.Reserve(job(100+i, time.Hour), "silent")
		l.Started(fmt.Sprint(100 + i))
	}
	c.Step(7 * time.Second)
	must.True(t, l.Reserve(job(200, time.Hour), "other").Granted)
}

// Guards against an agent that restarts beside a busy engine, counts from zero and grants all slots a second
// time.
func TestUnreservedRequestsTakeSlots(t *testing.T) {
	l, _ := openLedger()
	l.Observe(16, 1)
	must.False(t, l.Reserve(job(1, time.Hour), 0).Granted)
	l.Observe(15, 1)
	must.True(t, l.Reserve(job(2, time.Hour), 0).Granted)
}

// Guards against an engine that idles for seconds before a load. New weights are loaded only once all requests
// have ended, so long ones must not be granted just before; all engines load in turn.
func TestLongRequestsAreRefusedBeforeLoad(t *testing.T) {
	l, c := openLedger()
	l.OpenUntil(c.Now().Add(time.Second))
	long := scheduler.Job{ID: "long", Prompt: 1000, Answer: 250, Patience: time.Second, Left: 6 * time.Second}
	short := scheduler.Job{ID: "short", Prompt: 300, Answer: 30, Patience: time.Second, Left: 6 * time.Second}
	must.False(t, l.Reserve(long, 0).Granted)
	must.True(t, l.Reserve(short, 0).Granted)
	l.OpenUntil(time.Time{})
	must.True(t, l.Reserve(long, 0).Granted)
}

// Guards against a full load at the cold engines of a returned failure domain: they can take a few requests per
// second and crash under more, which small prompts would exceed by far.
func TestColdEngineIsRateLimited(t *testing.T) {
	l, c := openLedger()
	l.SetColdLimit(5, c.Now().Add(10*time.Second))
	must.False(t, l.Reserve(scheduler.Job{ID: "early", Prompt: 10, Answer: 1, Patience: time.Hour, Left: time.Second}, 0).Granted)
	c.Step(time.Second)
	granted := 0
	for i := range 200 {
		id := fmt.Sprint(i)
		v := l.Reserve(scheduler.Job{ID: id, Prompt: 10, Answer: 1, Patience: time.Hour, Left: time.Second}, 0)
		if v.Granted {
			granted++
		}
		l.Ended(id)
		c.Step(10 * time.Millisecond)
	}
	must.Eq(t, 10, granted, must.Sprint("five in each of two seconds"))
	c.Step(10 * time.Second)
	for i := range 12 {
		must.True(t, l.Reserve(scheduler.Job{ID: fmt.Sprint(1000 + i), Prompt: 10, Patience: time.Hour, Left: time.Second}, 0).Granted)
	}
}

// Guards against two slots for one request whose first reply was lost and that asks again.
func TestRepeatedReservationTakesOneSlot(t *testing.T) {
	l, _ := openLedger()
	first := l.Reserve(job(1, time.Second), 0)
	second := l.Reserve(job(1, time.Second), 0)
	must.True(t, second.Granted)
	must.Eq(t, first.Active, second.Active)
}

// Guards against granting the slots of running requests again when the connection over which they were reserved
// ends.
func TestSlotsOutliveTheirConnection(t *testing.T) {
	l, _ := openLedger()
	for i := range 16 {
		must.True(t, l.Reserve(job(i, time.Hour), "cut").Granted)
		l.Started(fmt.Sprint(i))
	}
	l.ConnectionLost("cut")
	must.False(t, l.Reserve(job(20, time.Hour), "other").Granted)
	l.Observe(16, 1)
	must.False(t, l.Reserve(job(21, time.Hour), "other").Granted)
	// The entry reports its requests over another connection.
	l.Ended("3")
	must.True(t, l.Reserve(job(22, time.Hour), "other").Granted)
}

// Guards against more requests than an engine has slots, and against an idle engine that accepts none, for any
// sequence of reservations, reports and lost connections.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, c := openLedger()
		// running is what the engine runs; stale reports that some of it ended without a report.
		running, stale := map[string]int{}, false
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				j := job(next, time.Duration(rapid.IntRange(0, 2000).Draw(t, "patience"))*time.Millisecond)
				owner := rapid.IntRange(0, 3).Draw(t, "owner")
				next++
				v := l.Reserve(j, owner)
				if len(running) == 0 && !stale && !v.Granted {
					t.Fatalf("idle engine refuses: %+v", v)
				}
				if v.Granted {
					running[j.ID] = owner
				}
				if len(running) > figures().Slots {
					t.Fatalf("%d requests hold slots", len(running))
				}
			},
			"observe": func(*rapid.T) {
				l.Observe(len(running), 1)
				stale = false
			},
			"start": func(t *rapid.T) {
				for id := range running {
					l.Started(id)
				}
			},
			"end": func(t *rapid.T) {
				for id := range running {
					l.Ended(id)
					delete(running, id)
					break
				}
			},
			"lose": func(t *rapid.T) {
				owner := rapid.IntRange(0, 3).Draw(t, "owner")
				killed := rapid.Bool().Draw(t, "killed")
				l.ConnectionLost(owner)
				for id, o := range running {
					if o == owner && killed {
						delete(running, id)
						stale = true
					}
				}
			},
			"wait": func(t *rapid.T) {
				c.Step(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				// All callers of the model wait six seconds, so none is overdue here.
				for id := range running {
					l.Ended(id)
					delete(running, id)
				}
			},
		})
	})
}

func newChooser() (*scheduler.Chooser, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	return &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 2))}, c
}

var threeCandidates = []scheduler.Candidate{
	{ID: "near", Distance: scheduler.SameDomain, Slots: 16},
	{ID: "busy", Distance: scheduler.SameDomain, Slots: 16},
	{ID: "far", Distance: scheduler.OtherRegion, Slots: 16},
}

// Guards against requests that cross regions needlessly: they take the narrow link's capacity from weights and
// other replies.
func TestNearEnginesRankFirst(t *testing.T) {
	c, _ := newChooser()
	c.RecordLoad("busy", 200*time.Millisecond, 1)
	for range 50 {
		got := c.Order(threeCandidates)
		must.Eq(t, []string{"near", "far", "busy"}, []string{got[0].ID, got[1].ID, got[2].ID})
	}
}

// Guards against ranking added engines without weights first: no load of theirs is known, and six of them would
// refuse in turn until the caller's time is up, although others had free slots.
func TestEmptyEnginesRankLast(t *testing.T) {
	c, _ := newChooser()
	c.RecordLoad("busy", 100*time.Millisecond, 0.5)
	added := []scheduler.Candidate{{ID: "new", Distance: scheduler.SameDomain, Slots: 16, Empty: true}, threeCandidates[1]}
	must.Eq(t, "busy", c.Order(added)[0].ID)
}

// Guards against using a recorded load unchanged: an engine that was busy once would never be asked again.
func TestRecordedLoadDecays(t *testing.T) {
	c, now := newChooser()
	c.RecordLoad("near", 300*time.Millisecond, 0)
	must.Eq(t, "busy", c.Order(threeCandidates)[0].ID)
	now.Step(time.Second)
	first := map[string]int{}
	for range 200 {
		first[c.Order(threeCandidates)[0].ID]++
	}
	must.Greater(t, 50, first["near"])
}

// Guards against trying an unresponsive upstream with each request, and against not using it once the avoidance
// has ended.
func TestDeadUpstreamsRankLast(t *testing.T) {
	c, now := newChooser()
	c.RecordFailure("near", true)
	must.True(t, c.Avoided("near"))
	must.Eq(t, "near", c.Order(threeCandidates)[2].ID)
	now.Step(time.Second)
	must.False(t, c.Avoided("near"))
	c.RecordSuccess("near")
	c.RecordLoad("busy", time.Second, 1)
	must.Eq(t, "near", c.Order(threeCandidates[:2])[0].ID)
}

// Guards against using an upstream that answers its health checks but fails part of its requests.
func TestPartlyFailingUpstreamsRankLower(t *testing.T) {
	c, _ := newChooser()
	for range 10 {
		c.RecordFailure("near", false)
	}
	must.Eq(t, "busy", c.Order(threeCandidates)[0].ID)
}

// Compares the model of reading and generation with measured times: a lone prompt of 1,000 tokens is read in
// 50.5 ms, and a pass of five steps with sixteen streams takes 49 ms.
func TestTimeModelMatchesMeasurements(t *testing.T) {
	must.Eq(t, 50500*time.Microsecond, scheduler.ReadTime(figures(), 1000))
	pass := scheduler.PassTime(figures(), 16)
	must.Between(t, 46*time.Millisecond, pass, 52*time.Millisecond)
}

// Guards against refusing callers although their engine's agent can state when it opens.
func TestClosedEngineStatesWhenItOpens(t *testing.T) {
	l, c := openLedger()
	l.CloseUntil("no weights", c.Now().Add(300*time.Millisecond))
	c.Step(100 * time.Millisecond)
	v := l.Reserve(scheduler.Job{ID: "r", Prompt: 1, Patience: time.Second, Left: time.Second}, nil)
	must.Eq(t, 200*time.Millisecond, v.Free)
	l.Close("no weights")
	must.Eq(t, 0, l.Reserve(scheduler.Job{ID: "r", Prompt: 1, Patience: time.Second, Left: time.Second}, nil).Free)
}
