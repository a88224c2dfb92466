package stager_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockReport blocks the engine's next report until release is called.
func blockReport(e *engine) (release func()) {
	held, free := make(chan struct{}), make(chan struct{})
	var once sync.Once
	e.mu.Lock()
	e.onReport = func() {
		once.Do(func() {
			close(held)
			<-free
		})
	}
	e.mu.Unlock()
	<-held
	return func() { close(free) }
}

// An agent waits for an engine whose report is slow. A version is announced, and the old weights
// expire before the engine responds. The process has received the announcement, but the granting of
// slots must apply it too: callers would get replies from weights that the operators replaced.
func TestAnnouncementDuringASlowReportCounts(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 2*time.Second)
	eventually(t, f.isOpen)
	letGo := blockReport(e)
	defer letGo()
	f.announce(2)
	// The bound less its margin of 0.7 s.
	time.Sleep(1400 * time.Millisecond)
	must.False(t, f.isOpen())
}

// As above with two versions that are announced while the agent waits. At the engine's response the
// weights have been expired since the first of them, and the time must not be measured from the
// second.
func TestAllAnnouncementsDuringASlowReportCount(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 2*time.Second)
	eventually(t, f.isOpen)
	f.origin.mu.Lock()
	f.origin.withheld = map[int]bool{2: true}
	f.origin.mu.Unlock()
	letGo := blockReport(e)
	f.announce(2)
	time.Sleep(1200 * time.Millisecond)
	f.announce(3)
	letGo()
	time.Sleep(400 * time.Millisecond)
	must.Eq(t, 1, e.holds())
	must.False(t, f.isOpen())
}
