package agent

import (
	"context"
	"errors"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// runner executes the orders of entries, through the gate.
type runner struct {
	agent *Agent
}

// checkAllowed refuses work that the bundle in force does not allow here. Each request is
// checked by itself: a process that was suspended resumes with outdated holds, and
// would admit requests that arrived meanwhile.
func (r *runner) checkAllowed(lookupDomains func(*bundler.Bundle) ([]string, bool)) error {
	a := r.agent
	if err := a.State.MayServe(); err != nil {
		return &forwarder.NotRunError{Reason: err.Error()}
	}
	b, _ := a.State.Current()
	domains, ok := lookupDomains(b)
	if !ok || !b.Serves(domains, a.FailureDomain) {
		return &forwarder.NotRunError{Reason: "not placed in " + a.FailureDomain}
	}
	if !a.isProven(b) {
		return &forwarder.NotRunError{Reason: "the upstream is not proved to hold what the bundle names"}
	}
	return nil
}

// Generate runs or resumes a stream.
func (r *runner) Generate(ctx context.Context, o forwarder.GenerateOrder, start func(string), emit func(forwarder.Event) error) error {
	e, ok := r.agent.Upstream.(*driver.Engine)
	if !ok {
		return &forwarder.NotRunError{Reason: "no engine here"}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, err := r.admitOrResume(ctx, o, stop)
	if err != nil {
		return err
	}
	s := &relay{runner: r, engine: e, order: o, ticket: g.ticket, start: start, emit: emit}
	outcome, err := s.forward(ctx)
	if outcome == admitter.Cancelled {
		r.agent.streams.abandon(g)
		return err
	}
	r.agent.streams.finish(g, outcome)
	return err
}

// admitOrResume takes over a stream that is resumed, or admits a new one through the
// gate. A running stream is no new work: it can be resumed in a drained domain and
// through a closed gate.
func (r *runner) admitOrResume(ctx context.Context, o forwarder.GenerateOrder, stop context.CancelFunc) (*runningStream, error) {
	if o.From > 0 {
		if g, ok := r.agent.streams.takeOver(o.Stream, stop); ok {
			return g, nil
		}
	}
	w := admitter.Request{
		Priority:    o.Priority,
		Deadline:    r.deadline(o.DeadlineMS),
		Model:       o.Model,
		Version:     o.Version,
		EngineStart: o.EngineStart,
	}
	t, err := r.admit(ctx, w, func(b *bundler.Bundle) ([]string, bool) {
		m, ok := b.Model(o.Model)
		return m.FailureDomains, ok
	})
	if err != nil {
		return nil, err
	}
	return r.agent.streams.add(o.Stream, t, stop), nil
}

// admit admits new work through the gate, which may wait for a probe. The bundle is
// checked after the wait, since it may have changed meanwhile.
func (r *runner) admit(ctx context.Context, w admitter.Request, lookupDomains func(*bundler.Bundle) ([]string, bool)) (*admitter.Ticket, error) {
	t, err := r.agent.Gate.AdmitWait(ctx, w)
	if err != nil {
		return nil, notRunError(err)
	}
	if err := r.checkAllowed(lookupDomains); err != nil {
		t.Done(admitter.Result{Outcome: admitter.Cancelled})
		return nil, err
	}
	return t, nil
}

// State returns the agent's state without the weights that it holds.
func (r *runner) State() messenger.AgentState {
	s := r.agent.stateWithoutHoldings()
	s.Sequence = r.agent.links.nextSequence()
	return s
}

// stateAfterStream is State for the last event of a stream, whose request still
// counts as running.
func (r *runner) stateAfterStream() *messenger.AgentState {
	s := r.State()
	s.Running--
	return &s
}

// Cancel ends a stream whose caller left.
func (r *runner) Cancel(stream string) { r.agent.streams.cancel(stream) }

func (r *runner) deadline(ms int64) time.Time {
	return r.agent.Clock.Now().Add(time.Duration(ms) * time.Millisecond)
}

// notRunError converts the gate's refusal to the error for the entry.
func notRunError(err error) *forwarder.NotRunError {
	n := &forwarder.NotRunError{Reason: err.Error()}
	var f *admitter.RefusedError
	if errors.As(err, &f) {
		n.RetryAfter = f.RetryAfter
		n.Busy = f.Reason == admitter.Full || f.Reason == admitter.Unconfirmed
	}
	return n
}
