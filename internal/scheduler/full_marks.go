package scheduler

import (
	"sync"
	"time"
)

// FullMarks records which engines had no slot for requests of a priority. An engine without a slot for one
// request may have one for a more urgent one. The zero value is ready for use and safe for concurrent use.
type FullMarks struct {
	mu    sync.Mutex
	until map[string]*[priorityCount]time.Time
	swept time.Time
}

// MarkFull records that an engine has no slot for requests of a priority, or less urgent ones, for a time.
func (m *FullMarks) MarkFull(id string, priority int, free time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep(now)
	marks := m.until[id]
	if marks == nil {
		marks = &[priorityCount]time.Time{}
		m.until[id] = marks
	}
	marks[priority] = now.Add(free)
}

// FullFor is how long an engine remains marked as having no slot for requests of a priority.
func (m *FullMarks) FullFor(id string, priority int, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	marks := m.until[id]
	if marks == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, until := range marks[:priority+1] {
		longest = max(longest, until.Sub(now))
	}
	return longest
}

// sweep drops all marks from time to time, as engines come and go. Marks last for less than the time between
// two sweeps.
func (m *FullMarks) sweep(now time.Time) {
	if m.until == nil || now.Sub(m.swept) > evictAfter {
		m.until, m.swept = map[string]*[priorityCount]time.Time{}, now
	}
}
