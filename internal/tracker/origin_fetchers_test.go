package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
	"github.com/oriolecroft/oriolecroft/internal/tracker"
)

const manifest = "sha256:m"

func stepped() (*tracker.Tracker, *clocktesting.FakeClock) {
	c := clocktesting.NewFakeClock(time.Unix(1_800_000_000, 0))
	return &tracker.Tracker{Clock: c, Stale: 10 * time.Second, Seed: 1}, c
}

func state(region string, i int, have ...byte) messenger.AgentState {
	return messenger.AgentState{
		ID: fmt.Sprintf("%s-%d", region, i), Region: region, FailureDomain: region, Sequence: 1,
		Holdings: []messenger.Holding{{Manifest: manifest, Chunks: 8, Have: have}},
	}
}

func TestHoldersAreFewAndNameTheOriginFetchers(t *testing.T) {
	tr, _ := stepped()
	for i := range 500 {
		tr.Report(state("huon", i, byte(i)))
	}
	originFetchers := ids(tr.OriginFetchers())
	must.MapLen(t, planner.OriginFetchersPerRegion, originFetchers)
	for i := range 20 {
		s := state("huon", i, byte(i))
		ids := ids(tr.Holders(s, []string{manifest}))
		must.LessEq(t, tracker.MaxHolders, len(ids))
		must.False(t, ids[s.ID])
		for d := range originFetchers {
			must.True(t, ids[d] || d == s.ID)
		}
	}
}

func TestDeadOriginFetcherIsReplaced(t *testing.T) {
	// An origin fetcher's VM is lost and says no goodbye. Were it still named, its chunks
	// would be waited for until each agent finds out for itself.
	tr, c := stepped()
	for i := range 50 {
		tr.Report(state("huon", i))
	}
	dead := tr.OriginFetchers()[0].ID
	c.Step(8 * time.Second)
	for i := range 50 {
		if s := state("huon", i); s.ID != dead {
			s.Sequence = 2
			tr.Report(s)
		}
	}
	c.Step(8 * time.Second)
	must.False(t, ids(tr.OriginFetchers())[dead])
	must.False(t, ids(tr.Holders(state("huon", 99), []string{manifest}))[dead])
	must.MapLen(t, planner.OriginFetchersPerRegion, ids(tr.OriginFetchers()))
}

func TestIntroducedOriginFetchersLapse(t *testing.T) {
	// Two entries know half of the agents each. They tell each other their origin fetchers,
	// so that both elect the same ones. When an agent dies, neither may keep it
	// alive by the other's word.
	a, ca := stepped()
	b, cb := stepped()
	for i := range 40 {
		if i%2 == 0 {
			a.Report(state("huon", i))
		} else {
			b.Report(state("derwent", i))
		}
	}
	asker := state("derwent", 1)
	for _, d := range b.OriginFetchers() {
		if d.ID != asker.ID {
			asker.ID = d.ID
		}
	}
	b.Introduce(a.OriginFetchers())
	must.MapContainsKeys(t, ids(b.Holders(asker, []string{manifest})), []string{a.OriginFetchers()[0].ID})
	must.MapLen(t, planner.OriginFetchersPerRegion, ids(b.OriginFetchers()))
	for range 5 {
		ca.Step(5 * time.Second)
		cb.Step(5 * time.Second)
		a.Introduce(b.OriginFetchers())
		b.Introduce(a.OriginFetchers())
	}
	must.SliceEmpty(t, a.OriginFetchers())
	must.SliceEmpty(t, b.Holders(asker, []string{manifest}))
}
