package loader_test

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// chunkRequests returns how often the origin was asked for chunks of the weights.
func (o *origin) chunkRequests(w weights) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, c := range w.manifest.Chunks {
		n += o.requests[c]
	}
	return n
}

func (o *origin) setFault(fault func(digest string, asked int) ([]byte, error)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault = fault
}

var errDown = &fetcher.UnavailableError{Source: "origin", Status: http.StatusServiceUnavailable}

// failAfter returns the fault of an origin that fails after so many responses.
func failAfter(answers int) func(string, int) ([]byte, error) {
	given := 0
	return func(string, int) ([]byte, error) {
		given++
		if given > answers {
			return nil, errDown
		}
		return nil, nil
	}
}

// newPeer serves the chunk requests to an agent by the test's own handler. The agent claims to hold
// all chunks of the weights.
func (n *network) newPeer(t *testing.T, id string, w weights, chunk http.HandlerFunc) messenger.Holder {
	all := planner.NewBitmap(len(w.manifest.Chunks))
	for i := range w.manifest.Chunks {
		all.Set(i)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chunks/{digest}", chunk)
	mux.HandleFunc("GET /manifests/{digest}", func(rw http.ResponseWriter, _ *http.Request) { rw.Write(w.body) })
	mux.HandleFunc("GET /holdings/{manifest}", func(rw http.ResponseWriter, _ *http.Request) { rw.Write(all) })
	s := n.serve(t, mux)
	return messenger.Holder{
		ID: id, FailureDomain: "a", Region: "huon", Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
		Holding: messenger.Holding{Manifest: w.digest, Chunks: len(all) * 8, Have: all},
	}
}

func TestCorruptChunkFromPeer(t *testing.T) {
	// A peer's memory is faulty, and each chunk that it sends has one wrong byte. If it were
	// accepted, an engine would serve from wrong weights. The chunk is discarded, the peer isn't
	// asked again, and no other agent gets the wrong bytes from this one.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 30)
		o := newOrigin(w)
		var requests atomic.Int32
		bad := n.newPeer(t, "vm-bad", w, func(rw http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			body := bytes.Clone(o.bodies[r.PathValue("digest")])
			body[len(body)/2] ^= 1
			rw.Write(body)
		})
		a := n.startAgent(t, "vm-0", o)
		a.SetHolders([]messenger.Holder{bad})
		a.Want([]string{w.digest})
		a.await(t, w)
		must.Between(t, 1, requests.Load(), 4)
		must.Eq(t, int(requests.Load()), a.Progress()[0].Corrupt)
		must.Eq(t, 0, a.Progress()[0].FromPeers)
	})
}

func TestUnverifiedSourceIsVerified(t *testing.T) {
	// A source returns data without checking it. The loader must not rely on the checks of each
	// source, or one wrong chunk would spread to all agents.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 10)
		corrupting := newOrigin(w)
		corrupting.setFault(func(digest string, _ int) ([]byte, error) {
			if digest == w.digest {
				return nil, nil
			}
			return make([]byte, 1000), nil
		})
		good := newOrigin(w)
		a := n.startAgent(t, "vm-0", corrupting, good)
		a.Want([]string{w.digest})
		a.await(t, w)
	})
}

func TestCorruptChunkFromOrigin(t *testing.T) {
	// The origin's disk or link flips bits occasionally: each chunk is corrupt in its first
	// response. The agent must retry until the bytes are right, or a roll-out never finishes.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 10)
		o := newOrigin(w)
		o.setFault(func(digest string, asked int) ([]byte, error) {
			if asked == 1 && digest != w.digest {
				return make([]byte, 1000), nil
			}
			return nil, nil
		})
		a := n.startAgent(t, "vm-0", o)
		a.Want([]string{w.digest})
		a.await(t, w)
		must.Eq(t, 10, a.Progress()[0].Corrupt)
	})
}

func TestPeerCrashesDuringChunk(t *testing.T) {
	// A VM is lost while it sends a chunk, so the connection breaks after half the bytes. If the
	// half were accepted as the chunk, the weights would be wrong; if the chunk were dropped, they
	// would never be complete.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 20)
		o := newOrigin(w)
		crashing := n.newPeer(t, "vm-dying", w, func(rw http.ResponseWriter, r *http.Request) {
			body := bytes.Clone(o.bodies[r.PathValue("digest")])
			rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
			rw.Write(body[:len(body)/2])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		})
		a := n.startAgent(t, "vm-0", o)
		a.SetHolders([]messenger.Holder{crashing})
		a.Want([]string{w.digest})
		a.await(t, w)
		must.Eq(t, 0, a.Progress()[0].Corrupt)
	})
}

