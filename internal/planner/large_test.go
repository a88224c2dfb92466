package planner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// firstSwitchDelay is the most time from the announcement of a version until the first engine
// loads it: half of the bound of ten seconds.
const firstSwitchDelay = 5 * time.Second

// maxOriginCopies is how many copies of a version the origin may send without faults of
// agents.
const maxOriginCopies = 1.2

// largeBurst is a deployment of a hundred and fifty engines, whose links carry requests, queries
// for holdings and the headers of chunks besides the chunks.
func largeBurst(seed uint64) burst {
	b := smallBurst(153, seed)
	b.regions, b.regionRate = 5, 24e6/8
	b.settings.queryBytes, b.settings.requestShare, b.settings.uploadShare = 250, 0.05, 0.88
	return b
}

// Guards against queries for holdings that saturate the links of origin fetchers as agents are
// added.
func TestQueriesLeaveBandwidthForChunks(t *testing.T) {
	for seed := range uint64(4) {
		b := largeBurst(seed)
		m := newModel(b)
		took, stuck := m.run()
		must.False(t, stuck)
		t.Logf("seed %d: %v, %.2f copies from the origin, %.2f between regions", seed, took, m.originBytes/m.size, m.crossRegionBytes/m.size)
		must.Less(t, firstSwitchDelay, took)
		must.Less(t, maxOriginCopies, m.originBytes/m.size)
	}
}

// Guards against all agents fetching chunks out of turn when the origin recovers from an outage.
func TestOnlyOriginFetchersUseTheOriginAfterAnOutage(t *testing.T) {
	for seed := range uint64(4) {
		b := largeBurst(seed)
		b.originDown = [2]time.Duration{500 * time.Millisecond, 6500 * time.Millisecond}
		m := newModel(b)
		took, stuck := m.run()
		must.False(t, stuck)
		t.Logf("seed %d: %v after the outage, %.2f copies from the origin", seed, took-b.originDown[1], m.originBytes/m.size)
		must.Less(t, firstSwitchDelay, took-b.originDown[1])
		must.Less(t, maxOriginCopies, m.originBytes/m.size)
	}
}
