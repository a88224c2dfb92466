package gossiper_test

import (
	"testing"
	"time"
)

// outageScenario is a five-minute fault in a deployment of nine entries, three
// in each of three regions, with the store in the first region.
type outageScenario struct {
	name string
	// storeDown takes the store away from all entries. cutRegion is partitioned from
	// the others and lostRegion is gone; -1 for none.
	storeDown             bool
	cutRegion, lostRegion int
	// drain publishes a bundle from beside the store after one minute.
	drain bool
}

// servingPolicy decides between serving and refusing work.
type servingPolicy struct {
	name        string
	freshFor    time.Duration
	entries     int
	storeRegion string
}

// BenchmarkPartition reports for each policy how many seconds a live entry
// refuses work on average, and how many it serves by a superseded bundle, which
// sends work into a drained failure domain.
func BenchmarkPartition(b *testing.B) {
	const huon, tamar = 0, 2
	for _, c := range []outageScenario{
		{"storeOut", true, -1, -1, false},
		{"regionCut", false, tamar, -1, true},
		{"storeRegionCut", false, huon, -1, true},
		{"storeRegionLost", true, -1, huon, false},
	} {
		for _, r := range []servingPolicy{
			{"refuse", 0, 1 << 20, ""},
			{"serveOn", time.Hour, 9, ""},
			{"majority", 0, 9, ""},
			{"majorityAndStoreRegion", 0, 9, "huon"},
		} {
			b.Run(c.name+"/"+r.name, func(b *testing.B) {
				for b.Loop() {
					refused, superseded := c.simulate(r)
					b.ReportMetric(refused.Seconds(), "refused-s")
					b.ReportMetric(superseded.Seconds(), "superseded-s")
				}
			})
		}
	}
}

func (c outageScenario) simulate(r servingPolicy) (refused, superseded time.Duration) {
	const tick = 200 * time.Millisecond
	m := newModel(9, 0, r.storeRegion)
	m.freshFor = r.freshFor
	for i := range m.nodes {
		m.restart(i)
		m.nodes[i].Entries = r.entries
	}
	for range 20 {
		m.step(tick)
	}
	m.down = c.storeDown
	alive := 9
	for i := range m.nodes {
		if i/3 == c.lostRegion {
			alive--
		}
		for j := range m.nodes {
			m.cutLinks[[2]int{i, j}] = (i/3 == c.cutRegion) != (j/3 == c.cutRegion) || i/3 == c.lostRegion || j/3 == c.lostRegion
		}
		// The store is in the first region.
		m.cutStore[i] = c.cutRegion >= 0 && (i/3 == c.cutRegion) != (c.cutRegion == 0)
	}
	for t := time.Duration(0); t < 5*time.Minute; t += tick {
		if c.drain && t == time.Minute {
			m.publish()
		}
		m.step(tick)
		for i, s := range m.nodes {
			held, _ := s.Current()
			switch {
			case i/3 == c.lostRegion:
			case s.MayServe() != nil:
				refused += tick
			case int(held.Revision) < len(m.accepted):
				superseded += tick
			}
		}
	}
	return refused / time.Duration(alive), superseded / time.Duration(alive)
}
