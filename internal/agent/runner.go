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

// runner does what entries order, through the gate.
type runner struct {
	agent *Agent
}

// check refuses what the bundle in force does not allow here. Each request is
// checked by itself: a process that was frozen wakes with its holds as they
// were, and would let through what arrived meanwhile.
func (r *runner) check(placed func(*bundler.Bundle) ([]string, bool)) error {
	a := r.agent
	if err := a.State.MayServe(); err != nil {
		return &forwarder.NotRunError{Reason: err.Error()}
	}
	b, _ := a.State.Current()
	domains, ok := placed(b)
	if !ok || !b.Serves(domains, a.FailureDomain) {
		return &forwarder.NotRunError{Reason: "not placed in " + a.FailureDomain}
	}
	if !a.proven(b) {
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
	g, err := r.enter(ctx, o, stop)
	if err != nil {
		return err
	}
	s := &relay{runner: r, engine: e, order: o, ticket: g.ticket, start: start, emit: emit}
	outcome, err := s.run(ctx)
	if outcome == admitter.Cancelled {
		r.agent.streams.abandon(g)
		return err
	}
	r.agent.streams.end(g, outcome)
	return err
}

// enter takes over a stream that is resumed, or lets a new one through the gate.
// A stream that runs already is no new work: it is read on in a domain that is
// drained and through a gate that is closed.
func (r *runner) enter(ctx context.Context, o forwarder.GenerateOrder, stop context.CancelFunc) (*running, error) {
	if o.From > 0 {
		if g, ok := r.agent.streams.take(o.Stream, stop); ok {
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

// admit lets new work through the gate, which may wait for a probe. What the
// bundle allows is checked after the wait: it may have changed meanwhile.
func (r *runner) admit(ctx context.Context, w admitter.Request, placed func(*bundler.Bundle) ([]string, bool)) (*admitter.Ticket, error) {
	t, err := r.agent.Gate.AdmitWait(ctx, w)
	if err != nil {
		return nil, refused(err)
	}
	if err := r.check(placed); err != nil {
		t.Done(admitter.Result{Outcome: admitter.Cancelled})
		return nil, err
	}
	return t, nil
}

// State is the agent's account of itself without what it holds of weights.
func (r *runner) State() messenger.AgentState {
	s := r.agent.brief()
	s.Sequence = r.agent.links.next()
	return s
}

// stateAtEnd is State for the last event of a stream, whose request still counts
// as running.
func (r *runner) stateAtEnd() *messenger.AgentState {
	s := r.State()
	s.Running--
	return &s
}

// Cancel ends a stream whose caller left.
func (r *runner) Cancel(stream string) { r.agent.streams.cancel(stream) }

func (r *runner) deadline(ms int64) time.Time {
	return r.agent.Clock.Now().Add(time.Duration(ms) * time.Millisecond)
}

// refused turns the gate's refusal into the word for the entry.
func refused(err error) *forwarder.NotRunError {
	n := &forwarder.NotRunError{Reason: err.Error()}
	var f *admitter.RefusedError
	if errors.As(err, &f) {
		n.RetryAfter = f.RetryAfter
		n.Busy = f.Reason == admitter.Full || f.Reason == admitter.Unconfirmed
	}
	return n
}
