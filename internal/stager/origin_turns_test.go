package stager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// The origin fails just after an announcement, and by its return every agent has waited longer than
// its turn. If all requested the list of chunks at each attempt, they would take all connections
// that the origin accepts, and the few agents that fetch the chunks for all would be reset. At an
// origin with 48 connections, 66 agents kept two of four origin fetchers out for 5 s, and weights
// came that much later.
func TestAgentsTakeTurnsAtAnOriginThatIsDown(t *testing.T) {
	var peers []registrar.Record
	for i := range 40 {
		peers = append(peers, registrar.Record{Key: fmt.Sprintf("peer 127.0.0.%d:9", i+2), Revision: 1})
	}
	e := &engine{startedAt: 1, held: 1}
	f := newFixtureWithOrigin(t, clock.RealClock{}, e, &origin{down: true}, time.Minute, peers...)
	f.announce(2)
	listRequests := func() int {
		f.origin.mu.Lock()
		defer f.origin.mu.Unlock()
		return f.origin.listRequests
	}
	eventually(t, func() bool { return listRequests() > 0 })
	before := listRequests()
	time.Sleep(1500 * time.Millisecond)
	must.LessEq(t, 2, listRequests()-before, must.Sprint("requests of one agent of 41 in 1.5 s"))
	f.origin.mu.Lock()
	f.origin.down = false
	f.origin.mu.Unlock()
	eventually(t, func() bool { return e.hasFirstChunk(2) })
}

// hasFirstChunk reports whether the first chunk of a version is staged.
func (e *engine) hasFirstChunk(version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(e.staged[0]) == string(chunkOf(version, 0))
}
