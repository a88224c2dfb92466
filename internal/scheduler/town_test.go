package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// The entries' times in the replay, those of package relayer.
const (
	askAgain   = 20 * time.Millisecond
	newcomer   = 50 * time.Millisecond
	fullPause  = 25 * time.Millisecond
	sparePause = 150 * time.Millisecond
	shutPause  = 100 * time.Millisecond
)

// town is several entries before engines, in virtual time. Each entry knows of an engine
// only what it heard at its own last question.
type town struct {
	*rush
	entries []*scheduler.Chooser
	names   []scheduler.Candidate
	// ignoring is the share of callers that repeat at once, up to three times.
	ignoring float64
	// held is how long those who come back are kept while a place is looked for.
	held time.Duration
	// placeTime is the time that places were held in all.
	placeTime time.Duration
}

// caller is one request with all its tries.
type caller struct {
	job     scheduler.Job
	arrived time.Time
	tries   int
	hasty   bool
	inTime  bool
}

func newTown(engines int) *town {
	r := &rush{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(7, 7))}
	w := &town{rush: r}
	for i := range engines {
		l := &scheduler.Ledger{Clock: r.clock}
		l.Open(figures())
		r.engines = append(r.engines, l)
		w.names = append(w.names, scheduler.Candidate{ID: fmt.Sprint(i), Slots: figures().Slots})
	}
	for i := range uint64(9) {
		w.entries = append(w.entries, &scheduler.Chooser{Clock: r.clock, Random: rand.New(rand.NewPCG(i, 1))})
	}
	return w
}

// load has callers come at a steady rate for a time.
func (w *town) load(perSecond int, d time.Duration) {
	for i := range int(d.Seconds()) * perSecond {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		w.after(at, func() {
			w.next++
			c := &caller{arrived: w.clock.Now(), hasty: w.random.Float64() < w.ignoring, job: scheduler.Job{
				ID: fmt.Sprint(w.next), Prompt: 400 + w.random.IntN(1200), Answer: 40 + w.random.IntN(100), Left: 6 * time.Second}}
			w.try(c)
		})
	}
}

// shut closes engines for a time.
func (w *town) shut(engines int, from, d time.Duration) {
	for _, l := range w.engines[:engines] {
		w.after(from, func() { l.Close("no weights") })
		w.after(from+d, func() { l.Open(figures()) })
	}
}

func (w *town) run() {
	for w.agenda.Len() > 0 {
		h := heap.Pop(&w.agenda).(happening)
		w.clock.SetTime(h.at)
		h.do()
	}
}

// try is one attempt of a caller at some entry.
func (w *town) try(c *caller) {
	c.tries++
	w.look(c, w.entries[w.random.IntN(len(w.entries))], w.clock.Now())
}

// look asks for a place, and again until the entry refuses.
func (w *town) look(c *caller, e *scheduler.Chooser, began time.Time) {
	c.job.Spare, c.job.Patience = c.tries > 1, 160*time.Millisecond
	keep := newcomer
	if c.job.Spare {
		c.job.Patience, keep = 40*time.Millisecond, w.held
	}
	for _, k := range e.Order(w.names) {
		if e.FullFor(k.ID, c.job.Spare) == 0 && w.ask(c, e, k.ID) {
			return
		}
	}
	switch {
	case w.clock.Since(began)+askAgain <= keep:
		w.after(askAgain, func() { w.look(c, e, began) })
	case c.hasty && c.tries < 4:
		w.after(10*time.Millisecond, func() { w.try(c) })
	case !c.hasty && c.tries < 2:
		w.after(time.Second+time.Duration(w.random.Int64N(int64(time.Second))), func() { w.try(c) })
	default:
		w.lost++
	}
}

// ask asks one engine's ledger.
func (w *town) ask(c *caller, e *scheduler.Chooser, id string) bool {
	var i int
	_, err := fmt.Sscan(id, &i)
	if err != nil {
		panic(err)
	}
	l := w.engines[i]
	v := l.Reserve(c.job, nil)
	c.job.Asked++
	if !v.Granted {
		c.job.Refusals++
	}
	switch {
	case v.Closed != "":
		e.Full(id, false, shutPause)
		return false
	case !v.Granted && c.job.Spare:
		e.Heard(id, v.Wait, float64(v.Active)/float64(v.Slots))
		e.Full(id, true, min(v.Free, sparePause))
		return false
	case !v.Granted:
		e.Heard(id, v.Wait, float64(v.Active)/float64(v.Slots))
		e.Full(id, false, min(v.Free, fullPause))
		return false
	}
	e.Heard(id, v.Wait, float64(v.Active)/float64(v.Slots))
	e.Begin(id)
	first := v.Wait + scheduler.ReadTime(figures(), c.job.Prompt) + 130*time.Millisecond
	whole := first + time.Duration(c.job.Answer)*scheduler.StepTime(figures(), v.Active)*3/2
	w.placeTime += whole
	w.after(first, func() { l.Started(c.job.ID) })
	w.after(whole, func() {
		l.Ended(c.job.ID)
		e.End(id)
	})
	if w.clock.Now().Add(first).Sub(c.arrived) <= 500*time.Millisecond {
		w.inTime++
		c.inTime = true
	} else {
		w.late++
	}
	return true
}

// More comes for a minute than all engines bear. Callers are refused, come back as told and
// are refused once more, and nothing that an entry does would help them as long as the
// places are taken: what is served is what the engines bear.
func TestUnderLastingOverloadThePlacesAreTaken(t *testing.T) {
	for _, ignoring := range []float64{0, 0.3} {
		w := newTown(12)
		w.ignoring = ignoring
		w.load(160, time.Minute)
		w.run()
		span := w.clock.Since(time.Unix(1000, 0))
		taken := w.placeTime.Seconds() / (span.Seconds() * float64(12*figures().Slots))
		t.Logf("%v ignore the time to come back: %d in time, %d late, %d lost, places taken %.3f of the time", ignoring, w.inTime, w.late, w.lost, taken)
		must.Greater(t, 0.9, taken)
		must.Greater(t, 9*w.late, w.inTime)
	}
}

// Half of the engines are without weights for four seconds and then come back. Most of those
// refused meanwhile find a place when they return.
func TestEnginesThatReturnServeThoseRefused(t *testing.T) {
	for _, held := range []time.Duration{0, 800 * time.Millisecond} {
		w := newTown(12)
		w.held = held
		w.shut(6, 10*time.Second, 4*time.Second)
		w.load(90, 30*time.Second)
		w.run()
		t.Logf("returns held %v: %d in time, %d late, %d lost", held, w.inTime, w.late, w.lost)
		must.Less(t, 30*90/30, w.lost)
	}
}
