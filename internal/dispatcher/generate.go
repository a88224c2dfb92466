package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Sink receives a stream's events for the caller.
type Sink interface {
	// Start comes before the first event. With the resume token the caller can
	// resume through any entry when this one is lost.
	Start(resume string) error
	Event(e forwarder.Event) error
}

// Generate serves a request to a model. A *FailureError is the final answer; it
// comes either before the first event or in place of the last.
func (d *Dispatcher) Generate(ctx context.Context, g GenerateRequest, s Sink) error {
	startedAt := d.Clock.Now()
	err := d.generate(ctx, g, s)
	d.recordResult(startedAt, err)
	return err
}

func (d *Dispatcher) generate(ctx context.Context, g GenerateRequest, s Sink) error {
	g.SetDefaults()
	if err := g.Validate(); err != nil {
		return newRefusal(http.StatusBadRequest, err.Error(), 0)
	}
	b, err := d.currentBundle()
	if err != nil {
		return err
	}
	t, err := d.admit(g.Workspace, g.MaxTokens, g.Priority)
	if err != nil {
		return err
	}
	defer t.Done()
	if err := d.acquire(); err != nil {
		return err
	}
	defer d.release()
	timeLimit := d.timeLimit(time.Duration(g.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	r := &generation{
		dispatcher: d,
		request:    g,
		id:         uniqueRequestID(g.RequestID),
		startedAt:  d.Clock.Now(),
		revision:   b.Revision,
		deadline:   d.Clock.Now().Add(timeLimit),
		sink:       s,
		earlier:    retrier.NotRun,
	}
	if err := r.resumeStream(); err != nil {
		return err
	}
	return r.serve(ctx)
}
