// Package surveyor requests the state of the processes of a deployment, and finds those that
// disagree, have no contact with the store or do not answer.
package surveyor

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// Status is the state that a process reports.
type Status struct {
	// VM is where the process runs, Role its kind.
	VM            string `json:"vm"`
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain"`
	// Revision is the store's counter up to which the process has all changes, ConfirmedAgo the
	// time since the store confirmed that there are no others. Known is false before the first
	// state arrives.
	Revision     uint64  `json:"revision"`
	ConfirmedAgo float64 `json:"confirmedSecondsAgo"`
	Known        bool    `json:"known"`
	TableVersion uint64  `json:"tableVersion"`
	// Weights are the newest announced versions, by model.
	Weights   map[string]uint64 `json:"weights,omitempty"`
	Upstreams int               `json:"upstreams"`
	Entries   int               `json:"entries"`
	// Terms are the restrictions that upstreams put on requests of this process, if any.
	Terms []Terms `json:"terms,omitempty"`
	// Blames are the parts of prompts that an entry refuses.
	Blames []string `json:"blames,omitempty"`
	// NotReady is the reason for accepting no requests; empty when it accepts them.
	NotReady     string `json:"notReady,omitempty"`
	LinesDropped int64  `json:"logLinesDropped"`
	// Engine is set for agents.
	Engine *Engine `json:"engine,omitempty"`
}

// Terms are the statements of an upstream in its replies to a process.
type Terms struct {
	Upstream string `json:"upstream"`
	Leaving  bool   `json:"leaving,omitempty"`
	// RestSeconds is the rest of the upstream's backoff for the process.
	RestSeconds float64 `json:"restSeconds,omitempty"`
	// PerSecond is how many requests it accepts from all processes together; 0 for any number.
	PerSecond float64 `json:"perSecond,omitempty"`
}

// Engine is the state of an agent's engine.
type Engine struct {
	Model string `json:"model"`
	// Held is the version of the weights in it; 0 for none.
	Held uint64 `json:"held"`
	// Closed is the reason for accepting no requests; empty when it accepts them.
	Closed string `json:"closed,omitempty"`
}

// Process is the answer of a process, or the error instead of one, and its faults.
type Process struct {
	Address netip.AddrPort `json:"address"`
	// Status is nil when there was no answer.
	Status *Status `json:"status,omitempty"`
	// Faults are descriptions for operators; empty when there are none.
	Faults []string `json:"faults,omitempty"`

	err error
}

const (
	// maxConfirmationAge is the oldest confirmation that isn't a fault: entries treat an older one as lost contact with the store.
	maxConfirmationAge = 3 * time.Second
	// retryDelay is the time before a process that is behind gets a second request. Updates
	// reach all processes within half a second.
	retryDelay = time.Second
	// maxStatus bounds an answer in bytes.
	maxStatus = 1 << 20
)

// Surveyor requests the state of processes. Set the exported fields before use.
type Surveyor struct {
	Clock clock.Clock
	// Timeout bounds each request.
	Timeout time.Duration
}

// AnswerError reports a process that answered with an unexpected HTTP status.
type AnswerError struct{ Status int }

func (e *AnswerError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// Survey sends requests to all processes at once, and again to those that seem behind: a
// change in transit must not look like a partitioned process.
func (s *Surveyor) Survey(ctx context.Context, addresses []netip.AddrPort) []Process {
	ps := make([]Process, len(addresses))
	for i, a := range addresses {
		ps[i].Address = a
	}
	s.fetchStatuses(ctx, ps, func(*Process) bool { return true })
	newest := findNewestState(ps)
	behind := func(p *Process) bool { return p.Status != nil && p.Status.Revision < newest.revision }
	if slices.ContainsFunc(ps, func(p Process) bool { return behind(&p) }) {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(retryDelay):
		}
		s.fetchStatuses(ctx, ps, behind)
	}
	for i := range ps {
		ps[i].Faults = newest.faults(&ps[i])
	}
	return ps
}

// fetchStatuses requests the status of the selected processes.
func (s *Surveyor) fetchStatuses(ctx context.Context, ps []Process, selected func(*Process) bool) {
	t := connector.NewTransport(connector.DialContext)
	t.DisableKeepAlives = true
	client := connector.NewClient(t)
	var fetches sync.WaitGroup
	for i := range ps {
		if p := &ps[i]; selected(p) {
			fetches.Go(func() { p.Status, p.err = s.fetchStatus(ctx, client, p.Address) })
		}
	}
	fetches.Wait()
}

func (s *Surveyor) fetchStatus(ctx context.Context, client *http.Client, address netip.AddrPort) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	res, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, &AnswerError{Status: res.StatusCode}
	}
	var st Status
	body := bodyreader.Reader{Response: res}
	if err := body.ReadJSON(maxStatus, &st); err != nil {
		return nil, err
	}
	return &st, nil
}
