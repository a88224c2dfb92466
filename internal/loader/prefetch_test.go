package loader_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// startPrefetching starts agents that want the first of two versions and prefetch the second.
func (n *network) startPrefetching(t *testing.T, o *origin, first, second weights) []*agent {
	var agents []*agent
	var holders []messenger.Holder
	for _, id := range []string{"vm-0", "vm-1", "vm-2"} {
		a := n.startAgent(t, id, o)
		agents = append(agents, a)
		holders = append(holders, a.holder(first.digest), a.holder(second.digest))
	}
	for _, a := range agents {
		a.Want([]string{first.digest})
		a.Prefetch([]string{second.digest})
		a.SetHolders(holders)
	}
	return agents
}

// heldChunks returns how many chunks of a version an agent has.
func (a *agent) heldChunks(w weights) int {
	for _, p := range a.Progress() {
		if p.Manifest == w.digest {
			return p.Chunks
		}
	}
	return 0
}

func originDown(string, int) ([]byte, error) {
	return nil, &fetcher.UnavailableError{Source: "origin"}
}

// Guards against an idle origin: one that fails between the announcements of two versions must not
// keep the second from all agents until it returns.
func TestPrefetchedVersionSurvivesOriginFailure(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		first, second := publish("v1", 12), publish("v2", 12)
		o := newOrigin(first, second)
		agents := n.startPrefetching(t, o, first, second)
		fetched := 0
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			fetched = 0
			for _, a := range agents {
				fetched += a.heldChunks(second)
			}
			if fetched >= len(second.manifest.Chunks) {
				break
			}
		}
		must.Eq(t, len(second.manifest.Chunks), fetched, must.Sprint("each chunk must be fetched by one agent, and not served to others yet"))
		o.mu.Lock()
		o.fault = originDown
		o.mu.Unlock()
		for _, a := range agents {
			a.await(t, first)
			a.Want([]string{second.digest, first.digest})
			a.Prefetch(nil)
		}
		for _, a := range agents {
			a.await(t, second)
		}
	})
}

// Guards against a prefetch that delays the version being fetched.
func TestPrefetchWaitsForTheWantedVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		first, second := publish("v1", 12), publish("v2", 12)
		o := newOrigin(first, second)
		missing := first.manifest.Chunks[3]
		o.fault = func(digest string, _ int) ([]byte, error) {
			if digest == missing {
				return nil, &fetcher.UnavailableError{Source: "origin"}
			}
			return nil, nil
		}
		agents := n.startPrefetching(t, o, first, second)
		time.Sleep(2 * time.Second)
		for _, a := range agents {
			must.Eq(t, 0, a.heldChunks(second), must.Sprint("a chunk of the wanted version is still missing"))
		}
		o.mu.Lock()
		o.fault = nil
		o.mu.Unlock()
		for _, a := range agents {
			a.await(t, first)
		}
	})
}

// Guards against a prefetch that evicts weights in use.
func TestPrefetchEvictsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		first, second := publish("v1", 12), publish("v2", 12)
		a := n.newAgent(t, "vm-0", newOrigin(first, second))
		a.Memory = first.manifest.Size + second.manifest.Size/2
		t.Cleanup(a.run(t))
		a.Want([]string{first.digest})
		a.Prefetch([]string{second.digest})
		a.SetHolders(nil)
		a.await(t, first)
		time.Sleep(time.Second)
		must.Eq(t, 0, a.heldChunks(second))
		a.awaitProgress(t, first, func(p loader.Progress) bool { return p.Chunks == p.AllChunks })
	})
}
