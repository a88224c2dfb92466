package relayer_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// standstillLook is the pause between two looks at the clock, shortestStandstill how late a look is at the least
	// that shows a standstill.
	standstillLook     = 2 * time.Millisecond
	shortestStandstill = 10 * time.Millisecond
)

// standstills are the times for which this process got no processor, as a goroutine shows that does nothing but
// sleep. Nothing that is due then can be done in time.
type standstills struct {
	mu    sync.Mutex
	spans []standstill
	// looked is when the clock was last looked at.
	looked time.Time
}

type standstill struct{ from, to time.Time }

// watchStandstills looks until the test ends.
func watchStandstills(t *testing.T) *standstills {
	s := &standstills{looked: time.Now()}
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(standstillLook):
				s.look(time.Now())
			}
		}
	}()
	return s
}

func (s *standstills) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if due := s.looked.Add(standstillLook); now.Sub(due) > shortestStandstill {
		s.spans = append(s.spans, standstill{due, now})
	}
	s.looked = now
}

// between is for how long the process was stalled between two times.
func (s *standstills) between(from, to time.Time) time.Duration {
	for !s.lookedAfter(to) {
		time.Sleep(standstillLook)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, span := range s.spans {
		start, end := span.from, span.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(start))
	}
	return sum
}

func (s *standstills) lookedAfter(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.looked.After(t)
}

// Guards against standstills that excuse what was late before or after them.
func TestStandstillsCountWithinTheirTimes(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := &standstills{looked: start}
	for _, ms := range []int{2, 6, 208, 210, 260, 262} {
		s.look(at(ms))
	}
	must.Eq(t, 200*time.Millisecond+48*time.Millisecond, s.between(start, at(261)))
	must.Eq(t, 100*time.Millisecond, s.between(at(108), at(210)))
	must.Eq(t, 50*time.Millisecond, s.between(at(8), at(58)))
	must.Zero(t, s.between(start, at(8)))
}
