package agent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
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
	w := admitter.Work{
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
func (r *runner) admit(ctx context.Context, w admitter.Work, placed func(*bundler.Bundle) ([]string, bool)) (*admitter.Ticket, error) {
	t, err := r.agent.Gate.Enter(ctx, w)
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

// relay passes one engine's stream on.
type relay struct {
	runner *runner
	engine *driver.Engine
	order  forwarder.GenerateOrder
	ticket *admitter.Ticket
	start  func(string)
	emit   func(forwarder.Event) error
}

// run gives the gate's word on how it ended and the entry's.
func (s *relay) run(ctx context.Context) (admitter.Outcome, error) {
	h, _ := s.runner.agent.proof.get()
	stream, err := s.open(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return admitter.Cancelled, &forwarder.UnknownError{Reason: err.Error()}
		}
		if driver.NotSent(err) {
			return admitter.Refused, &forwarder.NotRunError{Reason: err.Error()}
		}
		return admitter.Cut, &forwarder.UnknownError{Reason: err.Error()}
	}
	defer stream.Close()
	s.start(h.StartID)
	return s.pump(ctx, stream, h)
}

func (s *relay) open(ctx context.Context) (*driver.Stream, error) {
	if s.order.From > 0 {
		return s.engine.Resume(ctx, s.order.Stream, s.order.From)
	}
	return s.engine.Generate(noting(ctx, s.ticket), driver.GenerateRequest{
		RequestID: s.order.Stream,
		Prompt:    s.order.Prompt,
		MaxTokens: s.order.MaxTokens,
		Priority:  s.order.Priority,
		Adapter:   s.order.Adapter,
	})
}

func (s *relay) pump(ctx context.Context, stream *driver.Stream, h driver.Health) (admitter.Outcome, error) {
	for {
		e, err := stream.Next()
		if err != nil {
			if ctx.Err() != nil {
				return admitter.Cancelled, ctx.Err()
			}
			return admitter.Cut, err
		}
		if s.order.Version != "" && e.Version != s.order.Version {
			return admitter.Cut, &driver.MixedError{Want: s.order.Version, Got: e.Version}
		}
		if err := s.runner.agent.digests.check(h, s.order.Adapter, e); err != nil {
			s.runner.agent.switcher.distrust(err)
			return admitter.Cut, err
		}
		err = s.emit(s.event(e))
		if err != nil {
			return admitter.Cancelled, err
		}
		if e.Done {
			return admitter.Served, nil
		}
	}
}

// event puts an engine's event into the form for entries.
func (s *relay) event(e driver.Event) forwarder.Event {
	v := forwarder.Event{
		Index:          e.Index,
		Token:          e.Token,
		Version:        e.Version,
		Weights:        e.Weights,
		AdapterWeights: e.AdapterWeights,
		Done:           e.Done,
		Tokens:         e.Tokens,
		Digest:         e.Digest,
	}
	if e.Done {
		v.Agent = s.runner.stateAtEnd()
	}
	return v
}

// Call runs one call of a plain service.
func (r *runner) Call(ctx context.Context, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	if o.Key == "" {
		return r.callIdempotent(ctx, o, body)
	}
	k, err := deduplicator.ParseKey(o.Key)
	if err != nil {
		return nil, &forwarder.NotRunError{Reason: err.Error()}
	}
	if k.Workspace != o.Workspace || k.Service != o.Service {
		return nil, &forwarder.NotRunError{Reason: "key is for another workspace or service"}
	}
	return r.callOnce(ctx, k, o, body)
}

// callOnce runs the call of a key unless it has run or may have.
func (r *runner) callOnce(ctx context.Context, k deduplicator.Key, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	switch v := r.agent.Ledger.Begin(k).(type) {
	case deduplicator.Run:
		return r.runOnce(ctx, k, o, body)
	case deduplicator.Running:
		ended, err := r.agent.Ledger.Wait(ctx, k)
		if err != nil {
			return nil, &forwarder.UnknownError{Reason: "still running: " + err.Error()}
		}
		return settled(ended)
	default:
		return settled(v)
	}
}

// settled is the answer for a key that is not to be run now.
func settled(v deduplicator.Verdict) (*forwarder.Reply, error) {
	switch v := v.(type) {
	case deduplicator.Replay:
		return &forwarder.Reply{Status: v.Reply.Status, Header: v.Reply.Header, Body: v.Reply.Body, Replayed: true}, nil
	case deduplicator.Refused:
		return nil, &forwarder.NotRunError{Reason: "the key was closed without running", KeyClosed: true}
	case deduplicator.Unknown:
		return nil, &forwarder.UnknownError{Reason: string(v.Reason)}
	default:
		return nil, &forwarder.UnknownError{Reason: "the key is in no settled state"}
	}
}

// runOnce passes the call on and keeps what came of it. Whatever is not proof
// that the service never had the call leaves the key in doubt for good.
func (r *runner) runOnce(ctx context.Context, k deduplicator.Key, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	reply, err := r.pass(ctx, o, body)
	var n *forwarder.NotRunError
	switch {
	case errors.As(err, &n):
		r.agent.Ledger.Refuse(k)
		n.KeyClosed = true
		return nil, n
	case err != nil:
		r.agent.Ledger.Abandon(k)
		return nil, err
	default:
		r.agent.Ledger.Finish(k, deduplicator.Reply{Status: reply.Status, Header: reply.Header, Body: reply.Body})
		return reply, nil
	}
}

func (r *runner) callIdempotent(ctx context.Context, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	b, _ := r.agent.State.Current()
	if b == nil {
		return nil, &forwarder.NotRunError{Reason: "no bundle is known yet"}
	}
	if s, ok := b.Service(o.Service); !ok || !s.Idempotent {
		return nil, &forwarder.NotRunError{Reason: "the service may not be called without a key"}
	}
	return r.pass(ctx, o, body)
}

// pass lets the call through the gate and reads the whole reply. The entry's
// connection may break meanwhile: the call goes on, since its answer is what the
// caller's next attempt will be given.
func (r *runner) pass(ctx context.Context, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	s, ok := r.agent.Upstream.(*driver.Service)
	if !ok || o.Service != r.agent.Service {
		return nil, &forwarder.NotRunError{Reason: "no service " + o.Service + " here"}
	}
	w := admitter.Work{Priority: o.Priority, Deadline: r.deadline(o.DeadlineMS)}
	t, err := r.admit(ctx, w, func(b *bundler.Bundle) ([]string, bool) {
		s, ok := b.Service(o.Service)
		return s.FailureDomains, ok
	})
	if err != nil {
		return nil, err
	}
	began := r.agent.Clock.Now()
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), began.Add(time.Duration(o.DeadlineMS)*time.Millisecond))
	defer cancel()
	reply, outcome, err := call(noting(detached, t), s, o, body)
	t.Done(admitter.Result{Outcome: outcome, Latency: r.agent.Clock.Since(began)})
	return reply, err
}

