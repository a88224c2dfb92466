package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func (e *engine) setAbsent(absent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.absent = absent
}

// Guards against an engine that is flooded after its start, one that is held back as its agent alone has
// restarted, and one that is held back after a single report was late.
func TestSlowStartOfAnEngine(t *testing.T) {
	e := &engine{born: 1, held: 1}
	w := newWorld(t, e, time.Hour)
	eventually(t, w.open)
	must.False(t, w.ledger.Ramping(), must.Sprint("only the agent has started"))

	e.startAnew()
	eventually(t, w.ledger.Ramping)
	eventually(t, func() bool { return !w.ledger.Ramping() })

	e.setAbsent(true)
	time.Sleep(time.Second)
	e.setAbsent(false)
	eventually(t, w.ledger.Ramping)
}
