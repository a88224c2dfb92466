package entry

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/receiver"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Status is an entry's status for operators.
type Status struct {
	State   messenger.EntryState   `json:"state"`
	Fresh   bool                   `json:"fresh"`
	Running int                    `json:"running"`
	Entries []messenger.EntryState `json:"entries"`
	Agents  []messenger.AgentState `json:"agents"`
	// Weights is the distribution progress of the weights of the bundle in force.
	Weights []WeightsStatus  `json:"weights,omitempty"`
	Alarms  []reporter.Alarm `json:"alarms,omitempty"`
}

// WeightsStatus is how much of one manifest is held by the agents that want it.
type WeightsStatus struct {
	Manifest string `json:"manifest"`
	// Whole is the number of Agents that hold all of it.
	Whole  int `json:"whole"`
	Agents int `json:"agents"`
	// Bytes is their total of bytes held, out of AllBytes.
	Bytes    int64 `json:"bytes"`
	AllBytes int64 `json:"allBytes"`
}

func (e *Entry) status() Status {
	return Status{
		Weights: e.weightsStatus(),
		State:   e.members.selfState(),
		Fresh:   e.State.MayServe() == nil,
		Running: e.requests.current(),
		Entries: e.members.aliveEntries(),
		Agents:  e.Router.Agents(),
		Alarms:  reporter.Alarms(e.State),
	}
}

// weightsStatus sums up what the agents hold of the bundle's weights.
func (e *Entry) weightsStatus() []WeightsStatus {
	b, _ := e.State.Current()
	if b == nil {
		return nil
	}
	var all []WeightsStatus
	for _, m := range b.Models {
		all = append(all, e.agents.weightsStatus(m.Manifest))
		for _, a := range m.Adapters {
			all = append(all, e.agents.weightsStatus(a.Manifest))
		}
	}
	return all
}

// operatorHandler returns the handler for the operators' address.
func (e *Entry) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", reporter.Handler(func() any { return e.status() }, e.readiness, e.registerMetrics()))
	m.HandleFunc("POST /bundle", e.postBundle)
	return m
}

// postBundle receives an accepted bundle from the operator's client. If the store
// failed right after accepting the bundle, no entry could read it there: a drain
// reported to the operator as accepted would wait until the store recovers.
// The sign-offs are checked as with any record.
func (e *Entry) postBundle(w http.ResponseWriter, r *http.Request) {
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

// registerMetrics registers the entry's metrics with those of the dispatcher.
func (e *Entry) registerMetrics() metrics.Registry {
	r := e.Dispatcher.Metrics
	gauge := func(name string, value func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, r, value)
	}
	gauge("bundle.revision", func() int64 { return int64(e.State.StatusUpdate().Revision) })
	gauge("bundle.ageMs", func() int64 { return e.State.StatusUpdate().AgeMS })
	gauge("bundle.alarms", func() int64 { return int64(len(e.State.Alarms())) })
	gauge("store.deadWatches", e.Watcher.DeadWatches)
	gauge("entries.alive", func() int64 { return int64(e.members.aliveCount()) })
	gauge("agents.known", func() int64 { return int64(len(e.Router.Agents())) })
	gauge("requests.running", func() int64 { return int64(e.requests.current()) })
	return r
}

// requestCounter counts the callers' requests in progress.
type requestCounter struct{ active atomic.Int64 }

// countRequests wraps a handler so that its requests are counted.
func (r *requestCounter) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.active.Add(1)
		defer r.active.Add(-1)
		h.ServeHTTP(w, q)
	})
}

func (r *requestCounter) current() int { return int(r.active.Load()) }

func shuffleEntries(es []receiver.Entry) {
	rand.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
}

func addressOf(l net.Listener) netip.AddrPort {
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
