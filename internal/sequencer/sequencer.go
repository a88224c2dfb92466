// Package sequencer runs tasks in virtual time, one at a time and in a deterministic order.
// Tasks are written as if they ran in parallel on a real clock; a day of them takes
// seconds, and the same tasks give the same results each time.
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
	// Start is the time at which virtual time starts.
	Start time.Time

	elapsed time.Duration
	queue   eventQueue
	// pushed counts the events put on the queue: of two events at the same time the earlier
	// pushed one runs first.
	pushed  uint64
	current *task
}

var _ clock.Clock = (*Sequencer)(nil)

// task is a function that can be suspended.
type task struct {
	resume func() (struct{}, bool)
	yield  func(struct{}) bool
	// waitNumber counts its waits, so that a timer for one that is over does nothing.
	waitNumber uint64
}

// Now implements clock.Clock.
func (s *Sequencer) Now() time.Time { return s.Start.Add(s.elapsed) }

// Since implements clock.Clock.
func (s *Sequencer) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// In calls a function after a delay. The function must not wait for anything.
func (s *Sequencer) In(d time.Duration, do func()) {
	s.pushed++
	heap.Push(&s.queue, event{due: s.elapsed + max(0, d), sequence: s.pushed, do: do})
}

// Go starts a task at the present virtual time.
func (s *Sequencer) Go(do func()) {
	t := &task{}
	t.resume, _ = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		do()
	})
	s.In(0, func() { s.resumeTask(t) })
}

// Run processes events until none are left.
func (s *Sequencer) Run() {
	for len(s.queue) > 0 {
		h := heap.Pop(&s.queue).(event)
		s.elapsed = h.due
		h.do()
	}
}

// resumeTask runs a task until it waits or ends.
func (s *Sequencer) resumeTask(t *task) {
	previous := s.current
	s.current = t
	t.resume()
	s.current = previous
}

// suspend suspends the current task until its wait is ended, or for a limit.
func (s *Sequencer) suspend(limit time.Duration) {
	t := s.current
	waitNumber := t.waitNumber
	s.In(limit, func() { s.endWait(t, waitNumber) })
	t.yield(struct{}{})
}

// endWait resumes a task unless its wait with that number is over.
func (s *Sequencer) endWait(t *task, waitNumber uint64) {
	if t.waitNumber != waitNumber {
		return
	}
	t.waitNumber++
	s.resumeTask(t)
}

// Sleep implements clock.Clock.
func (s *Sequencer) Sleep(d time.Duration) { s.suspend(d) }

// After implements clock.Clock. It suspends the task itself and returns when the time is over,
// so that a select on the channel receives at once.
func (s *Sequencer) After(d time.Duration) <-chan time.Time {
	s.suspend(d)
	c := make(chan time.Time, 1)
	c <- s.Now()
	return c
}

// NewTimer implements clock.Clock. Unlike After it doesn't suspend; the caller must receive
// from it only after the time is over.
func (s *Sequencer) NewTimer(d time.Duration) clock.Timer {
	t := &timer{sequencer: s, c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// Tick implements clock.Clock. Ticks continue while other events are queued.
func (s *Sequencer) Tick(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	var tick func()
	tick = func() {
		select {
		case c <- s.Now():
		default:
		}
		if len(s.queue) > 0 {
			s.In(d, tick)
		}
	}
	s.In(d, tick)
	return c
}

// timer implements clock.Timer.
type timer struct {
	sequencer  *Sequencer
	c          chan time.Time
	generation uint64
	running    bool
}

func (t *timer) C() <-chan time.Time { return t.c }

func (t *timer) Stop() bool {
	wasRunning := t.running
	t.running = false
	t.generation++
	return wasRunning
}

func (t *timer) Reset(d time.Duration) bool {
	wasRunning := t.Stop()
	t.running = true
	generation := t.generation
	t.sequencer.In(d, func() {
		if t.generation != generation {
			return
		}
		t.running = false
		t.c <- t.sequencer.Now()
	})
	return wasRunning
}

// event is a function call at a virtual time.
type event struct {
	due      time.Duration
	sequence uint64
	do       func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	if a[i].due != a[j].due {
		return a[i].due < a[j].due
	}
	return a[i].sequence < a[j].sequence
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	old := *a
	h := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return h
}
