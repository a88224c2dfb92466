package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func (e *engine) setUnresponsive(absent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = absent
}

// Guards against an engine that is flooded after its start, one that is throttled although only its
// agent has restarted, and one that is throttled after a single late report.
func TestSlowStartOfAnEngine(t *testing.T) {
	e := &engine{startedAt: 1, held: 1}
	f := newFixture(t, e, time.Hour)
	eventually(t, f.isOpen)
	must.False(t, f.ledger.Ramping(), must.Sprint("only the agent has restarted"))

	e.restart()
	eventually(t, f.ledger.Ramping)
	eventually(t, func() bool { return !f.ledger.Ramping() })

	e.setUnresponsive(true)
	time.Sleep(time.Second)
	e.setUnresponsive(false)
	eventually(t, f.ledger.Ramping)
}
