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

// TestRepliesComeFromOneWholeVersion guards against replies that mix two versions of the
// weights or come from a withdrawn version. It rolls four versions under traffic. One
// engine fetches the second version slowly, and its agent is suspended until the third is
// in force, so that the old load order arrives after the newer bundle. While the fourth
// rolls, engines that still have the third are restarted in the middle of replies. Then
// an engine that ignores fencing numbers repeatedly gets an old load order, as if
// delayed until after the death of its sender, while its agent is suspended and requests
// wait in the agent's socket.
func TestRepliesComeFromOneWholeVersion(t *testing.T) {
	t.Parallel()
	slow := &blockableTransport{}
	d := deploy(t, topology{entries: 2, engines: 3, engine: func(i int, e *imitator.Engine) {
		e.IgnoreFence = i == 0
		if i == 1 {
			e.Client = &http.Client{Transport: slow}
		}
	}})
	t.Cleanup(slow.unblock)
	f := startTraffic(t, 9, roundRobin(d.callerAddresses()))
	f.awaitComplete(t, 20)
	d.resumeWithOldOrder(slow)
	f.awaitComplete(t, 20)
	d.publish("v4", nil)
	eventually(t, waitTimeout, "v4 served", func() bool { return f.countVersion("v4") > 0 })
	d.restartEnginesWith("v3")
	d.awaitReady()
	f.awaitComplete(t, 20)
	f.stop()
	f.mustHaveNoDefects(t, d.weights)

	old := d.oldLoadOrder("v1")
	f = startTraffic(t, 9, roundRobin(d.callerAddresses()))
	for range 5 {
		f.awaitComplete(t, 20)
		d.engines[0].suspend()
		d.engines[0].upstream.post("/load", old, nil)
		f.awaitComplete(t, 10)
		d.engines[0].resume()
		d.awaitReady()
	}
	f.awaitComplete(t, 20)
	f.stop()
	f.mustHaveNoDefects(t, d.weights)
	must.Eq(t, f.completeAnswers(), f.count(func(a answer) bool { return a.complete && a.events[0].Version == "v4" }),
		must.Sprint("complete replies of the version in force"))
	must.Zero(t, f.countVersion("v1"), must.Sprint("replies of a withdrawn version"))
	for _, e := range d.engines {
		must.Zero(t, e.upstream.counts().Mixed)
	}
}

// restartEnginesWith restarts the engines that hold a version.
func (d *deployment) restartEnginesWith(version string) {
	d.t.Helper()
	for _, v := range d.engines {
		var s imitator.EngineState
		must.NoError(d.t, json.Unmarshal(v.upstream.get("/state"), &s))
		if s.Version == version {
			v.upstream.restart()
		}
	}
}

// resumeWithOldOrder rolls v2 and v3 and suspends the agent of engine 1 from its
// order to load v2 until v3 is in force.
func (d *deployment) resumeWithOldOrder(slow *blockableTransport) {
	d.t.Helper()
	e := d.engines[1]
	loads := e.upstream.counts().Loads
	slow.block()
	d.publish("v2", nil)
	eventually(d.t, waitTimeout, "order to load v2", func() bool { return e.upstream.counts().Loads > loads })
	e.suspend()
	d.publish("v3", nil)
	eventually(d.t, reactionLimit, "v3 in force", func() bool {
		return d.entries[0].revision() == d.bundle.Revision && d.engines[0].revision() == d.bundle.Revision
	})
	slow.unblock()
	e.resume()
	d.awaitReady()
}

// blockableTransport is an engine's transport to its weights, which can be blocked.
type blockableTransport struct {
	mu      sync.Mutex
	blocked chan struct{}
}

func (h *blockableTransport) block() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blocked = make(chan struct{})
}

func (h *blockableTransport) unblock() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.blocked != nil {
		close(h.blocked)
		h.blocked = nil
	}
}

// RoundTrip sends the request once the transport is not blocked.
func (h *blockableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	blocked := h.blocked
	h.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	return http.DefaultTransport.RoundTrip(r)
}

// oldLoadOrder returns a load order for a version as its engine's agent sent it. The
// weights come directly from the origin, which still has a copy.
func (d *deployment) oldLoadOrder(version string) imitator.Order {
	d.t.Helper()
	manifest := d.publishWeights(version)
	weights := d.fetchWeights(manifest)
	st := d.startStandin(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(weights)
	}))
	return imitator.Order{
		Fence:      1,
		Model:      model,
		Version:    version,
		Manifest:   manifest,
		Size:       weightBytes,
		WeightsURL: fmt.Sprintf("http://%v/", st.address),
	}
}

// countVersion returns how many answers have a token of the version.
func (f *traffic) countVersion(version string) int {
	return f.count(func(a answer) bool { return len(a.events) > 0 && a.events[0].Version == version })
}
