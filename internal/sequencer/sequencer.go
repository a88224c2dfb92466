// Package sequencer runs tasks in virtual time, one at a time and always in the same order.
// Tasks are written as if they ran in parallel on a real clock; a day of them takes
// seconds, and the same tasks do the same each time.
package sequencer

import (
	"container/heap"
	"iter"
	"time"

	"k8s.io/utils/clock"
)

// Sequencer is a clock for its tasks. Within a task, After, Sleep and the methods of Mailbox
// that wait suspend the task, and others run meanwhile. Set Start before use. It must be used
// by one goroutine only, and by the tasks that it runs.
type Sequencer struct {
	// Start is the moment at which virtual time begins.
	Start time.Time

	elapsed time.Duration
	agenda  agenda
	// entered counts what was put on the agenda: of two at the same moment the earlier comes
	// first.
	entered uint64
	current *task
}

var _ clock.Clock = (*Sequencer)(nil)

// task is a function that can be suspended.
type task struct {
	resume func() (struct{}, bool)
	yield  func(struct{}) bool
	// wait numbers its waits, so that a timer for one that is over does nothing.
	wait uint64
}

// Now implements clock.Clock.
func (s *Sequencer) Now() time.Time { return s.Start.Add(s.elapsed) }

// Since implements clock.Clock.
func (s *Sequencer) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// In calls a function after a while. It must not wait for anything.
func (s *Sequencer) In(d time.Duration, do func()) {
	s.entered++
	heap.Push(&s.agenda, happening{at: s.elapsed + max(0, d), number: s.entered, do: do})
}

// Go begins a task at the present moment.
func (s *Sequencer) Go(do func()) {
	t := &task{}
	t.resume, _ = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		do()
	})
	s.In(0, func() { s.run(t) })
}

// Run goes on until nothing is left to do.
func (s *Sequencer) Run() {
	for len(s.agenda) > 0 {
		h := heap.Pop(&s.agenda).(happening)
		s.elapsed = h.at
		h.do()
	}
}

// run has a task go on until it waits or ends.
func (s *Sequencer) run(t *task) {
	before := s.current
	s.current = t
	t.resume()
	s.current = before
}

// suspend has the present task wait until it is woken, or for a limit.
func (s *Sequencer) suspend(limit time.Duration) {
	t := s.current
	wait := t.wait
	s.In(limit, func() { s.wake(t, wait) })
	t.yield(struct{}{})
}

// wake has a task go on whose wait with that number is not over.
func (s *Sequencer) wake(t *task, wait uint64) {
	if t.wait != wait {
		return
	}
	t.wait++
	s.run(t)
}

// Sleep implements clock.Clock.
func (s *Sequencer) Sleep(d time.Duration) { s.suspend(d) }

// After implements clock.Clock. It suspends the task itself and returns when the time is over,
// so that a select over the channel takes it at once.
func (s *Sequencer) After(d time.Duration) <-chan time.Time {
	s.suspend(d)
	c := make(chan time.Time, 1)
	c <- s.Now()
	return c
}

// NewTimer implements clock.Clock. Unlike After it doesn't suspend; receiving from it is for
// the caller to time.
func (s *Sequencer) NewTimer(d time.Duration) clock.Timer {
	t := &timer{sequencer: s, c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// Tick implements clock.Clock. Ticks go on for as long as anything else does.
func (s *Sequencer) Tick(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	var tick func()
	tick = func() {
		select {
		case c <- s.Now():
		default:
		}
		if len(s.agenda) > 0 {
			s.In(d, tick)
		}
	}
	s.In(d, tick)
	return c
}

// timer implements clock.Timer.
type timer struct {
	sequencer *Sequencer
	c         chan time.Time
	set       uint64
	running   bool
}

func (t *timer) C() <-chan time.Time { return t.c }

func (t *timer) Stop() bool {
	was := t.running
	t.running = false
	t.set++
	return was
}

func (t *timer) Reset(d time.Duration) bool {
	was := t.Stop()
	t.running = true
	set := t.set
	t.sequencer.In(d, func() {
		if t.set != set {
			return
		}
		t.running = false
		t.c <- t.sequencer.Now()
	})
	return was
}

// happening is a function that is called at a moment.
type happening struct {
	at     time.Duration
	number uint64
	do     func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].number < a[j].number
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	old[len(old)-1] = happening{}
	*a = old[:len(old)-1]
	return h
}
