package sequencer_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/sequencer"
)

var start = time.Unix(1000, 0)

func TestTasksTakeTurns(t *testing.T) {
	s := &sequencer.Sequencer{Start: start}
	var seen []string
	record := func(what string) { seen = append(seen, what+" "+s.Since(start).String()) }
	for _, name := range []string{"a", "b"} {
		s.Go(func() {
			record(name)
			s.Sleep(time.Second)
			record(name)
			select {
			case <-context.Background().Done():
			case <-s.After(time.Hour):
			}
			record(name)
		})
	}
	s.In(500*time.Millisecond, func() { record("between") })
	s.Run()
	must.Eq(t, []string{"a 0s", "b 0s", "between 500ms", "a 1s", "b 1s", "a 1h0m1s", "b 1h0m1s"}, seen)
}

// A task waits for items with a limit that expires, gets one just before the next limit, and
// the timers of completed waits don't resume it.
func TestMailbox(t *testing.T) {
	s := &sequencer.Sequencer{Start: start}
	m := &sequencer.Mailbox[int]{Sequencer: s}
	var got []time.Duration
	s.Go(func() {
		_, ok := m.Get(time.Second)
		must.False(t, ok)
		for want := range 3 {
			item, ok := m.Get(time.Second)
			must.True(t, ok)
			must.Eq(t, want, item)
			got = append(got, s.Since(start))
		}
		s.Sleep(10 * time.Second)
		got = append(got, s.Since(start))
	})
	s.In(1900*time.Millisecond, func() {
		m.Put(0)
		m.Put(1)
	})
	s.In(2500*time.Millisecond, func() { m.Put(2) })
	s.Run()
	must.Eq(t, []time.Duration{1900 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond, 12500 * time.Millisecond}, got)
}

func TestTimers(t *testing.T) {
	s := &sequencer.Sequencer{Start: start}
	stopped, reset := s.NewTimer(time.Second), s.NewTimer(time.Second)
	must.True(t, stopped.Stop())
	must.False(t, stopped.Stop())
	must.True(t, reset.Reset(3*time.Second))
	ticks := s.Tick(time.Second)
	s.Run()
	must.Eq(t, start.Add(3*time.Second), <-reset.C())
	must.Eq(t, start.Add(time.Second), <-ticks)
	select {
	case <-stopped.C():
		t.Fatal("a stopped timer fired")
	default:
	}
}
