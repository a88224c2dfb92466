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

// load fetches and loads the model of an order. An accepted order cancels an older
// load in progress. A load continues if its client disconnects, so it may take
// effect long afterwards.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	ctx, id, err := e.startLoad(context.WithoutCancel(r.Context()), order.Fence)
	if err != nil {
		writeOrderError(w, err)
		return
	}
	m, err := e.fetchOrder(ctx, order)
	s, latest := e.finishLoad(id, m)
	switch {
	case !latest:
		writeError(w, http.StatusConflict, "a later order or a restart ended this load")
	case err != nil:
		writeError(w, http.StatusBadGateway, err.Error())
	default:
		writeJSON(w, http.StatusOK, s)
	}
}

// startLoad unloads the current model. It returns the context for fetching and the
// ID of the load.
func (e *Engine) startLoad(ctx context.Context, fence int64) (context.Context, int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptFence(fence); err != nil {
		return nil, 0, err
	}
	e.counts.Loads++
	e.counts.CutByLoad += int64(e.unload())
	ctx, e.cancelLoad = context.WithCancel(ctx)
	return ctx, e.loadID, nil
}

// finishLoad installs m, which is nil if the weights could not be fetched. It returns
// false if a later order or a restart superseded the load.
func (e *Engine) finishLoad(id int64, m *loadedModel) (EngineState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadID != id {
		return EngineState{}, false
	}
	e.cancelLoad()
	e.cancelLoad = nil
	e.loaded = m
	klog.InfoS("load ended", "whole", m != nil, "fence", e.fence)
	e.coldUntil = e.Clock.Now().Add(e.ColdFor)
	return e.state(), true
}

func (e *Engine) fetchOrder(ctx context.Context, order Order) (*loadedModel, error) {
	weights, size, err := e.fetch(ctx, order.WeightsURL)
	if err != nil {
		return nil, err
	}
	if order.Size != 0 && size != order.Size {
		return nil, fmt.Errorf("fetched %d bytes of %d", size, order.Size)
	}
	m := &loadedModel{order: order, weights: weights, adapters: map[string]string{}}
	for _, a := range order.Adapters {
		if m.adapters[a.Name], _, err = e.fetch(ctx, a.WeightsURL); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// fetch downloads the address and returns the digest and the number of its bytes.
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
	size, err = io.Copy(h, io.LimitReader(res.Body, e.loadLimit(res.ContentLength)))
	if err != nil {
		return "", 0, err
	}
	discarded, err := io.Copy(io.Discard, res.Body)
	return formatDigest(h.Sum(nil)), size + discarded, err
}

// loadLimit returns the number of bytes to load, which the Partial fault reduces by one.
func (e *Engine) loadLimit(size int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Partial {
		return size - 1
	}
	return math.MaxInt64
}
