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

// agent returns the state of an agent that holds the chunks set in a bitmap of eight.
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

// Hundreds of agents want one version. Each must receive a few holders only, without
// itself and without duplicates, or the replies would grow with the fleet.
func TestHoldersAreFew(t *testing.T) {
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

// Most agents of the region hold nothing yet and a few hold all chunks. The requester must
// receive at least one that holds chunks it lacks.
func TestHoldersWithMissingChunksAreListed(t *testing.T) {
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

// Agents die, shut down, drop a version, or an old report arrives late on a slow
// connection. If they were still listed, each requester would wait for them in turn.
func TestUnavailableHoldersAreNotListed(t *testing.T) {
	requester := agent(60, "huon", 0)
	for name, removeAgent := range map[string]func(*tracker.Tracker, *clocktesting.FakePassiveClock){
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
			must.SliceLen(t, 1, k.Holders(requester, []string{"m"}))
			removeAgent(k, c)
			must.SliceEmpty(t, k.Holders(requester, []string{"m"}))
		})
	}
}

// An agent was replaced, and its successor counts its reports from one. The successor holds
// nothing in memory, regardless of its predecessor's holdings.
func TestReplacedAgentHoldsNothing(t *testing.T) {
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
