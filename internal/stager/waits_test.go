package stager_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hold keeps the next look at an engine from ending until it is let go.
func hold(e *engine) (letGo func()) {
	held, free := make(chan struct{}), make(chan struct{})
	var once sync.Once
	e.mu.Lock()
	e.looking = func() {
		once.Do(func() {
			close(held)
			<-free
		})
	}
	e.mu.Unlock()
	<-held
	return func() { close(free) }
}

// An agent waits for an engine that is slow to say what it does. A version is named, and
// the time of the old weights ends before the engine answers. The process has heard the
// news, but the part that grants places has not been told: callers would get replies from
// weights that the operators replaced.
func TestNamingHeardWhileTheAgentWaitsCounts(t *testing.T) {
	e := &engine{born: 1}
	w := newWorld(t, e, 2*time.Second)
	eventually(t, w.open)
	letGo := hold(e)
	defer letGo()
	w.name(2)
	// The bound less its margin of 0.7 s.
	time.Sleep(1400 * time.Millisecond)
	must.False(t, w.open())
}

// The same with two versions that are named while the agent waits. When the engine
// answers, the time of its weights has been over since the first of them, and must not be
// counted from the second.
func TestNamingsHeardWhileTheAgentWaitsAllCount(t *testing.T) {
	e := &engine{born: 1}
	w := newWorld(t, e, 2*time.Second)
	eventually(t, w.open)
	w.origin.mu.Lock()
	w.origin.withheld = map[int]bool{2: true}
	w.origin.mu.Unlock()
	letGo := hold(e)
	w.name(2)
	time.Sleep(1200 * time.Millisecond)
	w.name(3)
	letGo()
	time.Sleep(400 * time.Millisecond)
	must.Eq(t, 1, e.holds())
	must.False(t, w.open())
}
