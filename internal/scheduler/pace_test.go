package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// sizedJob is a job with an expected answer length.
func sizedJob(id string, expected int, left time.Duration) scheduler.Job {
	return scheduler.Job{ID: id, Prompt: 800, Answer: expected, Expected: expected, Patience: time.Second, Left: left}
}

// Guards against predictions that ignore an engine's momentary slowdown, or rely on it for longer than it
// lasts.
func TestMomentaryPaceExpires(t *testing.T) {
	takes := func(age time.Duration) time.Duration {
		l, _ := openLedger()
		l.RecordPace(2.5, age)
		return l.Reserve(sizedJob("a", 100, time.Minute), 0).Takes
	}
	usual := takes(scheduler.PaceValidity)
	must.Greater(t, usual+300*time.Millisecond, takes(0))
	must.LessEq(t, usual+scheduler.PaceValidity, takes(0))
	must.Less(t, takes(0), takes(scheduler.PaceValidity/2))
	// One figure is valid for no longer than PaceValidity, however wrong it is.
	l, _ := openLedger()
	l.RecordPace(100, 0)
	must.LessEq(t, usual+scheduler.PaceValidity, l.Reserve(sizedJob("a", 100, time.Minute), 0).Takes)
}

// Guards against an older figure that replaces a newer one, as messages of several entries arrive out of order.
func TestNewestPaceCounts(t *testing.T) {
	l, c := openLedger()
	l.RecordPace(1, 0)
	l.RecordPace(2.5, 100*time.Millisecond)
	usual := l.Reserve(sizedJob("a", 100, time.Minute), 0).Takes
	c.Step(time.Millisecond)
	l.RecordPace(2.5, 0)
	must.Greater(t, usual, l.Reserve(sizedJob("a", 100, time.Minute), 0).Takes)
}

// Guards against starting streams at a permanently slow engine that can't end there before their callers leave,
// and against refusing others for that.
func TestLongAnswersAreRefusedAtSlowEngine(t *testing.T) {
	l, _ := openLedger()
	whole := l.Reserve(sizedJob("a", 400, time.Hour), 0).Takes
	l.Reset()
	l.Observe(0, 2.5)
	slow := l.Reserve(sizedJob("a", 400, time.Hour), 0)
	must.Eq(t, 2.5, slow.Pace)
	l.Reset()
	v := l.Reserve(sizedJob("a", 400, whole), 0)
	must.False(t, v.Granted)
	must.True(t, v.EndsLate)
	must.True(t, l.Reserve(sizedJob("short", 100, whole), 0).Granted)
	// Six tenths of the answer fit.
	must.True(t, l.Reserve(sizedJob("long", 400, slow.Takes*3/4), 0).Granted)
	unknown := sizedJob("unknown", 400, whole)
	unknown.Expected = 0
	must.True(t, l.Reserve(unknown, 0).Granted)
}

// Guards against giving the last slots of an engine to streams that mostly can't end in time.
func TestLastSlotsGoToStreamsThatEndInTime(t *testing.T) {
	l, _ := openLedger()
	tight := l.Reserve(sizedJob("first", 400, time.Hour), 0).Takes * 3 / 4
	for i := 0; ; i++ {
		v := l.Reserve(sizedJob(fmt.Sprint(i), 400, tight), 0)
		if !v.Granted {
			must.True(t, v.EndsLate)
			must.Between(t, v.Slots/2, v.Active, v.Slots-1)
			break
		}
	}
	must.True(t, l.Reserve(sizedJob("other", 100, tight), 0).Granted)
}

// Guards against a prompt that makes the streams of a slow engine pause for too long, and against refusing the
// longest prompts, whose reading takes that long at any engine, everywhere.
func TestPauseLimitAtUnevenPace(t *testing.T) {
	reserve := func(pace float64, prompt int) scheduler.Decision {
		l, _ := openLedger()
		if pace > 0 {
			l.RecordPace(pace, 0)
		}
		l.Reserve(sizedJob("writes", 100, time.Minute), 0)
		l.Started("writes")
		long := sizedJob("long", 100, time.Minute)
		long.Prompt, long.Pause = prompt, 400*time.Millisecond
		return l.Reserve(long, 0)
	}
	for _, prompt := range []int{2000, 6000} {
		must.True(t, reserve(0, prompt).Granted)
		must.True(t, reserve(1, prompt).Granted)
		v := reserve(2.5, prompt)
		must.False(t, v.Granted)
		must.Positive(t, v.Free)
	}
}

// usualWork is that of a request of usual size.
var usualWork = scheduler.Work{First: 100 * time.Millisecond, Whole: 1500 * time.Millisecond, Left: 6 * time.Second}

// firstChoice is the engine that an entry asks first, of a slow and a normal one.
func firstChoice(c *scheduler.Chooser, w scheduler.Work) string {
	candidates := []scheduler.Candidate{{ID: "slow", Slots: 12}, {ID: "normal", Slots: 12}}
	i, _ := c.RankFor(candidates, w).Next()
	return candidates[i].ID
}

// Guards against ranking idle slow engines before normal ones with free slots.
func TestIdleSlowEngineRanksBehindNormalOnes(t *testing.T) {
	c, _ := newChooser()
	c.RecordLoad("normal", 0, 0.9)
	must.Eq(t, "slow", firstChoice(c, usualWork))
	c.RecordReportedPace("slow", 2.5, scheduler.MomentaryPace{})
	must.Eq(t, "normal", firstChoice(c, usualWork))
	c.RecordLoad("normal", 100*time.Millisecond, 1)
	must.Eq(t, "slow", firstChoice(c, usualWork))
	tight := usualWork
	tight.Left = 3 * time.Second
	must.Eq(t, "normal", firstChoice(c, tight), must.Sprint("an answer that ends too late at the slow one"))
}

// Guards against one wrong figure that attracts requests to an upstream or keeps them away for long.
func TestWrongPaceDecays(t *testing.T) {
	c, clock := newChooser()
	c.RecordLoad("normal", 0, 0.5)
	c.RecordPace("slow", 100)
	must.Eq(t, "normal", firstChoice(c, usualWork))
	clock.Step(scheduler.PaceValidity)
	must.Eq(t, "slow", firstChoice(c, usualWork))
	c.RecordLoad("slow", 0, 0.9)
	c.RecordPace("slow", 0.01)
	must.Eq(t, "normal", firstChoice(c, usualWork))
}
