package proofs_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// TestRepliesComeFromOneWholeVersion rolls four versions while callers ask. One
// engine is slow to fetch the second version, its agent is frozen meanwhile and
// wakes when the third is in force: the old order lands after the newer bundle.
// While the fourth rolls, engines that still have the third are restarted in the
// middle of replies. Then an engine that ignores fencing numbers is given an old
// load order again and again, as it lands late after the death of whoever sent
// it, while its agent is frozen and requests wait in the agent's socket. A user
// would notice a roster that begins with one version's wording and ends with
// another's, or one made from a version that was taken out.
func TestRepliesComeFromOneWholeVersion(t *testing.T) {
	t.Parallel()
	slow := &holdableFetch{}
	d := deploy(t, shape{entries: 2, engines: 3, engine: func(i int, e *imitator.Engine) {
		e.IgnoreFence = i == 0
		if i == 1 {
			e.Client = &http.Client{Transport: slow}
		}
	}})
	t.Cleanup(slow.release)
	f := startTraffic(t, 9, inTurn(d.callers()))
	f.moves(t, 20)
	d.wakeWithOldOrder(slow)
	f.moves(t, 20)
	d.publish("v4", nil)
	eventually(t, patience, "v4 served", func() bool { return f.served("v4") > 0 })
	d.restartThoseWith("v3")
	d.awaitReady()
	f.moves(t, 20)
	f.stop()
	f.mustBeHonest(t, d.weights)

	old := d.oldOrder("v1")
	f = startTraffic(t, 9, inTurn(d.callers()))
	for range 5 {
		f.moves(t, 20)
		d.engines[0].pause()
		d.engines[0].upstream.post("/load", old, nil)
		f.moves(t, 10)
		d.engines[0].resume()
		d.awaitReady()
	}
	f.moves(t, 20)
	f.stop()
	f.mustBeHonest(t, d.weights)
	must.Eq(t, f.whole(), f.count(func(a answer) bool { return a.whole && a.events[0].Version == "v4" }),
		must.Sprint("whole replies of the version in force"))
	must.Zero(t, f.served("v1"), must.Sprint("replies of a version that was taken out"))
	for _, e := range d.engines {
		must.Zero(t, e.upstream.counts().Mixed)
	}
}

// restartThoseWith restarts the engines that hold a version.
func (d *deployment) restartThoseWith(version string) {
	d.t.Helper()
	for _, v := range d.engines {
		var s imitator.EngineState
		must.NoError(d.t, json.Unmarshal(v.upstream.get("/state"), &s))
		if s.Version == version {
			v.upstream.restart()
		}
	}
}

// wakeWithOldOrder rolls v2 and v3 and freezes the agent of engine 1 from its
// order to load v2 until v3 is in force.
func (d *deployment) wakeWithOldOrder(slow *holdableFetch) {
	d.t.Helper()
	e := d.engines[1]
	loads := e.upstream.counts().Loads
	slow.hold()
	d.publish("v2", nil)
	eventually(d.t, patience, "order to load v2", func() bool { return e.upstream.counts().Loads > loads })
	e.pause()
	d.publish("v3", nil)
	eventually(d.t, promptly, "v3 in force", func() bool {
		return d.entries[0].revision() == d.bundle.Revision && d.engines[0].revision() == d.bundle.Revision
	})
	slow.release()
	e.resume()
	d.awaitReady()
}

// holdableFetch is an engine's way to its weights.
type holdableFetch struct {
	mu   sync.Mutex
	held chan struct{}
}

func (h *holdableFetch) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = make(chan struct{})
}

func (h *holdableFetch) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held != nil {
		close(h.held)
		h.held = nil
	}
}

// RoundTrip fetches once nothing is held.
func (h *holdableFetch) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	held := h.held
	h.mu.Unlock()
	if held != nil {
		<-held
	}
	return http.DefaultTransport.RoundTrip(r)
}

// oldOrder is a load order for a version as its engine's agent gave it. The
// weights come straight from the origin, whose copy is still there.
func (d *deployment) oldOrder(version string) imitator.Order {
	d.t.Helper()
	manifest := d.makeWeights(version)
	weights := d.bytesOf(manifest)
	at := d.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(weights)
	}))
	return imitator.Order{
		Fence:      1,
		Model:      model,
		Version:    version,
		Manifest:   manifest,
		Size:       weightBytes,
		WeightsURL: fmt.Sprintf("http://%v/", at.address),
	}
}

// served is how many answers have a token of the version.
func (f *traffic) served(version string) int {
	return f.count(func(a answer) bool { return len(a.events) > 0 && a.events[0].Version == version })
}