func call(ctx context.Context, s *driver.Service, o forwarder.CallOrder, body []byte) (*forwarder.Reply, admitter.Outcome, error) {
	h := http.Header{}
	for name, value := range o.Header {
		h.Set(name, value)
	}
	res, err := s.Call(ctx, o.Method, o.Path, h, strings.NewReader(string(body)))
	if err != nil {
		if driver.NotSent(err) {
			return nil, admitter.Refused, &forwarder.NotRunError{Reason: err.Error()}
		}
		return nil, admitter.Cut, &forwarder.UnknownError{Reason: err.Error()}
	}
	defer res.Body.Close()
	data, err := driver.ReadReply(res, forwarder.MaxBody)
	if err != nil {
		return nil, admitter.Cut, &forwarder.UnknownError{Reason: err.Error()}
	}
	return &forwarder.Reply{Status: res.StatusCode, Header: res.Header, Body: data}, admitter.Served, nil
}

// Lookup tells what became of a key. A key that has not been seen is closed by
// the question: the caller will take "not run" as leave to book anew, so a late
// duplicate must not run afterwards.
func (r *runner) Lookup(key string) forwarder.Fate {
	k, err := deduplicator.ParseKey(key)
	if err != nil {
		return forwarder.FateUnknown
	}
	switch r.agent.Ledger.Close(k).(type) {
	case deduplicator.Replay:
		return forwarder.FateRan
	case deduplicator.Running, deduplicator.Run:
		return forwarder.FateRunning
	case deduplicator.Refused:
		return forwarder.FateNotRun
	default:
		return forwarder.FateUnknown
	}
}
