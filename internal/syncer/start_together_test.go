package syncer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

const manyUpstreams = 800

// Guards against regions whose processes all ask a far seed while the near one starts or reads the
// store: the links would carry thousands of records for each of them, and the near seed's list
// would not arrive either.
func TestProcessesThatStartTogetherBesideManyUpstreamsHaveTheTable(t *testing.T) {
	const within = 3 * time.Second
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		for _, later := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v, seeds %v later", delay, later), func(t *testing.T) {
				sh := grownShape(delay)
				sh.hasTable, sh.upstreams, sh.seeds, sh.seedDelay = true, manyUpstreams, 3, later
				synctest.Test(t, func(t *testing.T) {
					t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
					began := time.Now()
					f := newFleet(t, sh)
					time.Sleep(within - time.Since(began))
					listed, withoutTable := f.startCounts()
					must.Zero(t, withoutTable, must.Sprint("processes without a route table"))
					must.LessEq(t, sh.seeds, listed, must.Sprint("only the seeds list the store"))
				})
			})
		}
	}
}

// Guards against seeds that prepare the same thousands of records for each process that starts: the
// queries would time out, and the processes would turn to far seeds and to the store.
func TestSlowSeedsAnswerAllThatStartTogether(t *testing.T) {
	const (
		within = 3 * time.Second
		// recordTime is that of a VM with a tenth of a core.
		recordTime = 60 * time.Microsecond
	)
	sh := grownShape(4 * time.Millisecond)
	sh.hasTable, sh.upstreams, sh.seeds, sh.recordTime = true, manyUpstreams, 3, recordTime
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		f := newFleet(t, sh)
		time.Sleep(within)
		listed, withoutTable := f.startCounts()
		must.Zero(t, withoutTable, must.Sprint("processes without a route table"))
		must.LessEq(t, sh.seeds, listed, must.Sprint("only the seeds list the store"))
	})
}