func TestStalledLink(t *testing.T) {
	// The link to a peer stalls: the connection stays open, and after half a chunk nothing more
	// arrives. TCP reports nothing for a long time. Without a timeout the chunk stays in flight and
	// the engine waits for it forever.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 20)
		o := newOrigin(w)
		ended := make(chan struct{})
		stalled := n.newPeer(t, "vm-stalled", w, func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", "1000")
			rw.Write(make([]byte, 500))
			_ = http.NewResponseController(rw).Flush()
			<-ended
		})
		t.Cleanup(func() { close(ended) })
		a := n.startAgent(t, "vm-0", o)
		a.Peer = func(at netip.AddrPort) fetcher.Source {
			return &fetcher.HTTP{Address: at, Timeout: 100 * time.Millisecond, Client: n.client}
		}
		a.SetHolders([]messenger.Holder{stalled})
		a.Want([]string{w.digest})
		a.await(t, w)
	})
}

func TestNewerVersionStopsOlderTransfer(t *testing.T) {
	// Operators roll out v2 while half of v1 has arrived and the rest of v1 is slow. If v1 were
	// completed first, v2 would wait for unwanted bytes.
	inBubble(t, func(t *testing.T, n *network) {
		v1, v2 := publish("v1", 20), publish("v2", 20)
		o := newOrigin(v1, v2)
		o.setFault(failAfter(11))
		a := n.startAgent(t, "vm-0", o)
		a.Want([]string{v1.digest})
		a.awaitChunks(t, v1, 10)
		a.Want([]string{v2.digest})
		o.setFault(nil)
		before := o.chunkRequests(v1)
		a.await(t, v2)
		// A fetch that was already on its way may still have reached the origin.
		must.LessEq(t, before+4, o.chunkRequests(v1))
		_, whole := a.Complete(v1.digest)
		must.False(t, whole)
	})
}

func TestNearlyCompleteOlderVersionIsFinished(t *testing.T) {
	// v2 is rolled out when one chunk of v1 is missing. If v1 were dropped, it could not serve
	// before v2 or after a rollback; completing it costs one chunk.
	inBubble(t, func(t *testing.T, n *network) {
		v1, v2 := publish("v1", 20), publish("v2", 20)
		o := newOrigin(v1, v2)
		o.setFault(func(digest string, _ int) ([]byte, error) {
			if digest == v1.manifest.Chunks[7] {
				return nil, errDown
			}
			return nil, nil
		})
		a := n.startAgent(t, "vm-0", o)
		a.Want([]string{v1.digest})
		a.awaitChunks(t, v1, 19)
		a.Want([]string{v2.digest})
		o.setFault(nil)
		a.await(t, v1)
		a.await(t, v2)
	})
}

func TestRollbackToVersionInMemory(t *testing.T) {
	// v2 is faulty and operators roll back to v1, which is still in memory, while the origin is
	// down. The rollback must fetch nothing, or callers stay on the faulty version until the origin
	// is back.
	inBubble(t, func(t *testing.T, n *network) {
		v1, v2 := publish("v1", 20), publish("v2", 20)
		o := newOrigin(v1, v2)
		a := n.startAgent(t, "vm-0", o)
		a.Want([]string{v1.digest})
		a.await(t, v1)
		a.Want([]string{v2.digest})
		a.await(t, v2)
		o.setFault(func(string, int) ([]byte, error) { return nil, errDown })
		before := o.chunkRequests(v1)
		a.Want([]string{v1.digest})
		_, whole := a.Complete(v1.digest)
		must.True(t, whole)
		a.await(t, v1)
		must.Eq(t, before, o.chunkRequests(v1))
	})
}

func TestOriginDown(t *testing.T) {
	// The weight store and the origin are down: before the manifest has arrived, in the middle, or
	// when only the last chunks are missing. If an agent gave up or never retried, a roll-out would
	// never end.
	for name, chunks := range map[string]int{"start": -1, "middle": 10, "end": 18} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, n *network) {
				w := publish("v1", 20)
				o := newOrigin(w)
				o.setFault(failAfter(chunks + 1))
				a := n.startAgent(t, "vm-0", o, o)
				a.Want([]string{w.digest})
				if chunks > 0 {
					a.awaitChunks(t, w, chunks)
				}
				o.setFault(nil)
				a.await(t, w)
			})
		})
	}
}

