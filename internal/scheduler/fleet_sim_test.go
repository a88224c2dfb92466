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

// Times of the simulated entries, those of package relayer.
const (
	retryInterval    = 20 * time.Millisecond
	firstAttemptWait = 50 * time.Millisecond
	fullBackoff      = 25 * time.Millisecond
	spareBackoff     = 150 * time.Millisecond
	closedBackoff    = 100 * time.Millisecond
)

// fleetSim simulates several entries and engines in virtual time. An entry's state of an engine is what its own
// last request there returned.
type fleetSim struct {
	*overloadSim
	entries    []*scheduler.Chooser
	candidates []scheduler.Candidate
	// hastyShare is the share of callers that retry at once, up to three times.
	hastyShare float64
	// lateWait is how long retries wait for a slot.
	lateWait time.Duration
	// slotTime is the total time that slots were held.
	slotTime time.Duration
}

// caller is one request with all its attempts.
type caller struct {
	job      scheduler.Job
	arrived  time.Time
	attempts int
	hasty    bool
	inTime   bool
}

func newFleetSim(engines int) *fleetSim {
	base := &overloadSim{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(7, 7))}
	s := &fleetSim{overloadSim: base}
	for i := range engines {
		l := &scheduler.Ledger{Clock: base.clock}
		l.Open(figures())
		base.engines = append(base.engines, l)
		s.candidates = append(s.candidates, scheduler.Candidate{ID: fmt.Sprint(i), Slots: figures().Slots})
	}
	for i := range uint64(9) {
		s.entries = append(s.entries, &scheduler.Chooser{Clock: base.clock, Random: rand.New(rand.NewPCG(i, 1))})
	}
	return s
}

// addLoad schedules callers at a steady rate for a time.
func (s *fleetSim) addLoad(perSecond int, d time.Duration) {
	for i := range int(d.Seconds()) * perSecond {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		s.schedule(at, func() {
			s.lastID++
			c := &caller{arrived: s.clock.Now(), hasty: s.random.Float64() < s.hastyShare, job: scheduler.Job{
				ID: fmt.Sprint(s.lastID), Prompt: 400 + s.random.IntN(1200), Answer: 40 + s.random.IntN(100), Left: 6 * time.Second}}
			s.try(c)
		})
	}
}

// closeEngines closes engines for a time.
func (s *fleetSim) closeEngines(engines int, from, d time.Duration) {
	for _, l := range s.engines[:engines] {
		s.schedule(from, func() { l.Close("no weights") })
		s.schedule(from+d, func() { l.Open(figures()) })
	}
}

func (s *fleetSim) run() {
	for s.events.Len() > 0 {
		ev := heap.Pop(&s.events).(event)
		s.clock.SetTime(ev.at)
		ev.action()
	}
}

// try is one attempt of a caller at some entry.
func (s *fleetSim) try(c *caller) {
	c.attempts++
	s.findSlot(c, s.entries[s.random.IntN(len(s.entries))], s.clock.Now())
}

// findSlot asks for a slot, and again until the entry refuses.
func (s *fleetSim) findSlot(c *caller, e *scheduler.Chooser, since time.Time) {
	c.job.Spare, c.job.Patience = c.attempts > 1, 160*time.Millisecond
	waitLimit := firstAttemptWait
	if c.job.Spare {
		c.job.Patience, waitLimit = 40*time.Millisecond, s.lateWait
	}
	for _, k := range e.Order(s.candidates) {
		if e.FullFor(k.ID, c.job.Spare) == 0 && s.reserve(c, e, k.ID) {
			return
		}
	}
	switch {
	case s.clock.Since(since)+retryInterval <= waitLimit:
		s.schedule(retryInterval, func() { s.findSlot(c, e, since) })
	case c.hasty && c.attempts < 4:
		s.schedule(10*time.Millisecond, func() { s.try(c) })
	case !c.hasty && c.attempts < 2:
		s.schedule(time.Second+time.Duration(s.random.Int64N(int64(time.Second))), func() { s.try(c) })
	default:
		s.lost++
	}
}

// reserve asks one engine's ledger.
func (s *fleetSim) reserve(c *caller, e *scheduler.Chooser, id string) bool {
	var i int
	_, err := fmt.Sscan(id, &i)
	if err != nil {
		panic(err)
	}
	l := s.engines[i]
	v := l.Reserve(c.job, nil)
	c.job.Asked++
	if !v.Granted {
		c.job.Refusals++
	}
	switch {
	case v.Closed != "":
		e.RecordFull(id, false, closedBackoff)
		return false
	case !v.Granted && c.job.Spare:
		e.RecordLoad(id, v.Wait, float64(v.Active)/float64(v.Slots))
		e.RecordFull(id, true, min(v.Free, spareBackoff))
		return false
	case !v.Granted:
		e.RecordLoad(id, v.Wait, float64(v.Active)/float64(v.Slots))
		e.RecordFull(id, false, min(v.Free, fullBackoff))
		return false
	}
	e.RecordLoad(id, v.Wait, float64(v.Active)/float64(v.Slots))
	e.Begin(id)
	first := v.Wait + scheduler.ReadTime(figures(), c.job.Prompt) + 130*time.Millisecond
	whole := first + time.Duration(c.job.Answer)*scheduler.StepTime(figures(), v.Active)*3/2
	s.slotTime += whole
	s.schedule(first, func() { l.Started(c.job.ID) })
	s.schedule(whole, func() {
		l.Ended(c.job.ID)
		e.End(id)
	})
	if s.clock.Now().Add(first).Sub(c.arrived) <= 500*time.Millisecond {
		s.inTime++
		c.inTime = true
	} else {
		s.late++
	}
	return true
}

// Guards against idle slots in an overload that lasts a minute. Callers are refused, retry as advised and are
// refused again; entries can't help as long as all slots are taken, so the engines' capacity bounds what is
// served.
func TestLastingOverloadFillsAllSlots(t *testing.T) {
	for _, hastyShare := range []float64{0, 0.3} {
		s := newFleetSim(12)
		s.hastyShare = hastyShare
		s.addLoad(160, time.Minute)
		s.run()
		span := s.clock.Since(time.Unix(1000, 0))
		taken := s.slotTime.Seconds() / (span.Seconds() * float64(12*figures().Slots))
		t.Logf("share %v of hasty callers: %d in time, %d late, %d lost, slots taken %.3f of the time", hastyShare, s.inTime, s.late, s.lost, taken)
		must.Greater(t, 0.9, taken)
		must.Greater(t, 9*s.late, s.inTime)
	}
}

// Guards against losing callers that were refused while half of the engines had no weights for four seconds:
// most of them find a slot on their retry.
func TestReopenedEnginesServeRefusedCallers(t *testing.T) {
	for _, lateWait := range []time.Duration{0, 800 * time.Millisecond} {
		s := newFleetSim(12)
		s.lateWait = lateWait
		s.closeEngines(6, 10*time.Second, 4*time.Second)
		s.addLoad(90, 30*time.Second)
		s.run()
		t.Logf("late requests wait %v: %d in time, %d late, %d lost", lateWait, s.inTime, s.late, s.lost)
		must.Less(t, 30*90/30, s.lost)
	}
}
