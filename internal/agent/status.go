package agent

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

// Status is an agent's status for operators.
type Status struct {
	State    messenger.AgentState `json:"state"`
	Holds    []admitter.Reason    `json:"holds,omitempty"`
	Weights  []loader.Progress    `json:"weights,omitempty"`
	Alarms   []reporter.Alarm     `json:"alarms,omitempty"`
	Keys     int                  `json:"keys"`
	KeyBytes int                  `json:"keyBytes"`
}

func (a *Agent) status() Status {
	s := Status{State: a.state(), Holds: a.Gate.Holds(), Alarms: reporter.Alarms(a.State)}
	s.Keys, s.KeyBytes = a.Ledger.Stats()
	if a.Loader != nil {
		s.Weights = a.Loader.Progress()
	}
	return s
}

// checkReady returns why the agent takes no new work; nil when it does.
func (a *Agent) checkReady() error {
	holds := a.Gate.Holds()
	if len(holds) == 0 {
		return nil
	}
	return &admitter.RefusedError{Reason: holds[0]}
}

func (a *Agent) operatorHandler() http.Handler {
	return reporter.Handler(func() any { return a.status() }, a.checkReady, a.metrics())
}

// metrics returns the metrics that collectors read, registered with those of the process.
func (a *Agent) metrics() metrics.Registry {
	r := a.Metrics
	if r == nil {
		r = metrics.NewRegistry()
	}
	gauge := func(name string, value func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, r, value)
	}
	gauge("bundle.revision", func() int64 { return int64(a.State.StatusUpdate().Revision) })
	gauge("bundle.ageMs", func() int64 { return a.State.StatusUpdate().AgeMS })
	gauge("bundle.alarms", func() int64 { return int64(len(a.State.Alarms())) })
	gauge("gate.running", func() int64 { _, _, n := a.Gate.State(); return int64(n) })
	gauge("gate.limit", func() int64 { _, n, _ := a.Gate.State(); return int64(n) })
	gauge("gate.holds", func() int64 { return int64(len(a.Gate.Holds())) })
	gauge("keys.kept", func() int64 { n, _ := a.Ledger.Stats(); return int64(n) })
	gauge("keys.bytes", func() int64 { _, n := a.Ledger.Stats(); return int64(n) })
	if a.Loader != nil {
		gauge("weights.bytes", a.sumWeights(func(p loader.Progress) int64 { return p.Bytes }))
		gauge("weights.fromPeers", a.sumWeights(func(p loader.Progress) int64 { return p.FromPeers }))
		gauge("weights.fromOrigin", a.sumWeights(func(p loader.Progress) int64 { return p.FromOrigin }))
		gauge("weights.wrong", a.wrongWeights.Count)
		gauge("weights.corrupt", a.sumWeights(func(p loader.Progress) int64 { return int64(p.Corrupt) }))
	}
	return r
}

// sumWeights sums one metric over all weights in memory.
func (a *Agent) sumWeights(metric func(loader.Progress) int64) func() int64 {
	return func() int64 {
		sum := int64(0)
		for _, p := range a.Loader.Progress() {
			sum += metric(p)
		}
		return sum
	}
}
