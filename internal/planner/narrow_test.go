package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// smallBurst is a deployment of a few engines per region, each link as fast as the
// origin's.
func smallBurst(machines int, seed uint64) burst {
	const size = 96 * 24576
	return burst{
		machines: machines, chunks: 96, size: size, window: 2 * 2585 * time.Millisecond,
		originCopies: 2, regions: 3, regionRate: 20e6 / 8, seed: seed,
		settings: agentSettings{slots: 3, originSlots: 2, waitLimit: 500 * time.Millisecond, poll: 100 * time.Millisecond, originBackoff: 300 * time.Millisecond,
			originDelay: 60 * time.Millisecond, heartbeat: 100 * time.Millisecond, chunksReport: true, maxQueries: 4, requestsReport: true},
	}
}

// Guards against a few narrow links that delay new weights everywhere, during which
// callers are refused. Some of the agents that fetch from the origin or from other
// regions have links reduced to an eighth. They answer all calls, slowly, and all others
// wait for the chunks assigned to them.
func TestNarrowLinksDoNotDelayAllAgents(t *testing.T) {
	for _, narrow := range [][]string{{"region-0"}, {"region-1"}, {"region-0", "region-2"}, {"region-0", "region-0"}} {
		t.Run(strings.Join(narrow, ","), func(t *testing.T) {
			for seed := range uint64(8) {
				b := smallBurst(15, seed)
				baseline, stuck := newModel(b).run()
				must.False(t, stuck)
				b.narrowFactor, b.narrowRegions = 0.125, narrow
				m := newModel(b)
				took, stuck := m.run()
				must.False(t, stuck)
				t.Logf("seed %d: %v with narrow links, %v without, %.2f copies from the origin", seed, took, baseline, m.originBytes/m.size)
				must.Less(t, baseline*3/2, took)
				must.Less(t, 1.2, m.originBytes/m.size)
			}
		})
	}
}

// Guards against narrow links of one or two of a region's four origin fetchers in a large deployment,
// where a tenth of the VMs get narrow links just after an announcement. Most agents never fetched from
// these and can't detect that they are slow: many others occupy their upload slots. Chunks assigned to
// them are missing everywhere. Weights arrived after 6 to 13 s instead of 4 s, and once the old ones
// expired, all callers were refused.
func TestNarrowOriginFetchersAmongManyAgents(t *testing.T) {
	for _, c := range []struct {
		narrow []string
		// maxRatio bounds the duration relative to that without narrow links.
		maxRatio float64
	}{
		{[]string{"region-0", "region-0"}, 1.5},
		{[]string{"region-1"}, 1.5},
		{[]string{"region-0", "region-1", "region-2", "region-3"}, 1.9},
		{[]string{"region-1", "region-1", "region-2", "region-2"}, 2.2},
	} {
		t.Run(strings.Join(c.narrow, ","), func(t *testing.T) {
			for seed := range uint64(4) {
				b := smallBurst(76, seed)
				b.regions, b.regionRate = 4, 24e6/8
				baseline, stuck := newModel(b).run()
				must.False(t, stuck)
				b.narrowFactor, b.narrowRegions = 0.09, c.narrow
				m := newModel(b)
				took, stuck := m.run()
				must.False(t, stuck)
				t.Logf("seed %d: %v with narrow links, %v without, %.2f copies from the origin", seed, took, baseline, m.originBytes/m.size)
				must.Less(t, time.Duration(c.maxRatio*float64(baseline)), took)
				must.Less(t, 1.4, m.originBytes/m.size)
			}
		})
	}
}

// Guards against slow recovery from an outage of the origin, which goes down with nine
// tenths of a version fetched and recovers six seconds later. Old weights may serve for
// little longer: until the last chunks reach all agents in all regions, callers are
// refused.
func TestLastChunksArriveSoonAfterTheOriginRecovers(t *testing.T) {
	for seed := range uint64(8) {
		b := smallBurst(76, seed)
		b.regions = 4
		b.originDown = [2]time.Duration{2500 * time.Millisecond, 8500 * time.Millisecond}
		took, stuck := newModel(b).run()
		must.False(t, stuck)
		t.Logf("seed %d: complete %v after the origin recovered", seed, took-b.originDown[1])
		must.Less(t, 1300*time.Millisecond, took-b.originDown[1])
	}
}
