package syncer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

const (
	tableKey = "table"
	// tableSize is the size of a route table in bytes: a quarter of one with 1,400 routes, over a
	// link with a quarter of the rate.
	tableSize   = 77_000
	quarterLink = 23_000_000 / 8 / 4
)

// largeTable returns a route table padded to the size of one with many routes.
func largeTable(version uint64) any { return paddedTable(version, tableSize) }

// paddedTable returns a route table padded to a size in bytes.
func paddedTable(version uint64, size int) any {
	r := rand.New(rand.NewPCG(version, 3))
	var routes strings.Builder
	for routes.Len() < size {
		fmt.Fprintf(&routes, "{host:%08x.example,kind:idempotent,timeout:1100}", r.Uint32())
	}
	return struct {
		Version uint64
		Padding string
	}{version, routes.String()}
}

// Guards against processes of a region that all fall back to the store when its answers are slow:
// the route tables that each receives would saturate the link, and none would arrive in time.
func TestLargeTablesReachEveryRegionFromASlowStore(t *testing.T) {
	const (
		versions = 8
		gap      = 1310 * time.Millisecond
		// within is the time in which a grown deployment has to apply changes.
		within = 3 * time.Second
	)
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 310 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			withShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				f.checkTableUpdates(t, versions, gap, within)
			})
		})
	}
}

// Guards against peers that read the store, too, as the readers' confirmations are stale when the
// store is slow.
func TestReadersOfASlowStoreSuffice(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			withShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				for _, n := range f.members {
					n.watches.Store(0)
				}
				f.checkTableUpdates(t, 6, 1310*time.Millisecond, 3*time.Second)
				for _, n := range f.rankedEntries(sh.entries)[2:] {
					must.Zero(t, n.watches.Load(), must.Sprint(n.ID))
				}
			})
		})
	}
}

// Guards against processes of a region that all fall back to the store at once when the readers
// fail.
func TestRegionsFallBackInTurn(t *testing.T) {
	const (
		versions = 4
		gap      = 1310 * time.Millisecond
		within   = 3 * time.Second
		// maxWatchers is how many of a region's processes may turn to the store.
		maxWatchers = 2
	)
	for i, delay := range []time.Duration{4 * time.Millisecond, 60 * time.Millisecond, 240 * time.Millisecond} {
		for _, k := range faultKinds {
			t.Run(fmt.Sprint(k.name, delay), func(t *testing.T) {
				sh := grownShape(delay)
				withShapedFleet(t, sh, func(t *testing.T, f *fleet) {
					time.Sleep(time.Duration(i) * time.Second / 3)
					ranked := f.rankedEntries(sh.entries)
					for _, n := range f.members {
						n.watches.Store(0)
					}
					k.inject(t, f, ranked[0], ranked[3])
					k.inject(t, f, ranked[1], ranked[3])
					f.checkTableUpdates(t, versions, gap, within)
					f.checkWatchers(t, maxWatchers, ranked[:2])
				})
			})
		}
	}
}

// Guards against entries that, after an outage of the store, consider those ahead of them out of
// service forever, and fall back together when the readers fail later.
func TestRegionsFallBackInTurnAfterAnOutage(t *testing.T) {
	const (
		outage      = 6 * time.Second
		maxWatchers = 2
	)
	// The delays vary the phase of the peers' timeouts and retries at the readers' failure.
	for _, later := range []time.Duration{10 * time.Second, 11200 * time.Millisecond} {
		t.Run(later.String(), func(t *testing.T) {
			sh := grownShape(60 * time.Millisecond)
			withShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				for _, n := range f.members {
					n.partitioned.Store(true)
				}
				time.Sleep(outage)
				for _, n := range f.members {
					n.partitioned.Store(false)
				}
				time.Sleep(later)
				ranked := f.rankedEntries(sh.entries)
				for _, n := range f.members {
					n.watches.Store(0)
				}
				ranked[0].unresponsive.Store(true)
				ranked[1].unresponsive.Store(true)
				f.checkTableUpdates(t, 4, 1310*time.Millisecond, 3*time.Second)
				f.checkWatchers(t, maxWatchers, ranked[:2])
			})
		})
	}
}

// checkWatchers fails when more of a region's processes than a bound have watched the store, not
// counting readers.
func (f *fleet) checkWatchers(t *testing.T, maxWatchers int, readers []*node) {
	t.Helper()
	watchers := map[string]int{}
	for _, n := range f.members {
		if n.watches.Load() > 0 && !slices.Contains(readers, n) {
			watchers[n.Member.Region]++
		}
	}
	t.Log(watchers)
	for region, count := range watchers {
		must.LessEq(t, maxWatchers, count, must.Sprint(region))
	}
}

// checkTableUpdates writes route tables one after the other, and fails when a process uses one that
// was replaced longer ago than a bound.
func (f *fleet) checkTableUpdates(t *testing.T, versions uint64, gap, within time.Duration) {
	t.Helper()
	put := map[uint64]time.Time{}
	for version := uint64(1); version <= versions; version++ {
		f.store.put(tableKey, largeTable(version))
		put[version] = time.Now()
		for time.Since(put[version]) < gap {
			time.Sleep(50 * time.Millisecond)
			f.checkTables(t, put, within)
		}
	}
}

// checkTables fails when a process uses a route table that was replaced longer ago than a bound.
func (f *fleet) checkTables(t *testing.T, put map[uint64]time.Time, within time.Duration) {
	t.Helper()
	for _, n := range f.members {
		var table *matcher.Table
		if !n.isResponsive() {
			continue
		}
		if v := n.View(); v != nil {
			table = v.Table
		}
		for version, at := range put {
			if time.Since(at) > within && (table == nil || table.Version < version) {
				t.Fatalf("%s in %s does not have version %d after %v", n.ID, n.Member.Region, version, time.Since(at))
			}
		}
	}
}

// Guards against processes that all list the store when they start together and the seeds take a
// moment to read it: the lists would saturate the links, and callers would be refused for seconds.
func TestProcessesThatStartTogetherListTheStoreOnce(t *testing.T) {
	const within = 3 * time.Second
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			sh.hasTable = true
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
				f := newFleet(t, sh)
				time.Sleep(within)
				listed, withoutTable := f.startCounts()
				must.Zero(t, withoutTable, must.Sprint("processes without a route table"))
				must.LessEq(t, 2, listed, must.Sprint("only the seeds list the store"))
			})
		})
	}
}

// Guards against processes that start in an outage, list the store together after it, and have no
// route table 4 s after the store's return.
func TestProcessesThatStartInAnOutageHaveTheTableAfterIt(t *testing.T) {
	const (
		outage = 3 * time.Second
		within = 4 * time.Second
	)
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			sh.hasTable, sh.partitioned = true, true
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
				f := newFleet(t, sh)
				time.Sleep(outage)
				for _, n := range f.members {
					n.lists.Store(0)
					n.partitioned.Store(false)
				}
				time.Sleep(within)
				listed, withoutTable := f.startCounts()
				t.Log("processes that listed the store:", listed)
				must.Zero(t, withoutTable, must.Sprint("processes without a route table"))
			})
		})
	}
}

// startCounts returns the number of processes that have listed the store, and of those without a
// route table.
func (f *fleet) startCounts() (listed, withoutTable int) {
	for _, n := range f.members {
		if n.lists.Load() > 0 {
			listed++
		}
		if v := n.View(); v == nil || v.Table == nil {
			withoutTable++
		}
	}
	return listed, withoutTable
}
