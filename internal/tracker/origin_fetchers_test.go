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

func newSteppedTracker() (*tracker.Tracker, *clocktesting.FakeClock) {
	c := clocktesting.NewFakeClock(time.Unix(1_800_000_000, 0))
	return &tracker.Tracker{Clock: c, Stale: 10 * time.Second, Seed: 1}, c
}

func agentState(region string, i int, have ...byte) messenger.AgentState {
	return messenger.AgentState{
		ID: fmt.Sprintf("%s-%d", region, i), Region: region, FailureDomain: region, Sequence: 1,
		Holdings: []messenger.Holding{{Manifest: manifest, Chunks: 8, Have: have}},
	}
}

func TestHoldersAreFewAndIncludeTheOriginFetchers(t *testing.T) {
	tr, _ := newSteppedTracker()
	for i := range 500 {
		tr.Report(agentState("huon", i, byte(i)))
	}
	originFetchers := ids(tr.OriginFetchers())
	must.MapLen(t, planner.OriginFetchersPerRegion, originFetchers)
	for i := range 20 {
		s := agentState("huon", i, byte(i))
		ids := ids(tr.Holders(s, []string{manifest}))
		must.LessEq(t, tracker.MaxHolders, len(ids))
		must.False(t, ids[s.ID])
		for d := range originFetchers {
			must.True(t, ids[d] || d == s.ID)
		}
	}
}

func TestDeadOriginFetcherIsReplaced(t *testing.T) {
	// An origin fetcher's VM is lost without a shutdown message. If it were still listed, each
	// agent would wait for its chunks until the agent's own request failed.
	tr, c := newSteppedTracker()
	for i := range 50 {
		tr.Report(agentState("huon", i))
	}
	dead := tr.OriginFetchers()[0].ID
	c.Step(8 * time.Second)
	for i := range 50 {
		if s := agentState("huon", i); s.ID != dead {
			s.Sequence = 2
			tr.Report(s)
		}
	}
	c.Step(8 * time.Second)
	must.False(t, ids(tr.OriginFetchers())[dead])
	must.False(t, ids(tr.Holders(agentState("huon", 99), []string{manifest}))[dead])
	must.MapLen(t, planner.OriginFetchersPerRegion, ids(tr.OriginFetchers()))
}

func TestMergedOriginFetchersExpire(t *testing.T) {
	// Two entries receive reports of half of the agents each. They exchange their origin
	// fetchers, so that both elect the same ones. When an agent dies, neither entry may keep
	// it alive because the other lists it.
	a, ca := newSteppedTracker()
	b, cb := newSteppedTracker()
	for i := range 40 {
		if i%2 == 0 {
			a.Report(agentState("huon", i))
		} else {
			b.Report(agentState("derwent", i))
		}
	}
	requester := agentState("derwent", 1)
	for _, d := range b.OriginFetchers() {
		if d.ID != requester.ID {
			requester.ID = d.ID
		}
	}
	b.MergeOriginFetchers(a.OriginFetchers())
	must.MapContainsKeys(t, ids(b.Holders(requester, []string{manifest})), []string{a.OriginFetchers()[0].ID})
	must.MapLen(t, planner.OriginFetchersPerRegion, ids(b.OriginFetchers()))
	for range 5 {
		ca.Step(5 * time.Second)
		cb.Step(5 * time.Second)
		a.MergeOriginFetchers(b.OriginFetchers())
		b.MergeOriginFetchers(a.OriginFetchers())
	}
	must.SliceEmpty(t, a.OriginFetchers())
	must.SliceEmpty(t, b.Holders(requester, []string{manifest}))
}
