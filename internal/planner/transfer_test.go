package planner_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes results reproducible.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "300")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// cluster is a few agents with their fetches as counted by a simple oracle.
type cluster struct {
	now    time.Time
	chunks int
	agents []*planner.Transfer
	have   []map[int]bool
	// fetches maps each to its start time.
	fetches []map[planner.Order]time.Time
	// corrupt is when an agent last got a corrupt chunk from another.
	corrupt       map[[2]string]time.Time
	originFetches int
}

const avoidFor = time.Minute

func newCluster(agents, chunks int, seed uint64) *cluster {
	c := &cluster{now: time.Unix(1_800_000_000, 0), chunks: chunks, corrupt: map[[2]string]time.Time{}}
	for i := range agents {
		a := &planner.Transfer{
			ID: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("region-%d", i%2), Manifest: manifest,
			Chunks: chunks, SourceRegion: "region-0", Slots: 4, PeerSlots: 2, OriginSlots: 2, AcrossSlots: 3,
			Patience: time.Second, BusyBackoff: 100 * time.Millisecond, AvoidFor: avoidFor,
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		a.Start(c.now, nil)
		c.agents = append(c.agents, a)
		c.have = append(c.have, map[int]bool{})
		c.fetches = append(c.fetches, map[planner.Order]time.Time{})
	}
	return c
}

// updatePeers sets agent i's peers to all others with their holdings.
func (c *cluster) updatePeers(i int) {
	var ps []planner.Peer
	for j, a := range c.agents {
		if j != i {
			ps = append(ps, planner.Peer{ID: a.ID, Region: a.Region, Have: append(planner.Bitmap(nil), a.Have()...)})
		}
	}
	c.agents[i].SetPeers(ps, c.now)
}

func (c *cluster) index(id string) int {
	for i, a := range c.agents {
		if a.ID == id {
			return i
		}
	}
	return -1
}

// order starts one order of agent i and checks it against the oracle.
func (c *cluster) order(t must.T, i int) bool {
	a := c.agents[i]
	o, ok := a.Next(c.now)
	if !ok {
		return false
	}
	must.False(t, c.have[i][o.Chunk], must.Sprint("a held chunk is fetched again"))
	must.MapNotContainsKey(t, c.fetches[i], o, must.Sprint("the same fetch runs twice"))
	c.fetches[i][o] = c.now
	must.LessEq(t, a.Slots, c.recentFetches(i))
	must.LessEq(t, 2*a.Slots, len(c.fetches[i]))
	from, ok := o.Source.(planner.FromPeer)
	if !ok {
		c.originFetches++
		return true
	}
	perPeer := 0
	for other := range c.fetches[i] {
		if other.Source == o.Source {
			perPeer++
		}
	}
	must.LessEq(t, a.PeerSlots, perPeer)
	must.True(t, c.have[c.index(from.ID)][o.Chunk], must.Sprint("a peer is asked for a chunk that it never had"))
	if at, ok := c.corrupt[[2]string{a.ID, from.ID}]; ok {
		must.GreaterEq(t, avoidFor/2, c.now.Sub(at), must.Sprint("a peer that sent a corrupt chunk is asked again"))
	}
	return true
}

// recentFetches counts the fetches of agent i that can't be slow yet; slow ones may
// free their slots, but at most as many as there are.
func (c *cluster) recentFetches(i int) int {
	n := 0
	for _, started := range c.fetches[i] {
		if c.now.Sub(started) <= c.agents[i].Patience/2 {
			n++
		}
	}
	return n
}

// end ends a fetch of agent i, successfully or with the given cause.
func (c *cluster) end(i int, o planner.Order, good bool, cause planner.Cause) {
	delete(c.fetches[i], o)
	if good {
		c.agents[i].Done(o, c.now)
		c.have[i][o.Chunk] = true
		return
	}
	c.agents[i].Failed(o, cause, c.now)
	if from, ok := o.Source.(planner.FromPeer); ok && cause == planner.Corrupt {
		c.corrupt[[2]string{c.agents[i].ID, from.ID}] = c.now
	}
}

// firstFetch is the fetch of agent i with the lowest chunk, so that each run
// picks the same one.
func (c *cluster) firstFetch(i int) (planner.Order, bool) {
	var first planner.Order
	found := false
	for o := range c.fetches[i] {
		if !found || o.Chunk < first.Chunk || o.Chunk == first.Chunk && fmt.Sprint(o) < fmt.Sprint(first) {
			first, found = o, true
		}
	}
	return first, found
}

func TestTransferAgainstOracle(t *testing.T) {
	// Guards against bookkeeping errors: a chunk fetched twice, a slot lost
	// forever, or weights that are never complete. Chunks arrive, fail and are
	// corrupt in any order, while agents discover each other late. If all agents
	// fetched from the origin, all chunks would end up everywhere; the same must
	// hold here.
	rapid.Check(t, func(t *rapid.T) {
		n, chunks := rapid.IntRange(1, 6).Draw(t, "agents"), rapid.IntRange(1, 20).Draw(t, "chunks")
		c := newCluster(n, chunks, rapid.Uint64().Draw(t, "seed"))
		agent := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"meet":  func(t *rapid.T) { c.updatePeers(agent.Draw(t, "agent")) },
			"order": func(t *rapid.T) { c.order(t, agent.Draw(t, "agent")) },
			"wait": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"end": func(t *rapid.T) {
				i := agent.Draw(t, "agent")
				if o, ok := c.firstFetch(i); ok {
					c.end(i, o, rapid.Bool().Draw(t, "good"), planner.Cause(rapid.IntRange(0, 3).Draw(t, "cause")))
				}
			},
			"": func(t *rapid.T) {
				for i, a := range c.agents {
					must.Eq(t, len(c.have[i]), a.Count())
					must.Eq(t, len(c.fetches[i]), a.InFlight())
				}
			},
		})
		c.runToCompletion(t)
	})
}

