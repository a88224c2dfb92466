package gossiper_test

import (
	"testing"
	"time"
)

// cutOff is five minutes of trouble in a deployment of today's size: nine
// entries, three in each of three regions, the store in the first region.
type cutOff struct {
	name string
	// storeDown takes the store away from all; cut and lost are the region that
	// is cut off from the others, or gone; -1 for none.
	storeDown bool
	cut, lost int
	// drain has operators beside the store accept a bundle one minute in.
	drain bool
}

// rule is a way to choose between serving and refusing.
type rule struct {
	name        string
	freshFor    time.Duration
	entries     int
	storeRegion string
}

// BenchmarkCutOff reports, for each rule, for how many seconds an entry that is
// alive refuses work on average, and for how many it serves by a superseded
// bundle, which is work sent into a drained failure domain.
func BenchmarkCutOff(b *testing.B) {
	const huon, tamar = 0, 2
	for _, c := range []cutOff{
		{"storeOut", true, -1, -1, false},
		{"regionCut", false, tamar, -1, true},
		{"storeRegionCut", false, huon, -1, true},
		{"storeRegionLost", true, -1, huon, false},
	} {
		for _, r := range []rule{
			{"refuse", 0, 1 << 20, ""},
			{"serveOn", time.Hour, 9, ""},
			{"majority", 0, 9, ""},
			{"majorityAndStoreRegion", 0, 9, "huon"},
		} {
			b.Run(c.name+"/"+r.name, func(b *testing.B) {
				for b.Loop() {
					refused, superseded := c.play(r)
					b.ReportMetric(refused.Seconds(), "refused-s")
					b.ReportMetric(superseded.Seconds(), "superseded-s")
				}
			})
		}
	}
}

func (c cutOff) play(r rule) (refused, superseded time.Duration) {
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
		if i/3 == c.lost {
			alive--
		}
		for j := range m.nodes {
			m.cut[[2]int{i, j}] = (i/3 == c.cut) != (j/3 == c.cut) || i/3 == c.lost || j/3 == c.lost
		}
		// The store is in the first region.
		m.cutStore[i] = c.cut >= 0 && (i/3 == c.cut) != (c.cut == 0)
	}
	for t := time.Duration(0); t < 5*time.Minute; t += tick {
		if c.drain && t == time.Minute {
			m.publish()
		}
		m.step(tick)
		for i, s := range m.nodes {
			held, _ := s.Current()
			switch {
			case i/3 == c.lost:
			case s.MayServe() != nil:
				refused += tick
			case int(held.Revision) < len(m.accepted):
				superseded += tick
			}
		}
	}
	return refused / time.Duration(alive), superseded / time.Duration(alive)
}
