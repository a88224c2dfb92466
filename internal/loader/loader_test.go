package loader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// weights is a set of weights as a source publishes it.
type weights struct {
	digest   string
	body     []byte
	manifest fetcher.Manifest
	bytes    []byte
}

// publish creates weights of n chunks of 1000 bytes, the last one shorter.
func publish(version string, n int) weights {
	r := rand.New(rand.NewPCG(uint64(n), uint64(version[len(version)-1])))
	b := make([]byte, n*1000-300)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return pack(version, b)
}

// pack splits bytes into chunks and creates their manifest.
func pack(version string, b []byte) weights {
	w := weights{bytes: b}
	w.manifest = fetcher.Manifest{Model: "rota", Version: version, Size: int64(len(b)), ChunkSize: 1000}
	for i := range (len(b) + 999) / 1000 {
		w.manifest.Chunks = append(w.manifest.Chunks, bundler.Digest(w.chunk(i)))
	}
	w.body, _ = json.Marshal(w.manifest)
	w.digest = bundler.Digest(w.body)
	return w
}

func (w weights) chunk(i int) []byte {
	return w.bytes[i*1000 : min(len(w.bytes), (i+1)*1000)]
}

// origin is a source in memory. Each test sets its faults.
type origin struct {
	mu       sync.Mutex
	bodies   map[string][]byte
	requests map[string]int
	// fault, when set, may respond in the origin's place.
	fault func(digest string, asked int) ([]byte, error)
}

func newOrigin(ws ...weights) *origin {
	o := &origin{bodies: map[string][]byte{}, requests: map[string]int{}}
	for _, w := range ws {
		o.bodies[w.digest] = w.body
		for i, c := range w.manifest.Chunks {
			o.bodies[c] = w.chunk(i)
		}
	}
	return o
}

func (o *origin) Manifest(ctx context.Context, digest string) ([]byte, error) {
	return o.Chunk(ctx, digest, 0)
}

func (o *origin) Chunk(ctx context.Context, digest string, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return nil, &fetcher.UnavailableError{Source: "origin", Err: ctx.Err()}
	}
	o.requests[digest]++
	if o.fault != nil {
		if body, err := o.fault(digest, o.requests[digest]); body != nil || err != nil {
			return body, err
		}
	}
	body, ok := o.bodies[digest]
	if !ok {
		return nil, &fetcher.NotHeldError{Source: "origin", Digest: digest}
	}
	return bytes.Clone(body), nil
}

// agent is a loader behind a listener.
type agent struct {
	*loader.Loader
	server *httptest.Server
}

func (n *network) newAgent(t *testing.T, id string, sources ...fetcher.Source) *agent {
	return n.newPacedAgent(t, id, nil, sources...)
}

// newPacedAgent creates an agent whose uploads are limited to a rate.
func (n *network) newPacedAgent(t *testing.T, id string, upload *rate.Limiter, sources ...fetcher.Source) *agent {
	a := &agent{Loader: &loader.Loader{
		ID: id, FailureDomain: "a", Region: "huon", Sources: sources, Memory: 1 << 20,
		Peer: func(at netip.AddrPort) fetcher.Source {
			return &fetcher.HTTP{Address: at, Timeout: time.Second, Client: n.client}
		},
		Patience: 50 * time.Millisecond, Settle: 20 * time.Millisecond, Poll: 10 * time.Millisecond, Seed: 1,
		Upload: upload,
	}}
	a.server = n.serve(t, a.Handler())
	return a
}

// run serves until the returned function is called.
func (a *agent) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (n *network) startAgent(t *testing.T, id string, sources ...fetcher.Source) *agent {
	a := n.newAgent(t, id, sources...)
	t.Cleanup(a.run(t))
	return a
}

func (a *agent) holder(manifest string) messenger.Holder {
	return messenger.Holder{
		ID: a.ID, FailureDomain: a.FailureDomain, Region: a.Region,
		Address: netip.MustParseAddrPort(a.server.Listener.Addr().String()),
		Holding: messenger.Holding{Manifest: manifest},
	}
}

// await waits until the weights are complete and checks their bytes.
func (a *agent) await(t *testing.T, w weights) {
	t.Helper()
	a.awaitChunks(t, w, len(w.manifest.Chunks))
	r, err := a.Weights(w.digest)
	must.NoError(t, err)
	got, err := io.ReadAll(r)
	must.NoError(t, err)
	must.True(t, bytes.Equal(w.bytes, got))
}

// awaitChunks waits until so many chunks are held.
func (a *agent) awaitChunks(t *testing.T, w weights, chunks int) {
	t.Helper()
	a.awaitProgress(t, w, func(p loader.Progress) bool { return p.Chunks >= chunks })
}

func (a *agent) awaitProgress(t *testing.T, w weights, good func(loader.Progress) bool) {
	t.Helper()
	end := time.After(20 * time.Second)
	for {
		changed := a.Changed()
		for _, p := range a.Progress() {
			if p.Manifest == w.digest && good(p) {
				return
			}
		}
		select {
		case <-changed:
		case <-end:
			t.Fatalf("agent %s: %+v", a.ID, a.Progress())
		}
	}
}

func TestWeightsReachAllAgents(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 40)
		o := newOrigin(w)
		var agents []*agent
		var holders []messenger.Holder
		for i := range 6 {
			a := n.startAgent(t, fmt.Sprintf("vm-%d", i), o)
			agents = append(agents, a)
			holders = append(holders, a.holder(w.digest))
		}
		for _, a := range agents {
			a.Want([]string{w.digest})
			a.SetHolders(holders)
		}
		total := int64(0)
		for _, a := range agents {
			a.await(t, w)
			total += a.Progress()[0].FromOrigin
		}
		must.Between(t, w.manifest.Size, total, w.manifest.Size*12/10)
		res, err := n.client.Get(agents[0].server.URL + "/weights/" + w.digest)
		must.NoError(t, err)
		defer res.Body.Close()
		got, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.Eq(t, w.bytes, got)
	})
}