func TestTwoVersionsShareChunks(t *testing.T) {
	// v1 and v2 are fetched at once and share half of their chunks. If a chunk were stored under
	// the wrong version or index, an engine would load weights mixed from both. Shared chunks are
	// fetched once.
	inBubble(t, func(t *testing.T, n *network) {
		v1 := publish("v1", 20)
		v2 := pack("v2", append(bytes.Clone(v1.bytes[:10000]), publish("v2", 20).bytes[10000:]...))
		o := newOrigin(v1, v2)
		a := n.startAgent(t, "vm-0", o)
		a.Want([]string{v2.digest, v1.digest})
		a.await(t, v1)
		a.await(t, v2)
		for _, c := range v2.manifest.Chunks[:10] {
			must.Eq(t, 1, o.requests[c])
		}
	})
}

func TestMemoryFull(t *testing.T) {
	// The VM's memory fits one version, and the engine runs on v1 when v2 is rolled out. Evicting
	// v1 would leave a restarted engine without weights; admitting both would get the process
	// killed. v2 waits, with Refused set, until v1 is not kept any more.
	inBubble(t, func(t *testing.T, n *network) {
		v1, v2 := publish("v1", 20), publish("v2", 20)
		o := newOrigin(v1, v2)
		a := n.startAgent(t, "vm-0", o)
		a.Memory = 30_000
		a.Keep(v1.digest)
		a.Want([]string{v1.digest})
		a.await(t, v1)
		a.Want([]string{v2.digest, v1.digest})
		a.awaitProgress(t, v2, func(p loader.Progress) bool { return p.Refused })
		must.Eq(t, 0, o.chunkRequests(v2))
		a.await(t, v1)
		a.Keep(v2.digest)
		a.await(t, v2)
		_, whole := a.Complete(v1.digest)
		must.False(t, whole)
	})
}

func TestEvictionKeepsOpenReader(t *testing.T) {
	// The engine is reading v1 when a bundle without v1 makes the loader evict it. The engine must
	// still get all bytes of v1, or it loads a mixture.
	inBubble(t, func(t *testing.T, n *network) {
		v1, v2 := publish("v1", 20), publish("v2", 20)
		a := n.startAgent(t, "vm-0", newOrigin(v1, v2))
		a.Memory = 30_000
		a.Want([]string{v1.digest})
		a.await(t, v1)
		r, err := a.Weights(v1.digest)
		must.NoError(t, err)
		a.Want([]string{v2.digest})
		a.await(t, v2)
		got, err := io.ReadAll(r)
		must.NoError(t, err)
		must.Eq(t, v1.bytes, got)
	})
}

func TestLoaderRestarts(t *testing.T) {
	// The supervisor stops the loader during a transfer and starts it again. Verified chunks are
	// still in memory, and the rest must be fetched.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 20)
		o := newOrigin(w)
		o.setFault(func(digest string, _ int) ([]byte, error) {
			if digest == w.manifest.Chunks[3] {
				return nil, errDown
			}
			return nil, nil
		})
		a := n.newAgent(t, "vm-0", o)
		stop := a.run(t)
		a.Want([]string{w.digest})
		a.awaitChunks(t, w, 19)
		stop()
		o.setFault(nil)
		before := o.chunkRequests(w)
		t.Cleanup(a.run(t))
		a.await(t, w)
		must.Eq(t, before+1, o.chunkRequests(w))
	})
}

func TestHoldersFromSeveralEntries(t *testing.T) {
	// An agent reports to two entries, and only one of them has a report of the agent that holds
	// the weights. If the empty response of the other replaced it, the origin would send a copy
	// that an agent already has.
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 20)
		o := newOrigin(w)
		a := n.startAgent(t, "vm-0", o)
		a.SetHolders([]messenger.Holder{n.newPeer(t, "vm-1", w, func(rw http.ResponseWriter, r *http.Request) {
			rw.Write(o.bodies[r.PathValue("digest")])
		})})
		a.SetHolders(nil)
		a.Want([]string{w.digest})
		a.await(t, w)
		must.Eq(t, 0, a.Progress()[0].FromOrigin)
	})
}
