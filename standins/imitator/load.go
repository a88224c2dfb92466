package imitator

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"net/http"

	"k8s.io/klog/v2"
)

// load fetches what the order names and holds it from then on. The newest order
// that was taken ends an older one under way. A load goes on when the one who
// ordered it hangs up, so that it may still land long afterwards.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	ctx, id, err := e.beginLoad(context.WithoutCancel(r.Context()), order.Fence)
	if err != nil {
		writeOrderError(w, err)
		return
	}
	h, err := e.fetchAll(ctx, order)
	s, latest := e.endLoad(id, h)
	switch {
	case !latest:
		writeError(w, http.StatusConflict, "a later order or a restart ended this load")
	case err != nil:
		writeError(w, http.StatusBadGateway, err.Error())
	default:
		writeJSON(w, http.StatusOK, s)
	}
}

// beginLoad drops what the engine holds. It returns the context in which to
// fetch and the load's own number.
func (e *Engine) beginLoad(ctx context.Context, fence int64) (context.Context, int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.take(fence); err != nil {
		return nil, 0, err
	}
	e.counts.Loads++
	e.counts.CutByLoad += int64(e.unload())
	ctx, e.stopLoad = context.WithCancel(ctx)
	return ctx, e.loads, nil
}

// endLoad makes h what the engine holds: nothing when the weights could not be
// fetched. It returns false when a later order or a restart came in between.
func (e *Engine) endLoad(id int64, h *holding) (EngineState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loads != id {
		return EngineState{}, false
	}
	e.stopLoad()
	e.stopLoad = nil
	e.held = h
	klog.InfoS("load ended", "whole", h != nil, "fence", e.fence)
	e.coldUntil = e.Clock.Now().Add(e.ColdFor)
	return e.state(), true
}

func (e *Engine) fetchAll(ctx context.Context, order Order) (*holding, error) {
	weights, size, err := e.fetch(ctx, order.WeightsURL)
	if err != nil {
		return nil, err
	}
	if order.Size != 0 && size != order.Size {
		return nil, fmt.Errorf("fetched %d bytes of %d", size, order.Size)
	}
	h := &holding{order: order, weights: weights, adapters: map[string]string{}}
	for _, a := range order.Adapters {
		if h.adapters[a.Name], _, err = e.fetch(ctx, a.WeightsURL); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// fetch reads all bytes at the address and returns their digest and number.
func (e *Engine) fetch(ctx context.Context, address string) (digest string, size int64, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return "", 0, err
	}
	res, err := e.Client.Do(r)
	if err != nil {
		return "", 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return "", 0, fmt.Errorf("weights answered %s", res.Status)
	}
	h := sha256.New()
	size, err = io.Copy(h, io.LimitReader(res.Body, e.loadable(res.ContentLength)))
	if err != nil {
		return "", 0, err
	}
	leftOut, err := io.Copy(io.Discard, res.Body)
	return digestText(h.Sum(nil)), size + leftOut, err
}

// loadable is how many of a load's bytes the engine really loads.
func (e *Engine) loadable(size int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Partial {
		return size - 1
	}
	return math.MaxInt64
}
