package stager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// The origin goes down just after a naming, and by the time that it is back every agent has
// waited longer than its turn. Were all to ask for the list of chunks at each of their looks,
// they would together take all the connections that the origin bears when it comes back, and
// the few agents that draw the chunks for all would be reset. At an origin with 48 connections,
// 66 agents kept two of four origin fetchers out for 5 s, and weights came that much later.
func TestAgentsTakeTurnsAtAnOriginThatIsDown(t *testing.T) {
	var peers []registrar.Record
	for i := range 40 {
		peers = append(peers, registrar.Record{Key: fmt.Sprintf("peer 127.0.0.%d:9", i+2), Revision: 1})
	}
	e := &engine{born: 1, held: 1}
	w := newWorldWith(t, clock.RealClock{}, e, &origin{down: true}, time.Minute, peers...)
	w.name(2)
	asked := func() int {
		w.origin.mu.Lock()
		defer w.origin.mu.Unlock()
		return w.origin.asked
	}
	eventually(t, func() bool { return asked() > 0 })
	before := asked()
	time.Sleep(1500 * time.Millisecond)
	must.LessEq(t, 2, asked()-before, must.Sprint("questions of one agent of 41 in 1.5 s"))
	w.origin.mu.Lock()
	w.origin.down = false
	w.origin.mu.Unlock()
	eventually(t, func() bool { return e.progressed(2) })
}

// progressed tells whether a chunk of a version lies staged.
func (e *engine) progressed(version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(e.staged[0]) == string(chunkOf(version, 0))
}
