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

func newTracker() (*tracker.Tracker, *clocktesting.FakeClock) {
	c := clocktesting.NewFakeClock(time.Unix(1_800_000_000, 0))
	return &tracker.Tracker{Clock: c, Stale: 10 * time.Second, Seed: 1}, c
}

func state(region string, i int, have ...byte) messenger.AgentState {
	return messenger.AgentState{
		ID: fmt.Sprintf("%s-%d", region, i), Region: region, FailureDomain: region, Sequence: 1,
		Holdings: []messenger.Holding{{Manifest: manifest, Chunks: 8, Have: have}},
	}
}

func names(hs []messenger.Holder) map[string]bool {
	ids := map[string]bool{}
	for _, h := range hs {
		ids[h.ID] = true
	}
	return ids
}

func TestHoldersAreFewAndNameTheDrawers(t *testing.T) {
	tr, _ := newTracker()
	for i := range 500 {
		tr.Report(state("huon", i, byte(i)))
	}
	drawers := names(tr.Drawers())
	must.MapLen(t, planner.Drawers, drawers)
	for i := range 20 {
		s := state("huon", i, byte(i))
		ids := names(tr.Holders(s, []string{manifest}))
		must.LessEq(t, tracker.MaxHolders, len(ids))
		must.False(t, ids[s.ID])
		for d := range drawers {
			must.True(t, ids[d] || d == s.ID)
		}
	}
}

func TestDeadDrawerIsReplaced(t *testing.T) {
	// A drawer's VM is lost and says no goodbye. Were it still named, its chunks
	// would be waited for until each agent finds out for itself.
	tr, c := newTracker()
	for i := range 50 {
		tr.Report(state("huon", i))
	}
	dead := tr.Drawers()[0].ID
	c.Step(8 * time.Second)
	for i := range 50 {
		if s := state("huon", i); s.ID != dead {
			s.Sequence = 2
			tr.Report(s)
		}
	}
	c.Step(8 * time.Second)
	must.False(t, names(tr.Drawers())[dead])
	must.False(t, names(tr.Holders(state("huon", 99), []string{manifest}))[dead])
	must.MapLen(t, planner.Drawers, names(tr.Drawers()))
}

func TestLateAndOldReports(t *testing.T) {
	// A report that was overtaken on its way must not bring back what the agent has
	// evicted since: others would ask it in vain.
	tr, _ := newTracker()
	s := state("huon", 1, 0xff)
	s.Sequence = 5
	tr.Report(s)
	late := state("huon", 1, 0x01)
	tr.Report(late)
	whole, partial, _ := tr.Counts(manifest)
	must.Eq(t, 1, whole)
	must.Eq(t, 0, partial)
	s.Sequence, s.Holdings = 6, nil
	tr.Report(s)
	must.SliceEmpty(t, tr.Holders(state("huon", 2), []string{manifest}))
}

func TestIntroducedDrawersLapse(t *testing.T) {
	// Two entries know half of the agents each. They tell each other their drawers,
	// so that both elect the same ones. When an agent dies, neither may keep it
	// alive by the other's word.
	a, ca := newTracker()
	b, cb := newTracker()
	for i := range 40 {
		if i%2 == 0 {
			a.Report(state("huon", i))
		} else {
			b.Report(state("derwent", i))
		}
	}
	asker := state("derwent", 1)
	for _, d := range b.Drawers() {
		if d.ID != asker.ID {
			asker.ID = d.ID
		}
	}
	b.Introduce(a.Drawers())
	must.MapContainsKeys(t, names(b.Holders(asker, []string{manifest})), []string{a.Drawers()[0].ID})
	must.MapLen(t, planner.Drawers, names(b.Drawers()))
	for range 5 {
		ca.Step(5 * time.Second)
		cb.Step(5 * time.Second)
		a.Introduce(b.Drawers())
		b.Introduce(a.Drawers())
	}
	must.SliceEmpty(t, a.Drawers())
	must.SliceEmpty(t, b.Holders(asker, []string{manifest}))
}
