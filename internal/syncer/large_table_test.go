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
	// tableSize is a route table's in bytes: a quarter of one with 1,400 routes, over a link
	// with a quarter of the rate.
	tableSize   = 77_000
	quarterLink = 23_000_000 / 8 / 4
)

// largeTable is a route table with as much besides its version as many routes take.
func largeTable(version uint64) any {
	r := rand.New(rand.NewPCG(version, 3))
	var routes strings.Builder
	for routes.Len() < tableSize {
		fmt.Fprintf(&routes, "{host:%08x.example,kind:idempotent,timeout:1100}", r.Uint32())
	}
	return struct {
		Version uint64
		Padding string
	}{version, routes.String()}
}

// Guards against processes of a region that all fall back to the store when its answers are slow:
// the route tables that each then gets saturate the link, and none arrives in time.
func TestLargeTablesReachEveryRegionFromASlowStore(t *testing.T) {
	const (
		versions = 8
		gap      = 1310 * time.Millisecond
		// within is the bound on changes of a grown deployment.
		within = 3 * time.Second
	)
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 310 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			inShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				f.storm(t, versions, gap, within)
			})
		})
	}
}

// Guards against readers whose confirmations are too old for their peers when the store is slow,
// so that these read it, too.
func TestReadersOfASlowStoreSuffice(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			inShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				for _, n := range f.members {
					n.watches.Store(0)
				}
				f.storm(t, 6, 1310*time.Millisecond, 3*time.Second)
				for _, n := range f.ranked(sh.entries)[2:] {
					must.Zero(t, n.watches.Load(), must.Sprint(n.ID))
				}
			})
		})
	}
}

// Guards against a region's processes that all fall back to the store at once when the readers
// fail.
func TestRegionsFallBackInTurn(t *testing.T) {
	const (
		versions = 4
		gap      = 1310 * time.Millisecond
		within   = 3 * time.Second
		// most is how many of a region's processes may turn to the store.
		most = 2
	)
	for i, delay := range []time.Duration{4 * time.Millisecond, 60 * time.Millisecond, 240 * time.Millisecond} {
		for _, k := range faultKinds {
			t.Run(fmt.Sprint(k.name, delay), func(t *testing.T) {
				sh := grownShape(delay)
				inShapedFleet(t, sh, func(t *testing.T, f *fleet) {
					time.Sleep(time.Duration(i) * time.Second / 3)
					ranked := f.ranked(sh.entries)
					for _, n := range f.members {
						n.watches.Store(0)
					}
					k.fail(t, f, ranked[0], ranked[3])
					k.fail(t, f, ranked[1], ranked[3])
					f.storm(t, versions, gap, within)
					f.checkWatchers(t, most, ranked[:2])
				})
			})
		}
	}
}

// Guards against entries that, after an outage of the store, take those ahead of them for out of
// service for good, and fall back together when the readers fail later.
func TestRegionsFallBackInTurnAfterAnOutage(t *testing.T) {
	const (
		outage = 6 * time.Second
		most   = 2
	)
	// The peers' timeouts and retries meet the readers' failure in other phases.
	for _, later := range []time.Duration{10 * time.Second, 11200 * time.Millisecond} {
		t.Run(later.String(), func(t *testing.T) {
			sh := grownShape(60 * time.Millisecond)
			inShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				for _, n := range f.members {
					n.cut.Store(true)
				}
				time.Sleep(outage)
				for _, n := range f.members {
					n.cut.Store(false)
				}
				time.Sleep(later)
				ranked := f.ranked(sh.entries)
				for _, n := range f.members {
					n.watches.Store(0)
				}
				ranked[0].deaf.Store(true)
				ranked[1].deaf.Store(true)
				f.storm(t, 4, 1310*time.Millisecond, 3*time.Second)
				f.checkWatchers(t, most, ranked[:2])
			})
		})
	}
}

// checkWatchers fails when more of a region's processes than a bound have watched the store,
// readers aside.
func (f *fleet) checkWatchers(t *testing.T, most int, readers []*node) {
	t.Helper()
	watchers := map[string]int{}
	for _, n := range f.members {
		if n.watches.Load() > 0 && !slices.Contains(readers, n) {
			watchers[n.Member.Region]++
		}
	}
	t.Log(watchers)
	for region, count := range watchers {
		must.LessEq(t, most, count, must.Sprint(region))
	}
}

// storm writes route tables one after the other, and fails when a process goes by one that was
// replaced longer ago than a bound.
func (f *fleet) storm(t *testing.T, versions uint64, gap, within time.Duration) {
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

// checkTables fails when a process goes by a route table that was replaced longer ago than a
// bound.
func (f *fleet) checkTables(t *testing.T, put map[uint64]time.Time, within time.Duration) {
	t.Helper()
	for _, n := range f.members {
		var table *matcher.Table
		if !n.lives() {
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
// moment to read it: the lists saturate the links, and callers are refused for seconds.
func TestProcessesThatStartTogetherListTheStoreOnce(t *testing.T) {
	const within = 3 * time.Second
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			sh.table = true
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
				f := newFleet(t, sh)
				time.Sleep(within)
				listed, without := f.starts()
				must.Zero(t, without, must.Sprint("processes without a route table"))
				must.LessEq(t, 2, listed, must.Sprint("the seeds alone"))
			})
		})
	}
}

// Guards against processes without a route table 4 s after the store's return, when they have
// started in an outage and list the store together.
func TestProcessesThatStartInAnOutageHaveTheTableAfterIt(t *testing.T) {
	const (
		outage = 3 * time.Second
		within = 4 * time.Second
	)
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sh := grownShape(delay)
			sh.table, sh.cut = true, true
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
				f := newFleet(t, sh)
				time.Sleep(outage)
				for _, n := range f.members {
					n.lists.Store(0)
					n.cut.Store(false)
				}
				time.Sleep(within)
				listed, without := f.starts()
				t.Log("processes that listed the store:", listed)
				must.Zero(t, without, must.Sprint("processes without a route table"))
			})
		})
	}
}

// starts counts the processes that have listed the store, and those without a route table.
func (f *fleet) starts() (listed, without int) {
	for _, n := range f.members {
		if n.lists.Load() > 0 {
			listed++
		}
		if v := n.View(); v == nil || v.Table == nil {
			without++
		}
	}
	return listed, without
}
