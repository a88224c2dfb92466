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

// figures are those of an engine that reads 20 prompt tokens a millisecond.
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

func job(id int, patience time.Duration) scheduler.Job {
	return scheduler.Job{ID: fmt.Sprint(id), Prompt: 1000, Answer: 90, Patience: patience, Left: 6 * time.Second}
}

// Nine entries see an idle engine and send a burst there at the same moment. Its
// prompts are read one after the other, and without a common count the last caller
// would wait for all the others' reading: here 20 prompts, over a second.
func TestBurstOfEntriesIsBounded(t *testing.T) {
	l, _ := openLedger()
	granted := 0
	for i := range 20 {
		v := l.Reserve(job(i, 150*time.Millisecond), i%9)
		if v.Granted {
			granted++
			must.LessEq(t, 150*time.Millisecond, v.Wait)
			continue
		}
		must.Positive(t, v.Free, must.Sprint("who is refused is told when to come back"))
	}
	must.Between(t, 2, granted, 5)
}

// A patient request behind the same burst may still wait, as its objective allows.
func TestPatienceDecides(t *testing.T) {
	l, _ := openLedger()
	for i := range 20 {
		l.Reserve(job(i, 50*time.Millisecond), 0)
	}
	must.False(t, l.Reserve(job(100, 10*time.Millisecond), 0).Granted)
	must.True(t, l.Reserve(job(101, 400*time.Millisecond), 0).Granted)
}

