package imitator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Engine is a model engine with continuous batching, a queue ordered by
// priority, a cold start, streams that can be resumed and cancelled, and a prefix
// cache.
//
// It does not verify the weights that it fetches for /load. The sender of the
// order must do so.
type Engine struct {
	// Clock times tokens and cold starts. Nil means the real clock.
	Clock clock.Clock
	// Client fetches weights. Nil means http.DefaultClient.
	Client *http.Client
	// Limit is the number of requests that run concurrently. Zero means 16.
	Limit int
	// Queue is the number of requests that may wait. Zero means 32.
	Queue int
	// ColdLimit is the number of requests that may run concurrently during a cold
	// start. Zero means 2.
	ColdLimit int
	// ColdFor is how long a cold start lasts after a load.
	ColdFor time.Duration
	// TokenTime is the time from one token to the next in a small batch.
	TokenTime time.Duration
	// IgnoreFence makes the engine accept orders with any fencing number.
	IgnoreFence bool
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// CacheEntries is the capacity of the cache in prefixes. Zero means 256.
	CacheEntries int
	// EventLag is the age at which a cache event becomes visible.
	EventLag time.Duration

	mu          sync.Mutex
	startID     string
	started     time.Time
	loaded      *loadedModel // nil if no complete model is loaded
	coldUntil   time.Time
	fence       int64
	role        string
	cancelLoad  context.CancelFunc // cancels the load in progress
	loadID      int64              // changes with each load order and restart
	streams     map[string]*stream
	endedIDs    []string // ids of ended streams, oldest first
	running     int
	queued      []*stream // ordered by priority, then by arrival
	loadSamples []loadSample
	cache       prefixCache
	faults      engineFaults
	counts      engineCounts
	gate        hangGate
}

// Adapter describes one adapter in a load order or an engine's state.
type Adapter struct {
	Name       string `json:"name"`
	Version    string `json:"version"`
	Manifest   string `json:"manifest"`
	WeightsURL string `json:"weightsUrl,omitempty"`
}

// Order is an order to load a model with its adapters. Size is in bytes; zero
// means that any size is accepted.
type Order struct {
	Fence      int64     `json:"fence"`
	Model      string    `json:"model"`
	Version    string    `json:"version"`
	Manifest   string    `json:"manifest"`
	Size       int64     `json:"size"`
	WeightsURL string    `json:"weightsUrl"`
	Adapters   []Adapter `json:"adapters"`
}

// EngineState is the response to GET /state.
type EngineState struct {
	StartID         string    `json:"startId"`
	UptimeMs        int64     `json:"uptimeMs"`
	Cold            bool      `json:"cold"`
	Model           string    `json:"model"`
	Version         string    `json:"version"`
	Manifest        string    `json:"manifest"`
	Adapters        []Adapter `json:"adapters"`
	Role            string    `json:"role"`
	Fence           int64     `json:"fence"`
	Running         int       `json:"running"`
	Queued          int       `json:"queued"`
	TokensPerSecond float64   `json:"tokensPerSecond"`
}

// loadedModel holds the order of the loaded model and the digests of the bytes that
// were fetched for it.
type loadedModel struct {
	order    Order
	weights  string
	adapters map[string]string // digest of the weights by adapter name
}

type loadSample struct {
	sampledAt time.Time
	running   int
	queued    int
}

type engineFaults struct {
	Restart bool  `json:"restart"`
	Cold    bool  `json:"cold"`
	SlowMs  int64 `json:"slowMs"`
	Hang    bool  `json:"hang"`
	// Partial makes loads omit the last byte and still report success.
	Partial bool `json:"partial"`
	// Unframed replies have neither a length nor chunks and end with their connection.
	Unframed bool `json:"unframed"`
	// Torn replies end in the middle of an event.
	Torn bool `json:"torn"`
}

