package entry

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/receiver"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Status is what an entry tells operators.
type Status struct {
	State   messenger.EntryState   `json:"state"`
	Fresh   bool                   `json:"fresh"`
	Running int                    `json:"running"`
	Entries []messenger.EntryState `json:"entries"`
	Agents  []messenger.AgentState `json:"agents"`
	// Weights is how far the weights of the bundle in force have come.
	Weights []WeightsStatus  `json:"weights,omitempty"`
	Alarms  []reporter.Alarm `json:"alarms,omitempty"`
}

// WeightsStatus is how much of one manifest the agents hold that want it.
type WeightsStatus struct {
	Manifest string `json:"manifest"`
	// Whole is how many of Agents hold all of it.
	Whole  int `json:"whole"`
	Agents int `json:"agents"`
	// Bytes is how much they hold together, of AllBytes.
	Bytes    int64 `json:"bytes"`
	AllBytes int64 `json:"allBytes"`
}

func (e *Entry) status() Status {
	return Status{
		Weights: e.weights(),
		State:   e.members.self(),
		Fresh:   e.State.MayServe() == nil,
		Running: e.running.now(),
		Entries: e.members.alive(),
		Agents:  e.Router.Agents(),
		Alarms:  reporter.Alarms(e.State),
	}
}

// weights sums up what the agents hold of the bundle's weights.
func (e *Entry) weights() []WeightsStatus {
	b, _ := e.State.Current()
	if b == nil {
		return nil
	}
	var all []WeightsStatus
	for _, m := range b.Models {
		all = append(all, e.agents.weights(m.Manifest))
		for _, a := range m.Adapters {
			all = append(all, e.agents.weights(a.Manifest))
		}
	}
	return all
}

// operators is what this entry serves on the operators' address.
func (e *Entry) operators() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", reporter.Handler(func() any { return e.status() }, e.ready, e.metrics()))
	m.HandleFunc("POST /bundle", e.takeBundle)
	return m
}

// takeBundle takes an accepted bundle from the operator's own client. If the store
// went out right after it had accepted the bundle, no entry could read it there:
// a drain that the operator was told is accepted would wait for the store's return.
// The sign-offs are checked as with any record.
func (e *Entry) takeBundle(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bundler.MaxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	record, err := bundler.DecodeRecord(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := e.State.Offer(record); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// metrics are the figures that collectors read; the dispatcher adds its own.
func (e *Entry) metrics() metrics.Registry {
	r := e.Dispatcher.Metrics
	gauge := func(name string, value func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, r, value)
	}
	gauge("bundle.revision", func() int64 { return int64(e.State.StatusUpdate().Revision) })
	gauge("bundle.ageMs", func() int64 { return e.State.StatusUpdate().AgeMS })
	gauge("bundle.alarms", func() int64 { return int64(len(e.State.Alarms())) })
	gauge("store.deadWatches", e.Watcher.DeadWatches)
	gauge("entries.alive", func() int64 { return int64(e.members.count()) })
	gauge("agents.known", func() int64 { return int64(len(e.Router.Agents())) })
	gauge("requests.running", func() int64 { return int64(e.running.now()) })
	return r
}

// running counts callers' requests.
type running struct {
	mu    sync.Mutex
	under int
	idle  chan struct{}
}

// count wraps a handler.
func (r *running) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.add(1)
		defer r.add(-1)
		h.ServeHTTP(w, q)
	})
}

func (r *running) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.under += n
	if r.under == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

func (r *running) now() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.under
}

// wait returns once no request is under way.
func (r *running) wait() {
	r.mu.Lock()
	if r.under == 0 {
		r.mu.Unlock()
		return
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	<-idle
}

func shuffle(es []receiver.Entry) {
	rand.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
}

func addressOf(l net.Listener) netip.AddrPort {
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
