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
// priority, a cold start, streams that resume and cancel, and a prefix cache.
//
// It answers /load from the bytes it fetched, whatever they are: whoever orders
// the load is to verify them.
type Engine struct {
	// Clock measures tokens and cold starts. Nil means the real clock.
	Clock clock.Clock
	// Client fetches weights. Nil means http.DefaultClient.
	Client *http.Client
	// Limit is the number of requests that run at once. Zero means 16.
	Limit int
	// Queue is the number of requests that may wait. Zero means 32.
	Queue int
	// ColdLimit is the number of requests that may run at once in a cold start.
	// Zero means 2.
	ColdLimit int
	// ColdFor is how long a cold start lasts after a load.
	ColdFor time.Duration
	// TokenTime is the time from one token to the next in a small batch.
	TokenTime time.Duration
	// IgnoreFence makes the engine take orders whatever their fencing number.
	IgnoreFence bool
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// CacheEntries is how many prefixes the cache holds. Zero means 256.
	CacheEntries int
	// EventLag is how old a cache event is before it is shown.
	EventLag time.Duration

	mu        sync.Mutex
	startID   string
	started   time.Time
	held      *holding // nil when nothing whole is loaded
	coldUntil time.Time
	fence     int64
	role      string
	stopLoad  context.CancelFunc // ends the load under way
	loads     int64              // number of load orders taken
	streams   map[string]*stream
	finished  []string // ids of ended streams, oldest first
	running   int
	queued    []*stream // ordered by priority, then by arrival
	samples   []loadSample
	cache     prefixCache
	faults    engineFaults
	counts    engineCounts
	hang      hanger
}

// Adapter is one adapter of a load order or of an engine's state.
type Adapter struct {
	Name       string `json:"name"`
	Version    string `json:"version"`
	Manifest   string `json:"manifest"`
	WeightsURL string `json:"weightsUrl,omitempty"`
}

// Order is an order to load a model with its adapters. Size is in bytes; zero
// means that any size is taken.
type Order struct {
	Fence      int64     `json:"fence"`
	Model      string    `json:"model"`
	Version    string    `json:"version"`
	Manifest   string    `json:"manifest"`
	Size       int64     `json:"size"`
	WeightsURL string    `json:"weightsUrl"`
	Adapters   []Adapter `json:"adapters"`
}

// EngineState is an engine's own account of itself.
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

// holding is what the engine holds: the order and the digests of the bytes that
// it fetched for it.
type holding struct {
	order    Order
	weights  string
	adapters map[string]string // digest of the weights by adapter name
}

type loadSample struct {
	at      time.Time
	running int
	queued  int
}

type engineFaults struct {
	Restart bool  `json:"restart"`
	Cold    bool  `json:"cold"`
	SlowMs  int64 `json:"slowMs"`
	Hang    bool  `json:"hang"`
	// Partial makes loads leave out the last byte and say that they are whole.
	Partial bool `json:"partial"`
	// Unframed replies have neither a length nor chunks and end with their connection.
	Unframed bool `json:"unframed"`
	// Torn replies end inside an event.
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
	m.HandleFunc("GET /state", e.unlessHanging(e.getState))
	m.HandleFunc("POST /load", e.unlessHanging(e.load))
	m.HandleFunc("POST /role", e.unlessHanging(e.setRole))
	m.HandleFunc("POST /generate", e.unlessHanging(e.generate))
	m.HandleFunc("GET /generate/{id}", e.unlessHanging(e.resume))
	m.HandleFunc("DELETE /generate/{id}", e.unlessHanging(e.cancel))
	m.HandleFunc("GET /cache/events", e.unlessHanging(e.getCacheEvents))
	m.HandleFunc("GET /cache/{prefix}", e.unlessHanging(e.exportCache))
	m.HandleFunc("PUT /cache/{prefix}", e.unlessHanging(e.importCache))
	m.HandleFunc("POST /admin/faults", e.setFaults)
	m.HandleFunc("GET /admin/counts", e.getCounts)
	return m
}

func (e *Engine) setDefaults() {
	e.Clock = clockOr(e.Clock)
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

// unlessHanging holds a request back while the engine hangs.
func (e *Engine) unlessHanging(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.hang.holdRequest(r) {
			f(w, r)
		}
	}
}

// restart forgets everything, as a new process would.
func (e *Engine) restart() {
	e.unload()
	e.startID = uuid.NewString()
	e.started = e.Clock.Now()
	e.fence = 0
	e.role = "both"
}

// unload cuts all streams and leaves the engine with nothing loaded. It returns
// the number of streams that were cut.
func (e *Engine) unload() int {
	if e.stopLoad != nil {
		e.stopLoad()
		e.stopLoad = nil
	}
	e.loads++
	e.held = nil
	n := e.cutStreams()
	e.cache.clear()
	e.sample()
	return n
}

// fallOver is what becomes of an engine under more load than it bears.
func (e *Engine) fallOver(why string) {
	klog.InfoS("engine falls over", "why", why, "running", e.running, "queued", len(e.queued))
	e.counts.FellOver++
	e.restart()
}

func (e *Engine) cold() bool {
	return e.held == nil || e.Clock.Now().Before(e.coldUntil)
}

// sample records the present load for reports that lag.
func (e *Engine) sample() {
	s := loadSample{at: e.Clock.Now(), running: e.running, queued: len(e.queued)}
	e.samples = append(e.samples, s)
	e.laggedLoad()
}

// laggedLoad returns the newest sample that is at least LoadLag old, and forgets
// those before.
func (e *Engine) laggedLoad() loadSample {
	horizon := e.Clock.Now().Add(-e.LoadLag)
	n := 0
	for n < len(e.samples) && !e.samples[n].at.After(horizon) {
		n++
	}
	if n == 0 {
		return loadSample{}
	}
	e.samples = e.samples[n-1:]
	return e.samples[0]
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
	if e.held == nil {
		return s
	}
	s.Model = e.held.order.Model
	s.Version = e.held.order.Version
	s.Manifest = e.held.order.Manifest
	for _, a := range e.held.order.Adapters {
		a.WeightsURL = ""
		s.Adapters = append(s.Adapters, a)
	}
	return s
}

func (e *Engine) tokensPerSecond(running int) float64 {
	d := e.step(running)
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

// staleError tells that an order carried an older fencing number than one taken
// before.
type staleError struct {
	fence int64 // the engine's
}

func (e *staleError) Error() string {
	return fmt.Sprintf("order is older than fence %d", e.fence)
}

// take heeds or ignores an order's fencing number.
func (e *Engine) take(fence int64) error {
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
	err := e.take(order.Fence)
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
	takeFaults(w, r, func(faults engineFaults) {
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
		e.hang.set(faults.Hang)
	})
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	counts := e.counts
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, counts)
}
