package agent

import (
	"context"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
)

// relay forwards one engine's stream.
type relay struct {
	runner *runner
	engine *driver.Engine
	order  forwarder.GenerateOrder
	ticket *admitter.Ticket
	start  func(string)
	emit   func(forwarder.Event) error
}

// forward returns the outcome for the gate and the error for the entry.
func (s *relay) forward(ctx context.Context) (admitter.Outcome, error) {
	h, _ := s.runner.agent.health.get()
	stream, err := s.openStream(ctx)
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
	return s.forwardEvents(ctx, stream, h)
}

func (s *relay) openStream(ctx context.Context) (*driver.Stream, error) {
	if s.order.From > 0 {
		return s.engine.Resume(ctx, s.order.Stream, s.order.From)
	}
	return s.engine.Generate(driver.OnConnect(ctx, s.ticket.Connected), driver.GenerateRequest{
		RequestID: s.order.Stream,
		Prompt:    s.order.Prompt,
		MaxTokens: s.order.MaxTokens,
		Priority:  s.order.Priority,
		Adapter:   s.order.Adapter,
	})
}

func (s *relay) forwardEvents(ctx context.Context, stream *driver.Stream, h driver.Health) (admitter.Outcome, error) {
	for {
		e, err := stream.Next()
		if err != nil {
			if ctx.Err() != nil {
				return admitter.Cancelled, ctx.Err()
			}
			return admitter.Cut, err
		}
		if s.order.Version != "" && e.Version != s.order.Version {
			return admitter.Cut, &driver.InconsistentError{Want: s.order.Version, Got: e.Version}
		}
		if err := s.runner.agent.digests.checkEvent(h, s.order.Adapter, e); err != nil {
			s.runner.agent.switcher.markUntrusted(err)
			return admitter.Cut, err
		}
		err = s.emit(s.toEntryEvent(e))
		if err != nil {
			return admitter.Cancelled, err
		}
		if e.Done {
			return admitter.Served, nil
		}
	}
}

// toEntryEvent converts an engine's event to the form for entries.
func (s *relay) toEntryEvent(e driver.Event) forwarder.Event {
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
		v.Agent = s.runner.stateAfterStream()
	}
	return v
}
