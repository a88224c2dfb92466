// Package surveyor asks the processes of a deployment what each believes, and finds those
// that disagree, are out of touch or do not answer.
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

// Status is what a process says of itself.
type Status struct {
	// VM is where it runs, Role what it is.
	VM            string `json:"vm"`
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain"`
	// Revision is the store's counter up to which it knows all changes, ConfirmedAgo how
	// long ago the store confirmed that there are no others. Known is false before it has
	// heard anything.
	Revision     uint64  `json:"revision"`
	ConfirmedAgo float64 `json:"confirmedSecondsAgo"`
	Known        bool    `json:"known"`
	TableVersion uint64  `json:"tableVersion"`
	// Weights are the newest versions named, by model.
	Weights   map[string]uint64 `json:"weights,omitempty"`
	Upstreams int               `json:"upstreams"`
	Entries   int               `json:"entries"`
	// Terms are what upstreams ask of this process, those that ask for anything.
	Terms []Terms `json:"terms,omitempty"`
	// Blames are the parts of prompts that an entry refuses.
	Blames []string `json:"blames,omitempty"`
	// NotReady says why it takes no work; empty when it does.
	NotReady     string `json:"notReady,omitempty"`
	LinesDropped int64  `json:"logLinesDropped"`
	// Engine is set for agents.
	Engine *Engine `json:"engine,omitempty"`
}

// Terms are what an upstream stated of itself in its replies to a process.
type Terms struct {
	Upstream string `json:"upstream"`
	Leaving  bool   `json:"leaving,omitempty"`
	// RestSeconds is for how much longer it wants nothing from the process.
	RestSeconds float64 `json:"restSeconds,omitempty"`
	// PerSecond is how many requests it takes from all processes; 0 for any.
	PerSecond float64 `json:"perSecond,omitempty"`
}

// Engine is what an agent says of its engine.
type Engine struct {
	Model string `json:"model"`
	// Held is the version of the weights in it; 0 for none.
	Held uint64 `json:"held"`
	// Closed says why it takes no requests; empty when it does.
	Closed string `json:"closed,omitempty"`
}

// Process is an answer, or what came instead, and what is wrong with it.
type Process struct {
	Address netip.AddrPort `json:"address"`
	// Status is nil when there was no answer.
	Status *Status `json:"status,omitempty"`
	// Faults are plain words; empty when all is well.
	Faults []string `json:"faults,omitempty"`

	err error
}

const (
	// freshFor is how old a confirmation may be: entries hold what is older for out of touch.
	freshFor = 3 * time.Second
	// settleFor is how long a process that is behind gets before it is asked once more.
	// News reach everybody within half a second.
	settleFor = time.Second
	// maxStatus bounds an answer in bytes.
	maxStatus = 1 << 20
)

// Surveyor asks processes. Set the exported fields before use.
type Surveyor struct {
	Clock clock.Clock
	// Timeout bounds each question.
	Timeout time.Duration
}

// AnswerError reports a process that answered with something else than its status.
type AnswerError struct{ Status int }

func (e *AnswerError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// Survey asks all at once, and those that seem behind a second time: a change on its way
// must not look like a process that is cut off.
func (s *Surveyor) Survey(ctx context.Context, addresses []netip.AddrPort) []Process {
	ps := make([]Process, len(addresses))
	for i, a := range addresses {
		ps[i].Address = a
	}
	s.ask(ctx, ps, func(*Process) bool { return true })
	newest := newestOf(ps)
	behind := func(p *Process) bool { return p.Status != nil && p.Status.Revision < newest.revision }
	if slices.ContainsFunc(ps, func(p Process) bool { return behind(&p) }) {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(settleFor):
		}
		s.ask(ctx, ps, behind)
	}
	for i := range ps {
		ps[i].Faults = newest.faults(&ps[i])
	}
	return ps
}

// ask asks those of the processes that are chosen.
func (s *Surveyor) ask(ctx context.Context, ps []Process, chosen func(*Process) bool) {
	t := connector.NewTransport(connector.DialContext)
	t.DisableKeepAlives = true
	client := &http.Client{Transport: t}
	var asked sync.WaitGroup
	for i := range ps {
		if p := &ps[i]; chosen(p) {
			asked.Go(func() { p.Status, p.err = s.get(ctx, client, p.Address) })
		}
	}
	asked.Wait()
}

func (s *Surveyor) get(ctx context.Context, client *http.Client, at netip.AddrPort) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/status", nil)
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
