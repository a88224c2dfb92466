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

// happening is something at a moment of virtual time.
type happening struct {
	at time.Time
	do func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]
	return h
}

// rush is a load on a few engines, in virtual time: callers come at a steady rate, and
// who is refused comes back once after one to two seconds, late by then.
type rush struct {
	clock   *clocktest.FakeClock
	agenda  agenda
	random  *rand.Rand
	engines []*scheduler.Ledger
	// spare has those who come back take only what is to spare.
	spare bool
	// inTime, late and lost count requests by how they ended.
	inTime, late, lost int
	next               int
}

func (r *rush) after(d time.Duration, do func()) {
	heap.Push(&r.agenda, happening{r.clock.Now().Add(d), do})
}

// arrive asks the engines in a random order.
func (r *rush) arrive(returned bool) {
	r.next++
	j := scheduler.Job{ID: fmt.Sprint(r.next), Prompt: 400 + r.random.IntN(1200), Answer: 40 + r.random.IntN(100),
		Patience: 160 * time.Millisecond, Left: 6 * time.Second, Spare: returned && r.spare}
	for _, i := range r.random.Perm(len(r.engines)) {
		l := r.engines[i]
		v := l.Reserve(j, nil)
		if !v.Granted {
			continue
		}
		first := v.Wait + scheduler.ReadTime(figures(), j.Prompt) + 130*time.Millisecond
		whole := first + time.Duration(j.Answer)*scheduler.StepTime(figures(), v.Active)*3/2
		r.after(first, func() { l.Started(j.ID) })
		r.after(whole, func() { l.Ended(j.ID) })
		if returned {
			r.late++
		} else {
			r.inTime++
		}
		return
	}
	if returned {
		r.lost++
		return
	}
	r.after(time.Second+time.Duration(r.random.Int64N(int64(time.Second))), func() { r.arrive(true) })
}

// play runs the load for a minute.
func play(spare bool, perSecond int) *rush {
	r := &rush{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(7, 7)), spare: spare}
	for range 4 {
		l := &scheduler.Ledger{Clock: r.clock}
		l.Open(figures())
		r.engines = append(r.engines, l)
	}
	for i := range 60 * perSecond {
		r.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() { r.arrive(false) })
	}
	for r.agenda.Len() > 0 {
		h := heap.Pop(&r.agenda).(happening)
		r.clock.SetTime(h.at)
		h.do()
	}
	return r
}

// The engines get half as much again as they bear. Callers who were refused come back
// and are late whatever happens; when they take places like all others, those who come
// for the first time are refused in their stead, and are late in turn.
func TestUnderOverloadFirstAttemptsAreServed(t *testing.T) {
	alike, spare := play(false, 60), play(true, 60)
	t.Logf("served alike: %d in time, %d late, %d lost", alike.inTime, alike.late, alike.lost)
	t.Logf("returns take what is to spare: %d in time, %d late, %d lost", spare.inTime, spare.late, spare.lost)
	must.Greater(t, alike.inTime*11/10, spare.inTime)
}

// Below what the engines bear, who comes back is served as well: there are places to
// spare.
func TestWithRoomReturnsAreServed(t *testing.T) {
	r := play(true, 24)
	must.Less(t, 60*24/100, r.lost, must.Sprint("one in a hundred at most"))
}