type engineCounts struct {
	Requests   int64     `json:"requests"`
	Finished   int64     `json:"finished"`
	Cancelled  int64     `json:"cancelled"`
	FellOver   int64     `json:"fellOver"`
	WorstCold  int       `json:"worstCold"`
	LastWorkAt time.Time `json:"lastWorkAt"`
	Mixed      int64     `json:"mixed"`
	CutByLoad  int64     `json:"cutByLoad"`
	Loads      int64     `json:"loads"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.setDefaults()
	e.streams = map[string]*stream{}
	e.cache.limit = e.CacheEntries
	e.restart()
	m := http.NewServeMux()
	m.HandleFunc("GET /state", e.gated(e.getState))
	m.HandleFunc("POST /load", e.gated(e.load))
	m.HandleFunc("POST /role", e.gated(e.setRole))
	m.HandleFunc("POST /generate", e.gated(e.generate))
	m.HandleFunc("GET /generate/{id}", e.gated(e.resume))
	m.HandleFunc("DELETE /generate/{id}", e.gated(e.cancel))
	m.HandleFunc("GET /cache/events", e.gated(e.getCacheEvents))
	m.HandleFunc("GET /cache/{prefix}", e.gated(e.exportCache))
	m.HandleFunc("PUT /cache/{prefix}", e.gated(e.importCache))
	m.HandleFunc("POST /admin/faults", e.setFaults)
	m.HandleFunc("GET /admin/counts", e.getCounts)
	return m
}

func (e *Engine) setDefaults() {
	e.Clock = clockOrReal(e.Clock)
	if e.Client == nil {
		e.Client = http.DefaultClient
	}
	if e.Limit == 0 {
		e.Limit = 16
	}
	if e.Queue == 0 {
		e.Queue = 32
	}
	if e.ColdLimit == 0 {
		e.ColdLimit = 2
	}
	if e.CacheEntries == 0 {
		e.CacheEntries = 256
	}
}

// gated blocks requests while the engine hangs.
func (e *Engine) gated(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.gate.awaitRequest(r) {
			f(w, r)
		}
	}
}

// restart resets all state, as a new process would.
func (e *Engine) restart() {
	e.unload()
	e.startID = uuid.NewString()
	e.started = e.Clock.Now()
	e.fence = 0
	e.role = "both"
}

// unload aborts all streams and drops the loaded model. It returns the number of
// streams that were aborted.
func (e *Engine) unload() int {
	if e.cancelLoad != nil {
		e.cancelLoad()
		e.cancelLoad = nil
	}
	e.loadID++
	e.loaded = nil
	n := e.abortStreams()
	e.cache.clear()
	e.recordLoad()
	return n
}

// crash restarts the engine because of overload.
func (e *Engine) crash(reason string) {
	klog.InfoS("engine falls over", "why", reason, "running", e.running, "queued", len(e.queued))
	e.counts.FellOver++
	e.restart()
}

func (e *Engine) cold() bool {
	return e.loaded == nil || e.Clock.Now().Before(e.coldUntil)
}

// recordLoad records the current load for delayed reports.
func (e *Engine) recordLoad() {
	s := loadSample{sampledAt: e.Clock.Now(), running: e.running, queued: len(e.queued)}
	e.loadSamples = append(e.loadSamples, s)
	e.laggedLoad()
}

// laggedLoad returns the newest sample that is at least LoadLag old, and discards
// older ones.
func (e *Engine) laggedLoad() loadSample {
	horizon := e.Clock.Now().Add(-e.LoadLag)
	n := 0
	for n < len(e.loadSamples) && !e.loadSamples[n].sampledAt.After(horizon) {
		n++
	}
	if n == 0 {
		return loadSample{}
	}
	e.loadSamples = e.loadSamples[n-1:]
	return e.loadSamples[0]
}

func (e *Engine) state() EngineState {
	lagged := e.laggedLoad()
	s := EngineState{
		StartID:         e.startID,
		UptimeMs:        e.Clock.Since(e.started).Milliseconds(),
		Cold:            e.cold(),
		Adapters:        []Adapter{},
		Role:            e.role,
		Fence:           e.fence,
		Running:         lagged.running,
		Queued:          lagged.queued,
		TokensPerSecond: e.tokensPerSecond(lagged.running),
	}
	if e.loaded == nil {
		return s
	}
	s.Model = e.loaded.order.Model
	s.Version = e.loaded.order.Version
	s.Manifest = e.loaded.order.Manifest
	for _, a := range e.loaded.order.Adapters {
		a.WeightsURL = ""
		s.Adapters = append(s.Adapters, a)
	}
	return s
}

func (e *Engine) tokensPerSecond(running int) float64 {
	d := e.tokenInterval(running)
	if d <= 0 {
		return 0
	}
	return float64(running) * float64(time.Second) / float64(d)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.state()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// staleError is returned for an order whose fencing number is below that of an
// order accepted earlier.
type staleError struct {
	fence int64 // of the engine
}

func (e *staleError) Error() string {
	return fmt.Sprintf("order is older than fence %d", e.fence)
}

// acceptFence rejects an order with a stale fencing number unless IgnoreFence is
// set, and adopts the number otherwise.
func (e *Engine) acceptFence(fence int64) error {
	if !e.IgnoreFence && fence < e.fence {
		return &staleError{fence: e.fence}
	}
	e.fence = fence
	return nil
}

func writeOrderError(w http.ResponseWriter, err error) {
	var stale *staleError
	if !errors.As(err, &stale) {
		writeError(w, http.StatusBadGateway, err.Error())
		return
	}
	writeJSON(w, http.StatusConflict, struct {
		Error string `json:"error"`
		Fence int64  `json:"fence"`
	}{stale.Error(), stale.fence})
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Fence int64  `json:"fence"`
		Role  string `json:"role"`
	}
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	err := e.acceptFence(order.Fence)
	if err == nil {
		e.role = order.Role
	}
	s := e.state()
	e.mu.Unlock()
	if err != nil {
		writeOrderError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	handleFaults(w, r, func(faults engineFaults) {
		e.mu.Lock()
		e.faults = faults
		if faults.Restart {
			e.restart()
		}
		if faults.Cold {
			e.coldUntil = e.Clock.Now().Add(e.ColdFor)
			e.cache.clear()
		}
		e.mu.Unlock()
		e.gate.setHanging(faults.Hang)
	})
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	counts := e.counts
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, counts)
}
