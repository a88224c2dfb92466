package syncer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

// restartAll restarts all processes; the seed of the last region listens later. fault is optional.
func restartAll(t *testing.T, later, within time.Duration, fault func(*fleet)) {
	const mostBytes, link, seeds = 1_000_000, 27_000_000 / 8, 3
	sh := shape{entries: 60, regions: 3, agents: 100, upstreams: 230, seeds: seeds, punctualSeeds: 2, seedDelay: later, hasTable: true,
		storeDelay: 4 * time.Millisecond, linkRate: link}
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		began := time.Now()
		f := newFleet(t, sh)
		if fault != nil {
			fault(f)
		}
		time.Sleep(within - time.Since(began))
		listed, withoutTable := f.startCounts()
		must.Zero(t, withoutTable, must.Sprint("processes without a route table"))
		must.LessEq(t, seeds, listed, must.Sprint("only the seeds list the store"))
		sent := f.link(regionName(0), regionName(2)).bytesSent() + f.link(regionName(1), regionName(2)).bytesSent()
		t.Logf("%d bytes to the last region", sent)
		must.True(t, fault != nil || sent <= mostBytes)
	})
}

// Guards against a region whose seed starts late and whose processes all get the records over the
// links between regions: these would be saturated for a second or more, and the region's tables
// would arrive late.
func TestRegionWhoseSeedStartsLateHasTheTable(t *testing.T) {
	restartAll(t, 470*time.Millisecond, 600*time.Millisecond, nil)
	restartAll(t, 900*time.Millisecond, time.Second, nil)
}

// Guards against processes without records that are referred to unresponsive entries: they must get
// the records from a seed nevertheless, without the store.
func TestProcessesReferredToHangingEntriesHaveTheTable(t *testing.T) {
	restartAll(t, time.Millisecond, 2500*time.Millisecond, func(f *fleet) {
		f.members[2].refusesConnections.Store(true)
		for _, n := range f.members {
			n.unresponsive.Store(n.Member.Region == regionName(2))
		}
	})
}
