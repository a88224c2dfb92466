package scheduler

import (
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// FullMarks remembers which engines had no slot for requests of a priority. An engine without a slot for one
// request may well have one for a more urgent one. Set Clock before use. It is safe for concurrent use.
type FullMarks struct {
	Clock clock.PassiveClock

	mu    sync.Mutex
	until map[string]*[priorities]time.Time
	swept time.Time
}

// Full notes that an engine has no slot for requests of a priority, or less urgent ones, for a time.
func (m *FullMarks) Full(id string, priority int, free time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.sweep(now)
	marks := m.until[id]
	if marks == nil {
		marks = &[priorities]time.Time{}
		m.until[id] = marks
	}
	marks[priority] = now.Add(free)
}

// FullFor is how long an engine is still taken to have no slot for requests of a priority.
func (m *FullMarks) FullFor(id string, priority int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	marks := m.until[id]
	if marks == nil {
		return 0
	}
	now, longest := m.Clock.Now(), time.Duration(0)
	for _, until := range marks[:priority+1] {
		longest = max(longest, until.Sub(now))
	}
	return longest
}

// sweep forgets all marks now and then, as engines leave. They last for less than the time between two sweeps.
func (m *FullMarks) sweep(now time.Time) {
	if m.until == nil || now.Sub(m.swept) > forgetAfter {
		m.until, m.swept = map[string]*[priorities]time.Time{}, now
	}
}
