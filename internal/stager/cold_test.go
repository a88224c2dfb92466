package stager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

// Guards against overloading a restarted engine during an outage of the store. The record that
// states how long the engine is cold arrives seconds late. An agent that treated it as warm
// meanwhile would grant all requests, the engine would crash, and all requests running there would
// be lost.
func TestEngineIsColdUntilItsRecordArrives(t *testing.T) {
	const (
		rate  = 2
		burst = 20
	)
	e := &engine{startedAt: 1}
	vm := &suspender.VM{Steady: clock.RealClock{}}
	f := newFixtureWithClock(t, vm.Clock(), e, time.Hour)
	f.put("table", rate)
	f.put("upstream", 0)
	vm.Suspend(20 * time.Second)
	eventually(t, func() bool { return f.granted(burst) == burst })

	e.restart()
	eventually(t, func() bool { return f.granted(burst) == 0 })
	vm.Suspend(3 * time.Second)
	must.LessEq(t, 2*rate, f.granted(burst))

	f.put("upstream", 0)
	vm.Suspend(time.Second)
	eventually(t, func() bool { return f.granted(burst) == burst })

	// A record that never arrives must not keep the engine nearly idle forever.
	e.restart()
	eventually(t, func() bool { return f.granted(burst) == 0 })
	vm.Suspend(20 * time.Second)
	eventually(t, func() bool { return f.granted(burst) == burst })
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt++
}

// put writes a record of one byte.
func (f *fixture) put(key string, value byte) {
	f.registrar.Apply(registrar.Batch{After: f.revision, At: f.revision + 1, Records: []registrar.Record{
		{Key: key, Value: []byte{value}, Revision: f.revision + 1}}})
	f.revision++
}

// granted returns how many of n simultaneous requests get a slot.
func (f *fixture) granted(n int) int {
	granted := 0
	for i := range n {
		id := fmt.Sprint("burst-", i)
		if f.ledger.Reserve(scheduler.Job{ID: id, Prompt: 1, Patience: time.Hour, Left: time.Millisecond}, nil).Granted {
			granted++
		}
		f.ledger.Ended(id)
	}
	return granted
}