// runToCompletion ends all fetches successfully until all agents have all
// chunks. In each round all agents order before any fetch ends.
func (c *cluster) runToCompletion(t must.T) {
	for range 10_000 {
		c.round(t, func(int, planner.Order) bool { return true })
		if c.complete() {
			return
		}
	}
	t.Fatalf("never complete")
}

func (c *cluster) round(t must.T, good func(int, planner.Order) bool) {
	for i := range c.agents {
		c.updatePeers(i)
	}
	for i := range c.agents {
		for c.order(t, i) {
			continue
		}
	}
	for i := range c.agents {
		for o, ok := c.firstFetch(i); ok; o, ok = c.firstFetch(i) {
			c.end(i, o, good(i, o), planner.Unavailable)
		}
	}
	c.now = c.now.Add(100 * time.Millisecond)
}

func (c *cluster) complete() bool {
	for _, a := range c.agents {
		if !a.Complete() {
			return false
		}
	}
	return true
}

func TestEachChunkIsFetchedFromOriginOnce(t *testing.T) {
	c := newCluster(12, 40, 1)
	c.runToCompletion(t)
	must.Eq(t, 40, c.originFetches)
}

func TestStalledOriginFetcherIsReplaced(t *testing.T) {
	// Guards against an origin fetcher that is alive and answers while its own link
	// to the origin is down. No call to it fails, so its chunks would stay missing in
	// all agents, and the roll-out would stop just short of its end.
	c := newCluster(6, 40, 1)
	for range 1000 {
		c.round(t, func(i int, o planner.Order) bool { return i != 0 || o.Source != planner.Source(planner.FromOrigin{}) })
	}
	must.True(t, c.complete())
	must.LessEq(t, 80, c.originFetches)
}

// Guards against requesting a chunk again that arrived from its second source while the
// first fetch still runs: it would take a slot and a link from missing chunks.
func TestHeldChunkIsNotFetchedAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := &planner.Transfer{ID: "vm-0", Region: "r", Manifest: manifest, Chunks: 2, Slots: 4, PeerSlots: 2, OriginSlots: 2, AcrossSlots: 3,
		Patience: time.Second, DrawAfter: now.Add(time.Hour), Rand: rand.New(rand.NewPCG(1, 1))}
	a.Start(now, nil)
	have := planner.NewBitmap(2)
	have.Set(0)
	a.SetPeers([]planner.Peer{{ID: "vm-1", Region: "r", Have: have}, {ID: "vm-2", Region: "r", Have: have}, {ID: "vm-3", Region: "r", Have: have}}, now)
	_, ok := a.Next(now)
	must.True(t, ok)
	now = now.Add(2 * time.Second)
	second, ok := a.Next(now)
	must.True(t, ok)
	a.Done(second, now)
	_, ok = a.Next(now.Add(20 * time.Second))
	must.False(t, ok)
}

// Guards against queries whose number grows with the agents while links are full of chunks, and
// against peers that are never queried again.
func TestQueriesGoToTheLeastRecentlyRefreshedPeers(t *testing.T) {
	const chunks, queries = 8, 2
	now := time.Unix(1_800_000_000, 0)
	a := &planner.Transfer{
		ID: "self", Region: "near", Manifest: manifest, Chunks: chunks, SourceRegion: "far",
		Slots: 3, PeerSlots: 1, OriginSlots: 1, AcrossSlots: 1, Questions: queries,
		Patience: time.Second, BusyBackoff: time.Second, AvoidFor: avoidFor, Rand: rand.New(rand.NewPCG(1, 1)),
	}
	a.Start(now, nil)
	whole := planner.NewBitmap(chunks)
	for i := range chunks {
		whole.Set(i)
	}
	peers := []planner.Peer{{ID: "whole", Region: "near", Have: whole}}
	for i := range 5 {
		peers = append(peers, planner.Peer{ID: fmt.Sprint("near-", i), Region: "near"})
	}
	a.SetPeers(peers, now)
	must.Len(t, 5, a.PeersToQuery(now), must.Sprint("nothing is in flight, and the complete peer isn't queried"))

	_, ok := a.Next(now)
	must.True(t, ok)
	now = now.Add(time.Second)
	a.SetHoldings("near-0", nil, now)
	asked := map[string]int{}
	for range 2 {
		now = now.Add(time.Second)
		ids := a.PeersToQuery(now)
		must.Len(t, queries, ids)
		for _, id := range ids {
			asked[id]++
		}
	}
	must.MapLen(t, 4, asked, must.Sprint("each peer once"))
	must.MapNotContainsKey(t, asked, "near-0")
}