// Estimates of reading are too high at times. If they only ever added up, an idle
// engine would look busy for good.
func TestFirstEventsCorrectTheEstimate(t *testing.T) {
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

// An entry is killed with requests under way, and nobody tells their end. Their places
// would be lost for good: after a while the engine would take nothing. They come back once the
// engine no longer runs them.
func TestPlacesOfLostEntriesComeBack(t *testing.T) {
	l, c := openLedger()
	for i := range 16 {
		l.Reserve(job(i, time.Hour), "killed")
		l.Started(fmt.Sprint(i))
	}
	must.False(t, l.Reserve(job(20, time.Hour), "other").Granted)
	l.Lost("killed")
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

// An agent restarts beside a busy engine and knows of no request. Counting from zero it
// would grant all places a second time.
func TestEngineCountsWhatTheLedgerDoesNotKnow(t *testing.T) {
	l, _ := openLedger()
	l.Observe(16, 1)
	must.False(t, l.Reserve(job(1, time.Hour), 0).Granted)
	l.Observe(15, 1)
	must.True(t, l.Reserve(job(2, time.Hour), 0).Granted)
}

// New weights are loaded only once all requests have ended. With a long one let in
// just before, the engine would stand idle for seconds, and all engines do so in turn.
func TestLongRequestsStayOutBeforeASwitch(t *testing.T) {
	l, c := openLedger()
	l.OpenUntil(c.Now().Add(time.Second))
	long := scheduler.Job{ID: "long", Prompt: 1000, Answer: 250, Patience: time.Second, Left: 6 * time.Second}
	short := scheduler.Job{ID: "short", Prompt: 300, Answer: 30, Patience: time.Second, Left: 6 * time.Second}
	must.False(t, l.Reserve(long, 0).Granted)
	must.True(t, l.Reserve(short, 0).Granted)
	l.OpenUntil(time.Time{})
	must.True(t, l.Reserve(long, 0).Granted)
}

// A failure domain returns with cold engines. They bear a few requests a second and
// fall over under more; small prompts would let in far more than that.
func TestColdEngineGetsNoMoreThanItBears(t *testing.T) {
	l, c := openLedger()
	l.Cold(5, c.Now().Add(10*time.Second))
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

// The answer to a question was lost and the entry asks again; two places must not be
// taken for one request.
func TestAskingTwiceTakesOnePlace(t *testing.T) {
	l, _ := openLedger()
	first := l.Reserve(job(1, time.Second), 0)
	second := l.Reserve(job(1, time.Second), 0)
	must.True(t, second.Granted)
	must.Eq(t, first.Active, second.Active)
}

// Guards against slots of running requests that are granted again when the connection over which
// they were reserved ends.
func TestSlotsOutliveTheirConnection(t *testing.T) {
	l, _ := openLedger()
	for i := range 16 {
		must.True(t, l.Reserve(job(i, time.Hour), "cut").Granted)
		l.Started(fmt.Sprint(i))
	}
	l.Lost("cut")
	must.False(t, l.Reserve(job(20, time.Hour), "other").Granted)
	l.Observe(16, 1)
	must.False(t, l.Reserve(job(21, time.Hour), "other").Granted)
	// The entry reports its requests over another connection.
	l.Ended("3")
	must.True(t, l.Reserve(job(22, time.Hour), "other").Granted)
}

// Guards against more requests at an engine than it runs, and against an idle engine that takes
// none, whatever entries ask, report and lose.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, c := openLedger()
		// running is what the engine runs; stale that the ledger can't know some of it ended.
		running, stale := map[string]int{}, false
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				j := job(next, time.Duration(rapid.IntRange(0, 2000).Draw(t, "patience"))*time.Millisecond)
				owner := rapid.IntRange(0, 3).Draw(t, "owner")
				next++
				v := l.Reserve(j, owner)
				if len(running) == 0 && !stale && !v.Granted {
					t.Fatalf("an empty engine refuses: %+v", v)
				}
				if v.Granted {
					running[j.ID] = owner
				}
				if len(running) > figures().Slots {
					t.Fatalf("%d requests hold places", len(running))
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
				l.Lost(owner)
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

var three = []scheduler.Candidate{
	{ID: "near", Distance: scheduler.SameDomain, Slots: 16},
	{ID: "busy", Distance: scheduler.SameDomain, Slots: 16},
	{ID: "far", Distance: scheduler.OtherRegion, Slots: 16},
}

// Requests that cross a region for no reason take the narrow link from weights and
// other replies.
func TestNearEnginesComeFirst(t *testing.T) {
	c, _ := newChooser()
	c.Heard("busy", 200*time.Millisecond, 1)
	for range 50 {
		got := c.Order(three)
		must.Eq(t, []string{"near", "far", "busy"}, []string{got[0].ID, got[1].ID, got[2].ID})
	}
}

// Six empty engines are added at once. Nothing was heard of them yet, so each looks
// better than those that serve; asked first, they refuse one after the other until the
// caller has waited long enough and is refused, though others had room.
func TestEmptyEnginesComeLast(t *testing.T) {
	c, _ := newChooser()
	c.Heard("busy", 100*time.Millisecond, 0.5)
	added := []scheduler.Candidate{{ID: "new", Distance: scheduler.SameDomain, Slots: 16, Empty: true}, three[1]}
	must.Eq(t, "busy", c.Order(added)[0].ID)
}

// What was heard of an engine is old by the next request. If it were taken as it was,
// an engine that was busy once would be left alone for good.
func TestOldLoadFades(t *testing.T) {
	c, now := newChooser()
	c.Heard("near", 300*time.Millisecond, 0)
	must.Eq(t, "busy", c.Order(three)[0].ID)
	now.Step(time.Second)
	first := map[string]int{}
	for range 200 {
		first[c.Order(three)[0].ID]++
	}
	must.Greater(t, 50, first["near"])
}

// An upstream that does not answer would be tried by each request, and each would
// wait for it. It comes last until its time is over, and first again afterwards.
func TestDeadUpstreamsComeLast(t *testing.T) {
	c, now := newChooser()
	c.Failed("near", true)
	must.True(t, c.Avoided("near"))
	must.Eq(t, "near", c.Order(three)[2].ID)
	now.Step(time.Second)
	must.False(t, c.Avoided("near"))
	c.Served("near")
	c.Heard("busy", time.Second, 1)
	must.Eq(t, "near", c.Order(three[:2])[0].ID)
}

// A grey engine answers its checks and fails part of its requests.
func TestGreyUpstreamsAreLeftAlone(t *testing.T) {
	c, _ := newChooser()
	for range 10 {
		c.Failed("near", false)
	}
	must.Eq(t, "busy", c.Order(three)[0].ID)
}

// TestFigures holds the model of reading and writing against times that were seen:
// a lone prompt of 1,000 tokens is read in 50.5 ms, and a pass of five steps with
// sixteen writers takes 49 ms.
func TestFigures(t *testing.T) {
	must.Eq(t, 50500*time.Microsecond, scheduler.ReadTime(figures(), 1000))
	pass := scheduler.PassTime(figures(), 16)
	must.Between(t, 46*time.Millisecond, pass, 52*time.Millisecond)
}

// Guards against callers that are refused although their engine's agent knows when it opens.
func TestClosedEngineStatesWhenItOpens(t *testing.T) {
	l, c := openLedger()
	l.CloseUntil("no weights", c.Now().Add(300*time.Millisecond))
	c.Step(100 * time.Millisecond)
	v := l.Reserve(scheduler.Job{ID: "r", Prompt: 1, Patience: time.Second, Left: time.Second}, nil)
	must.Eq(t, 200*time.Millisecond, v.Free)
	l.Close("no weights")
	must.Eq(t, 0, l.Reserve(scheduler.Job{ID: "r", Prompt: 1, Patience: time.Second, Left: time.Second}, nil).Free)
}
