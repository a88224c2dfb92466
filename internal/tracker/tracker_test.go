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

// agent holds the chunks in a bitmap of eight.
func agent(n int, region string, have byte) messenger.AgentState {
	return messenger.AgentState{
		ID: fmt.Sprintf("vm-%03d", n), Incarnation: "i", Region: region, Sequence: 1,
		Holdings: []messenger.Holding{{Manifest: "m", Chunks: 8, Have: []byte{have}}},
	}
}

func newTracker() (*tracker.Tracker, *clocktesting.FakePassiveClock) {
	c := clocktesting.NewFakePassiveClock(time.Unix(0, 0))
	return &tracker.Tracker{Clock: c, Seed: 1}, c
}

func ids(hs []messenger.Holder) map[string]bool {
	names := map[string]bool{}
	for _, h := range hs {
		names[h.ID] = true
	}
	return names
}

// Hundreds of agents want one version. Each must be told of a handful only, and
// none of itself or of the same one twice, or the answers would grow with the fleet.
func TestHoldersAreAHandful(t *testing.T) {
	k, _ := newTracker()
	for n := range 300 {
		k.Report(agent(n, []string{"huon", "tamar"}[n%2], 0xff))
	}
	for n := range 300 {
		a := agent(n, []string{"huon", "tamar"}[n%2], 0)
		hs := k.Holders(a, []string{"m"})
		must.Between(t, 2, len(hs), tracker.MaxHolders+tracker.MaxRemote)
		must.MapLen(t, len(hs), ids(hs))
		must.False(t, ids(hs)[a.ID])
		remote := 0
		for _, h := range hs {
			if h.Region != a.Region {
				remote++
			}
		}
		must.LessEq(t, planner.OriginFetchersPerRegion, remote)
	}
	must.SliceEmpty(t, k.Holders(agent(0, "huon", 0), []string{"other"}))
}

// Most agents of the region hold nothing yet and a few hold all. The asker must
// hear of one that can give it something.
func TestUsefulHoldersAreNamed(t *testing.T) {
	k, _ := newTracker()
	for n := range 12 {
		k.Report(agent(n, "huon", 0))
	}
	k.Report(agent(50, "huon", 0xff))
	must.True(t, ids(k.Holders(agent(60, "huon", 0), []string{"m"}))["vm-050"])
	whole, partial, bytes := k.Counts("m")
	must.Eq(t, 1, whole)
	must.Eq(t, 0, partial)
	must.Eq(t, int64(13), bytes)
}

// Agents die, leave, drop a version, or are heard of by an old report on a slow
// connection. Named on, they would cost each asker its patience.
func TestGoneHoldersAreNotNamed(t *testing.T) {
	asker := agent(60, "huon", 0)
	for name, gone := range map[string]func(*tracker.Tracker, *clocktesting.FakePassiveClock){
		"removed": func(k *tracker.Tracker, _ *clocktesting.FakePassiveClock) { k.Remove("vm-001") },
		"silent": func(_ *tracker.Tracker, c *clocktesting.FakePassiveClock) {
			c.SetTime(c.Now().Add(tracker.DefaultStale + time.Second))
		},
		"leaving": func(k *tracker.Tracker, _ *clocktesting.FakePassiveClock) {
			a := agent(1, "huon", 0xff)
			a.Sequence, a.Leaving = 2, true
			k.Report(a)
		},
		"dropped, then an old report": func(k *tracker.Tracker, _ *clocktesting.FakePassiveClock) {
			a := agent(1, "huon", 0xff)
			a.Sequence, a.Holdings = 2, nil
			k.Report(a)
			k.Report(agent(1, "huon", 0xff))
		},
	} {
		t.Run(name, func(t *testing.T) {
			k, c := newTracker()
			k.Report(agent(1, "huon", 0xff))
			must.SliceLen(t, 1, k.Holders(asker, []string{"m"}))
			gone(k, c)
			must.SliceEmpty(t, k.Holders(asker, []string{"m"}))
		})
	}
}

// An agent was replaced, and its successor counts its reports from one again. It
// has nothing in memory, whatever the one before had.
func TestReplacedAgentStartsAnew(t *testing.T) {
	k, _ := newTracker()
	a := agent(1, "huon", 0xff)
	a.Sequence = 900
	k.Report(a)
	b := agent(1, "huon", 0)
	b.Incarnation = "j"
	k.Report(b)
	whole, partial, _ := k.Counts("m")
	must.Eq(t, 0, whole+partial)
}
