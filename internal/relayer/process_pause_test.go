package relayer_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// pauseCheckInterval is the time between two readings of the clock, minPause how late a reading is at the
	// least that shows a pause.
	pauseCheckInterval = 2 * time.Millisecond
	minPause           = 10 * time.Millisecond
)

// pauseRecorder records the times for which this process got no processor, as shown by a goroutine that only
// sleeps. Nothing that is due then can be done in time.
type pauseRecorder struct {
	mu     sync.Mutex
	pauses []processPause
	// lastCheck is when the clock was last read.
	lastCheck time.Time
}

type processPause struct{ from, to time.Time }

// recordPauses records pauses until the test ends.
func recordPauses(t *testing.T) *pauseRecorder {
	s := &pauseRecorder{lastCheck: time.Now()}
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(pauseCheckInterval):
				s.check(time.Now())
			}
		}
	}()
	return s
}

func (s *pauseRecorder) check(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if due := s.lastCheck.Add(pauseCheckInterval); now.Sub(due) > minPause {
		s.pauses = append(s.pauses, processPause{due, now})
	}
	s.lastCheck = now
}

// pausedBetween is for how long the process was paused between two times.
func (s *pauseRecorder) pausedBetween(from, to time.Time) time.Duration {
	for !s.checkedAfter(to) {
		time.Sleep(pauseCheckInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, span := range s.pauses {
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

func (s *pauseRecorder) checkedAfter(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCheck.After(t)
}

// Guards against pauses that excuse delays before or after them.
func TestPausesCountWithinTheirTimes(t *testing.T) {
	start := time.Now()
	timeAt := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := &pauseRecorder{lastCheck: start}
	for _, ms := range []int{2, 6, 208, 210, 260, 262} {
		s.check(timeAt(ms))
	}
	must.Eq(t, 200*time.Millisecond+48*time.Millisecond, s.pausedBetween(start, timeAt(261)))
	must.Eq(t, 100*time.Millisecond, s.pausedBetween(timeAt(108), timeAt(210)))
	must.Eq(t, 50*time.Millisecond, s.pausedBetween(timeAt(8), timeAt(58)))
	must.Zero(t, s.pausedBetween(start, timeAt(8)))
}
