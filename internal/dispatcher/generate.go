package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Sink takes a stream's events on their way to the caller.
type Sink interface {
	// Begin comes before the first event. With the resume token the caller can
	// read on through any entry when this one is lost.
	Begin(resume string) error
	Event(e forwarder.Event) error
}

// Generate serves a request to a model. A *FailureError is the final answer; it
// comes either before the first event or in place of the last.
func (d *Dispatcher) Generate(ctx context.Context, g GenerateRequest, s Sink) error {
	began := d.Clock.Now()
	err := d.generate(ctx, g, s)
	d.countEnd(began, err)
	return err
}

func (d *Dispatcher) generate(ctx context.Context, g GenerateRequest, s Sink) error {
	g.Defaults()
	if err := g.Validate(); err != nil {
		return refuse(http.StatusBadRequest, err.Error(), 0)
	}
	b, err := d.bundle()
	if err != nil {
		return err
	}
	t, err := d.limit(g.Workspace, g.MaxTokens, g.Priority)
	if err != nil {
		return err
	}
	defer t.Done()
	if err := d.carry(); err != nil {
		return err
	}
	defer d.drop()
	wait := d.deadline(time.Duration(g.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r := &generation{
		dispatcher: d,
		request:    g,
		id:         requestID(g.RequestID),
		began:      d.Clock.Now(),
		revision:   b.Revision,
		deadline:   d.Clock.Now().Add(wait),
		sink:       s,
		earlier:    retrier.NotRun,
	}
	if err := r.resume(); err != nil {
		return err
	}
	return r.run(ctx)
}
