package syncer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

// restartShape is that of a restart of all processes in which the seed of the last region listens later.
func restartShape(later time.Duration) shape {
	const link = 27_000_000 / 8
	return shape{entries: 60, regions: 3, agents: 100, upstreams: 230, seeds: 3, onTime: 2, seedsLater: later, table: true,
		storeDelay: 4 * time.Millisecond, linkRate: link}
}

// restart is what a restart of all showed.
type restart struct {
	// last is when the last process of each region had the route table.
	last map[string]time.Duration
	// store is how many calls the store got, bytes what the links to the last region carried.
	store, bytes int
}

// restartAll starts a fleet and watches it for some time.
func restartAll(t *testing.T, sh shape, watched time.Duration) restart {
	var r restart
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.Settle) })
		r.last = map[string]time.Duration{}
		began := time.Now()
		f := newFleet(t, sh)
		for known := map[string]bool{}; time.Since(began) < watched; time.Sleep(10 * time.Millisecond) {
			for _, n := range f.members {
				if v := n.View(); !known[n.ID] && v != nil && v.Table != nil {
					known[n.ID], r.last[n.Member.Region] = true, time.Since(began)
				}
			}
		}
		_, without := f.starts()
		must.Zero(t, without, must.Sprint("processes without a route table"))
		for _, n := range f.members {
			r.store += int(n.lists.Load() + n.watches.Load())
		}
		for i := range sh.regions - 1 {
			l := f.link(regionName(i), regionName(sh.regions-1))
			l.mu.Lock()
			r.bytes += l.sent
			l.mu.Unlock()
		}
	})
	t.Logf("tables known after %v, %d calls to the store, %d bytes to the last region", r.last, r.store, r.bytes)
	return r
}

// Guards against a region whose seed starts late and whose processes all get the records over the links between regions:
// these are saturated for a second or more, and the region's tables come late.
func TestRegionWhoseSeedStartsLateHasTheTable(t *testing.T) {
	for _, later := range []time.Duration{370 * time.Millisecond, 470 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(later.String(), func(t *testing.T) {
			r := restartAll(t, restartShape(later), 4*time.Second)
			must.LessEq(t, max(later, 700*time.Millisecond)+500*time.Millisecond, r.last[regionName(2)])
			must.LessEq(t, 1_000_000, r.bytes)
		})
	}
}
