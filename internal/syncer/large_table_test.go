package syncer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

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
			sh := shape{entries: 46, regions: 3, agents: 33, storeDelay: delay, linkRate: quarterLink}
			inShapedFleet(t, sh, func(t *testing.T, f *fleet) {
				put := map[uint64]time.Time{}
				for version := uint64(1); version <= versions; version++ {
					f.store.put(tableKey, largeTable(version))
					put[version] = time.Now()
					for time.Since(put[version]) < gap {
						time.Sleep(50 * time.Millisecond)
						f.checkTables(t, put, within)
					}
				}
			})
		})
	}
}

// checkTables fails when a process goes by a route table that was replaced longer ago than a
// bound.
func (f *fleet) checkTables(t *testing.T, put map[uint64]time.Time, within time.Duration) {
	t.Helper()
	for _, n := range f.members {
		var table *matcher.Table
		if v := n.View(); v != nil {
			table = v.Table
		}
		for version, at := range put {
			if time.Since(at) > within && (table == nil || table.Version < version) {
				t.Fatalf("%s in %s does not have version %d after %v", n.ID, n.Region, version, time.Since(at))
			}
		}
	}
}
