package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

// generation is one streamed reply under way. It is bound to one version and one
// engine start by its first event: after that it can be resumed, never spliced.
type generation struct {
	dispatcher *Dispatcher
	request    GenerateRequest
	id         string
	began      time.Time
	revision   uint64
	deadline   time.Time
	sink       Sink

	// attempts counts all, failures those that the retry budget paid for.
	attempts, failures int
	refusals           []string
	// next is the index of the event that the caller still needs.
	next int
	bond
	// earlier joins the outcomes of the attempts before the present one.
	earlier retrier.Outcome
	// busy says that the request had its turn and found its replica full.
	busy bool
	// agent is the last agent's account of itself at the end of its stream.
	agent *messenger.AgentState
	// left says that the caller reads no more.
	left bool
	// cutAt is when the stream broke; zero while it flows.
	cutAt time.Time
}

const (
	// resumePause is about how often a cut stream's agent is asked again.
	resumePause = 150 * time.Millisecond
	// busyPause bounds the pause after an agent said that it is full.
	busyPause = 10 * time.Millisecond
)

func (g *generation) run(ctx context.Context) error {
	g.dispatcher.Policy.Budget.RecordFirstAttempt()
	for {
		g.attempts++
		err := g.attempt(ctx)
		if err == nil {
			return nil
		}
		if f := g.giveUp(ctx, err); f != nil {
			logFailure(g.id, g.attempts, f)
			return f
		}
	}
}

// giveUp decides after a failed attempt: nil means try again now.
func (g *generation) giveUp(ctx context.Context, err error) *FailureError {
	var f *finalError
	if errors.As(err, &f) {
		return g.final(f.failure)
	}
	if g.again(ctx, err) {
		return nil
	}
	g.failures++
	outcome := outcomeOf(err)
	decision := g.dispatcher.Policy.Decide(retrier.Attempt{
		Outcome:    outcome,
		Earlier:    g.earlier,
		Idempotent: true,
		Number:     g.failures,
		Streamed:   g.next > 0,
		SameEngine: g.EngineStart != "",
		Now:        g.dispatcher.Clock.Now(),
		Deadline:   g.deadline,
	})
	g.earlier = retrier.Combine(g.earlier, outcome)
	if decision.Retry && sleep(ctx, g.dispatcher.Clock, decision.Delay) {
		return nil
	}
	return g.final(&FailureError{
		Outcome:    outcome,
		Status:     http.StatusServiceUnavailable,
		Message:    err.Error() + " (" + decision.Reason + ")",
		RetryAfter: retryAfterOf(err),
	})
}

// again tells whether the next attempt costs nothing of the retry budget. An
// agent that was full has done no work for the request, which goes back in line;
// a stream that was cut is read on from where it was, and no work is done anew.
func (g *generation) again(ctx context.Context, err error) bool {
	d := g.dispatcher
	now := d.Clock.Now()
	if g.next > 0 {
		if g.cutAt.IsZero() {
			g.cutAt = now
		}
		return now.Sub(g.cutAt) < d.ResumeFor && sleep(ctx, d.Clock, resumePause/2+rand.N(resumePause))
	}
	g.busy = isBusy(err)
	return g.busy && now.Before(g.deadline) && sleep(ctx, d.Clock, rand.N(busyPause))
}

// final keeps a refusal honest: only if no attempt may have run is it "not run".
func (g *generation) final(f *FailureError) *FailureError {
	if g.next > 0 {
		f.Outcome = retrier.Ran
		return f
	}
	f.Outcome = retrier.Combine(f.Outcome, g.earlier)
	return f
}

// finalError is a failure after which no further attempt makes sense.
type finalError struct {
	failure *FailureError
}

func (e *finalError) Error() string { return e.failure.Error() }

func (g *generation) attempt(ctx context.Context) error {
	d := g.dispatcher
	r := router.Request{
		Workspace:   g.request.Workspace,
		Model:       g.request.Model,
		Adapter:     g.request.Adapter,
		Prompt:      g.request.Prompt,
		Priority:    g.request.Priority,
		Tokens:      g.request.MaxTokens,
		Owner:       g.Owner,
		Version:     g.Version,
		EngineStart: g.EngineStart,
		Avoid:       g.refusals,
	}
	c, err := d.pick(ctx, r, g.deadline, g.busy)
	if err != nil {
		return g.noChoice(err)
	}
	logRoute(g.id, g.attempts, c)
	d.count(figureAttempts)
	err = g.relay(ctx, c)
	g.end(ctx, c, err)
	d.finished(r, attemptOutcome(err) != retrier.NotRun)
	return err
}

