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
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

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

// callOnce runs the call of a key unless it has run or may have run.
func (r *runner) callOnce(ctx context.Context, k deduplicator.Key, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	switch v := r.agent.Ledger.Begin(k).(type) {
	case deduplicator.Run:
		return r.runOnce(ctx, k, o, body)
	case deduplicator.Running:
		outcome, err := r.agent.Ledger.Wait(ctx, k)
		if err != nil {
			return nil, &forwarder.UnknownError{Reason: "still running: " + err.Error()}
		}
		return replyFromOutcome(outcome)
	default:
		return replyFromOutcome(v)
	}
}

// replyFromOutcome returns the answer for a key whose call must not run.
func replyFromOutcome(v deduplicator.Outcome) (*forwarder.Reply, error) {
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

// runOnce forwards the call and records its result. Unless the service provably
// never received the call, the key stays in doubt for good.
func (r *runner) runOnce(ctx context.Context, k deduplicator.Key, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	reply, err := r.forward(ctx, o, body)
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
	return r.forward(ctx, o, body)
}

// forward admits the call through the gate and reads the whole reply. The call goes
// on if the entry's connection breaks, since its answer is returned to the caller's
// next attempt.
func (r *runner) forward(ctx context.Context, o forwarder.CallOrder, body []byte) (*forwarder.Reply, error) {
	s, ok := r.agent.Upstream.(*driver.Service)
	if !ok || o.Service != r.agent.Service {
		return nil, &forwarder.NotRunError{Reason: "no service " + o.Service + " here"}
	}
	w := admitter.Request{Priority: o.Priority, Deadline: r.deadline(o.DeadlineMS)}
	t, err := r.admit(ctx, w, func(b *bundler.Bundle) ([]string, bool) {
		s, ok := b.Service(o.Service)
		return s.FailureDomains, ok
	})
	if err != nil {
		return nil, err
	}
	startedAt := r.agent.Clock.Now()
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), startedAt.Add(time.Duration(o.DeadlineMS)*time.Millisecond))
	defer cancel()
	h, _ := r.agent.health.get()
	reply, outcome, err := callService(driver.OnConnect(detached, t.Connected), s, h.StartID, o, body)
	t.Done(admitter.Result{Outcome: outcome, Latency: r.agent.Clock.Since(startedAt)})
	return reply, err
}

func callService(ctx context.Context, s *driver.Service, startID string, o forwarder.CallOrder, body []byte) (*forwarder.Reply, admitter.Outcome, error) {
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
	if err == nil {
		err = s.CheckEnd(ctx, res, startID)
	}
	if err != nil {
		return nil, admitter.Cut, &forwarder.UnknownError{Reason: err.Error()}
	}
	return &forwarder.Reply{Status: res.StatusCode, Header: res.Header, Body: data}, admitter.Served, nil
}

// Lookup returns the state of a key. It closes a key that has not been seen: after
// "not run" the caller may book again, so a late duplicate must not run.
func (r *runner) Lookup(key string) forwarder.KeyState {
	k, err := deduplicator.ParseKey(key)
	if err != nil {
		return forwarder.KeyUnknown
	}
	switch r.agent.Ledger.Close(k).(type) {
	case deduplicator.Replay:
		return forwarder.KeyRan
	case deduplicator.Running, deduplicator.Run:
		return forwarder.KeyRunning
	case deduplicator.Refused:
		return forwarder.KeyNotRun
	default:
		return forwarder.KeyUnknown
	}
}
