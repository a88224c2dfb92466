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

// An engine starts anew while its agent hears nothing: the store is silent and so are the
// entries that it asks. The record that tells for how long the engine is cold comes seconds
// later. An agent that took it for warm meanwhile would let in all that the entries send, the
// engine would fall over, and all that runs there would be lost.
func TestEngineIsColdUntilItsRecordIsHeard(t *testing.T) {
	const (
		rate  = 2
		burst = 20
	)
	e := &engine{born: 1}
	vm := &suspender.VM{Steady: clock.RealClock{}}
	w := newWorldOn(t, vm.Clock(), e, time.Hour)
	w.put("table", rate)
	w.put("upstream", 0)
	vm.Suspend(20 * time.Second)
	eventually(t, func() bool { return w.granted(burst) == burst })

	e.startAnew()
	eventually(t, func() bool { return w.granted(burst) == 0 })
	vm.Suspend(3 * time.Second)
	must.LessEq(t, 2*rate, w.granted(burst))

	w.put("upstream", 0)
	vm.Suspend(time.Second)
	eventually(t, func() bool { return w.granted(burst) == burst })

	// A record that never comes must not keep the engine nearly idle for good.
	e.startAnew()
	eventually(t, func() bool { return w.granted(burst) == 0 })
	vm.Suspend(20 * time.Second)
	eventually(t, func() bool { return w.granted(burst) == burst })
}

func (e *engine) startAnew() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born++
}

// put writes a record of one byte.
func (w *world) put(key string, value byte) {
	w.registrar.Apply(registrar.Batch{After: w.revision, At: w.revision + 1, Records: []registrar.Record{
		{Key: key, Value: []byte{value}, Revision: w.revision + 1}}})
	w.revision++
}

// granted is how many of some requests at once get a place.
func (w *world) granted(n int) int {
	granted := 0
	for i := range n {
		id := fmt.Sprint("burst-", i)
		if w.ledger.Reserve(scheduler.Job{ID: id, Prompt: 1, Patience: time.Hour, Left: time.Millisecond}, nil).Granted {
			granted++
		}
		w.ledger.Ended(id)
	}
	return granted
}