// end gives the attempt back and takes in what its answer said of the agent.
func (g *generation) end(ctx context.Context, c *router.Choice, err error) {
	var f *finalError
	given := ctx.Err() != nil || g.left
	if given || errors.As(err, &f) {
		g.cancel(ctx, c)
	}
	if given {
		// The caller left or ran out of time, which says nothing of the replica.
		c.Release()
		return
	}
	c.Done(attemptOutcome(err))
	g.dispatcher.hear(g.agent)
	g.dispatcher.hearRefusal(err)
}

// noChoice is final before the first event; a stream that was cut waits for its
// agent to come back, since only there it can be resumed.
func (g *generation) noChoice(err error) error {
	if g.next > 0 {
		return &forwarder.NotRunError{Reason: err.Error()}
	}
	return &finalError{failure: pickFailure(err)}
}

func attemptOutcome(err error) retrier.Outcome {
	if err == nil {
		return retrier.Ran
	}
	return outcomeOf(err)
}

// relay sends one attempt and passes its events on.
func (g *generation) relay(ctx context.Context, c *router.Choice) error {
	if g.next == 0 {
		g.Stream = g.id + "." + strconv.Itoa(g.attempts)
	}
	ctx, w, stop := g.dispatcher.watch(ctx, c.AgentID)
	defer stop()
	stream, err := g.dispatcher.Agents.Generate(ctx, c.Address, g.order(c))
	if err != nil {
		g.avoid(c.AgentID, err)
		return err
	}
	defer stream.Close()
	if g.next > 0 && stream.EngineStart != g.EngineStart {
		return &finalError{failure: g.ended("the engine restarted")}
	}
	for {
		e, err := stream.Next()
		if err != nil {
			return &forwarder.UnknownError{Reason: err.Error()}
		}
		w.event()
		g.agent = e.Agent
		if err := g.pass(e, c, stream); err != nil {
			return err
		}
		if e.Done {
			return nil
		}
	}
}

// avoid keeps further attempts away from an agent that failed. One that was only
// full may be free by the time it is this request's turn.
func (g *generation) avoid(id string, err error) {
	if g.next == 0 && !isBusy(err) {
		g.refusals = append(g.refusals, id)
	}
}

func (g *generation) order(c *router.Choice) forwarder.GenerateOrder {
	return forwarder.GenerateOrder{
		Attempt:     forwarder.Attempt{RequestID: g.id, Number: g.attempts},
		Workspace:   g.request.Workspace,
		Model:       g.request.Model,
		Adapter:     g.request.Adapter,
		Prompt:      g.request.Prompt,
		MaxTokens:   g.request.MaxTokens,
		Priority:    g.request.Priority,
		Revision:    g.revision,
		Version:     c.Version,
		EngineStart: g.EngineStart,
		Stream:      g.Stream,
		From:        g.next,
		DeadlineMS:  g.deadline.Sub(g.dispatcher.Clock.Now()).Milliseconds(),
	}
}

// pass checks one event against what the reply is bound to and hands it on. An
// event that is out of order or of other weights would make the reply mixed; the
// stream ends there instead.
func (g *generation) pass(e forwarder.Event, c *router.Choice, s *forwarder.Stream) error {
	if e.Failure != nil {
		return &forwarder.UnknownError{Reason: e.Failure.Message}
	}
	if err := g.bind(e, c, s); err != nil {
		return err
	}
	if e.Weights != g.Weights || e.Version != g.Version || e.AdapterWeights != g.AdapterWeights {
		return &finalError{failure: g.ended("the weights changed")}
	}
	if position(e) != g.next {
		return &finalError{failure: g.ended("events were lost")}
	}
	e.Agent = nil
	if err := g.sink.Event(e); err != nil {
		g.left = true
		return &finalError{failure: g.ended("the caller left")}
	}
	if !e.Done {
		g.next++
		g.cutAt = time.Time{}
	}
	return nil
}

// position is how many events come before this one.
func position(e forwarder.Event) int {
	if e.Done {
		return e.Tokens
	}
	return e.Index
}

// ended is the honest end of a stream that can not be completed.
func (g *generation) ended(why string) *FailureError {
	return &FailureError{
		Outcome:    retrier.Ran,
		Status:     http.StatusBadGateway,
		Message:    "the reply is not whole: " + why,
		RetryAfter: pause(),
	}
}
