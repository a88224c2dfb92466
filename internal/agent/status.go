package agent

import (
	"net/http"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

// Status is what an agent tells operators.
type Status struct {
	State    messenger.AgentState `json:"state"`
	Holds    []admitter.Reason    `json:"holds,omitempty"`
	Weights  []loader.Progress    `json:"weights,omitempty"`
	Alarms   []gossiper.Alarm     `json:"alarms,omitempty"`
	Keys     int                  `json:"keys"`
	KeyBytes int                  `json:"keyBytes"`
}

func (a *Agent) status() Status {
	s := Status{State: a.state(), Holds: a.Gate.Holds(), Alarms: a.State.Alarms()}
	s.Keys, s.KeyBytes = a.Ledger.Stats()
	if a.Loader != nil {
		s.Weights = a.Loader.Progress()
	}
	return s
}

// ready is why the agent takes no new work; nil when it does.
func (a *Agent) ready() error {
	holds := a.Gate.Holds()
	if len(holds) == 0 {
		return nil
	}
	return &admitter.RefusedError{Reason: holds[0]}
}

func (a *Agent) operators() http.Handler {
	return reporter.Handler(func() any { return a.status() }, a.ready)
}
