package scheduler_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against a ledger that keeps every grant for the limit of cold engines. At ten grants per second its
// memory would grow by 20 MB a day, until the VM's limit ends the agent and with it the only exact count of its
// engine's slots.
func TestLedgerMemoryStaysBounded(t *testing.T) {
	l, c := openLedger()
	grant := func(n int) {
		for range n {
			c.Step(100 * time.Millisecond)
			must.True(t, l.Reserve(scheduler.Job{ID: "a", Prompt: 100, Answer: 10, Patience: time.Second, Left: time.Second}, nil).Granted)
			l.Ended("a")
		}
	}
	grant(10_000)
	before := heapBytes()
	grant(300_000)
	const maxGrowth = 1 << 20
	must.Less(t, before+maxGrowth, heapBytes())
	runtime.KeepAlive(l)
}

// heapBytes is how many bytes of heap are in use.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
