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
func settled(v deduplicator.Outcome) (*forwarder.Reply, error) {
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
	h, _ := r.agent.proof.get()
	reply, outcome, err := call(driver.OnConnect(detached, t.Connected), s, h.StartID, o, body)
	t.Done(admitter.Result{Outcome: outcome, Latency: r.agent.Clock.Since(began)})
	return reply, err
}

func call(ctx context.Context, s *driver.Service, startID string, o forwarder.CallOrder, body []byte) (*forwarder.Reply, admitter.Outcome, error) {
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

// Lookup tells what became of a key. A key that has not been seen is closed by
// the question: the caller will take "not run" as leave to book anew, so a late
// duplicate must not run afterwards.
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
