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

// event is an action at a point in virtual time.
type event struct {
	at     time.Time
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// overloadSim simulates a load on a few engines in virtual time: callers arrive at a steady rate, and refused
// ones retry once after one to two seconds, when they are late.
type overloadSim struct {
	clock   *clocktest.FakeClock
	events  eventQueue
	random  *rand.Rand
	engines []*scheduler.Ledger
	// spare gives retries only spare slots.
	spare bool
	// inTime, late and lost count requests by outcome.
	inTime, late, lost int
	lastID             int
}

func (s *overloadSim) schedule(d time.Duration, action func()) {
	heap.Push(&s.events, event{s.clock.Now().Add(d), action})
}

// arrive asks the engines in a random order.
func (s *overloadSim) arrive(retry bool) {
	s.lastID++
	j := scheduler.Job{ID: fmt.Sprint(s.lastID), Prompt: 400 + s.random.IntN(1200), Answer: 40 + s.random.IntN(100),
		Patience: 160 * time.Millisecond, Left: 6 * time.Second, Spare: retry && s.spare}
	for _, i := range s.random.Perm(len(s.engines)) {
		l := s.engines[i]
		v := l.Reserve(j, nil)
		if !v.Granted {
			continue
		}
		first := v.Wait + scheduler.ReadTime(figures(), j.Prompt) + 130*time.Millisecond
		whole := first + time.Duration(j.Answer)*scheduler.StepTime(figures(), v.Active)*3/2
		s.schedule(first, func() { l.Started(j.ID) })
		s.schedule(whole, func() { l.Ended(j.ID) })
		if retry {
			s.late++
		} else {
			s.inTime++
		}
		return
	}
	if retry {
		s.lost++
		return
	}
	s.schedule(time.Second+time.Duration(s.random.Int64N(int64(time.Second))), func() { s.arrive(true) })
}

// simulate runs the load for a minute.
func simulate(spare bool, perSecond int) *overloadSim {
	s := &overloadSim{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(7, 7)), spare: spare}
	for range 4 {
		l := &scheduler.Ledger{Clock: s.clock}
		l.Open(figures())
		s.engines = append(s.engines, l)
	}
	for i := range 60 * perSecond {
		s.schedule(time.Duration(i)*time.Second/time.Duration(perSecond), func() { s.arrive(false) })
	}
	for s.events.Len() > 0 {
		ev := heap.Pop(&s.events).(event)
		s.clock.SetTime(ev.at)
		ev.action()
	}
	return s
}

// Guards against retries that displace first attempts. The engines get half as much again as they can take.
// Retries are late in any case; if they took slots like all others, first attempts would be refused instead and
// be late in turn.
func TestOverloadServesFirstAttempts(t *testing.T) {
	alike, spare := simulate(false, 60), simulate(true, 60)
	t.Logf("equal treatment: %d in time, %d late, %d lost", alike.inTime, alike.late, alike.lost)
	t.Logf("retries get spare slots only: %d in time, %d late, %d lost", spare.inTime, spare.late, spare.lost)
	must.Greater(t, alike.inTime*11/10, spare.inTime)
}

// Guards against refusing retries below the engines' capacity, while there are slots to spare.
func TestRetriesAreServedWithFreeSlots(t *testing.T) {
	s := simulate(true, 24)
	must.Less(t, 60*24/100, s.lost, must.Sprint("one in a hundred at most"))
}
