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

// generation is one streamed reply in progress. Its first event binds it to one version
// and one engine start: after that it can be resumed, never spliced.
type generation struct {
	dispatcher *Dispatcher
	request    GenerateRequest
	id         string
	startedAt  time.Time
	revision   uint64
	deadline   time.Time
	sink       Sink

	// attempts counts all, failures those charged to the retry budget.
	attempts, failures int
	failedAgents       []string
	// nextEvent is the index of the event that the caller still needs.
	nextEvent int
	streamBinding
	// earlier joins the outcomes of the attempts before the current one.
	earlier retrier.Outcome
	// foundFull is set when the request had its turn and its replica was full.
	foundFull bool
	// agentState is the last agent's state at the end of its stream.
	agentState *messenger.AgentState
	// callerLeft is set once the caller stopped reading.
	callerLeft bool
	// cutTime is when the stream broke; zero while it flows.
	cutTime time.Time
}

const (
	// resumeInterval is the mean time between attempts to resume a cut stream.
	resumeInterval = 150 * time.Millisecond
	// maxBusyPause bounds the pause after an agent reported that it is full.
	maxBusyPause = 10 * time.Millisecond
)

func (g *generation) serve(ctx context.Context) error {
	g.dispatcher.Policy.Budget.RecordFirstAttempt()
	for {
		g.attempts++
		err := g.attempt(ctx)
		if err == nil {
			return nil
		}
		if f := g.decideRetry(ctx, err); f != nil {
			logFailure(g.id, g.attempts, f)
			return f
		}
	}
}

// decideRetry handles a failed attempt: nil means retry now.
func (g *generation) decideRetry(ctx context.Context, err error) *FailureError {
	var f *finalError
	if errors.As(err, &f) {
		return g.finalFailure(f.failure)
	}
	if g.retryWithoutBudget(ctx, err) {
		return nil
	}
	g.failures++
	outcome := outcomeOf(err)
	decision := g.dispatcher.Policy.Decide(retrier.Attempt{
		Outcome:    outcome,
		Earlier:    g.earlier,
		Idempotent: true,
		Number:     g.failures,
		Streamed:   g.nextEvent > 0,
		SameEngine: g.EngineStart != "",
		Now:        g.dispatcher.Clock.Now(),
		Deadline:   g.deadline,
	})
	g.earlier = retrier.Combine(g.earlier, outcome)
	if decision.Retry && sleep(ctx, g.dispatcher.Clock, decision.Delay) {
		return nil
	}
	return g.finalFailure(&FailureError{
		Outcome:    outcome,
		Status:     http.StatusServiceUnavailable,
		Message:    err.Error() + " (" + decision.Reason + ")",
		RetryAfter: retryAfterOf(err),
	})
}

// retryWithoutBudget reports whether the next attempt is free of the retry budget. A
// full agent has done no work for the request, which returns to the queue; a cut
// stream resumes where it broke, and no work is repeated.
func (g *generation) retryWithoutBudget(ctx context.Context, err error) bool {
	d := g.dispatcher
	now := d.Clock.Now()
	if g.nextEvent > 0 {
		if g.cutTime.IsZero() {
			g.cutTime = now
		}
		return now.Sub(g.cutTime) < d.ResumeFor && sleep(ctx, d.Clock, resumeInterval/2+rand.N(resumeInterval))
	}
	g.foundFull = isBusy(err)
	return g.foundFull && now.Before(g.deadline) && sleep(ctx, d.Clock, rand.N(maxBusyPause))
}

// finalFailure answers "not run" only if no attempt may have run.
func (g *generation) finalFailure(f *FailureError) *FailureError {
	if g.nextEvent > 0 {
		f.Outcome = retrier.Ran
		return f
	}
	f.Outcome = retrier.Combine(f.Outcome, g.earlier)
	return f
}

// finalError is a failure after which no further attempt is made.
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
		Avoid:       g.failedAgents,
	}
	c, err := d.pick(ctx, r, g.deadline, g.foundFull)
	if err != nil {
		return g.pickError(err)
	}
	logRoute(g.id, g.attempts, c)
	d.incCounter(metricAttempts)
	err = g.relayStream(ctx, c)
	g.finishAttempt(ctx, c, err)
	d.attemptFinished(r, attemptOutcome(err) != retrier.NotRun)
	return err
}

// finishAttempt ends the attempt and records the agent's state from its answer.
func (g *generation) finishAttempt(ctx context.Context, c *router.Choice, err error) {
	var f *finalError
	abandoned := ctx.Err() != nil || g.callerLeft
	if abandoned || errors.As(err, &f) {
		g.cancelStream(ctx, c)
	}
	if abandoned {
		// The caller left or ran out of time, which is no fault of the replica.
		c.Release()
		return
	}
	c.Done(attemptOutcome(err))
	g.dispatcher.recordState(g.agentState)
	g.dispatcher.recordRefusalState(err)
}

// pickError is final before the first event; a stream that was cut waits for its
// agent to return, since only there it can be resumed.
func (g *generation) pickError(err error) error {
	if g.nextEvent > 0 {
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

// relayStream sends one attempt and forwards its events.
func (g *generation) relayStream(ctx context.Context, c *router.Choice) error {
	if g.nextEvent == 0 {
		g.Stream = g.id + "." + strconv.Itoa(g.attempts)
	}
	ctx, w, stop := g.dispatcher.startWatchdog(ctx, c.AgentID)
	defer stop()
	stream, err := g.dispatcher.Agents.Generate(ctx, c.Address, g.generateOrder(c))
	if err != nil {
		g.avoidAgent(c.AgentID, err)
		return err
	}
	defer stream.Close()
	if g.nextEvent > 0 && stream.EngineStart != g.EngineStart {
		return &finalError{failure: g.incompleteReply("the engine restarted")}
	}
	for {
		e, err := stream.Next()
		if err != nil {
			return &forwarder.UnknownError{Reason: err.Error()}
		}
		w.recordEvent()
		g.agentState = e.Agent
		if err := g.forwardEvent(e, c, stream); err != nil {
			return err
		}
		if e.Done {
			return nil
		}
	}
}

// avoidAgent excludes an agent that failed from further attempts. One that was only
// full may be free by the request's next turn.
func (g *generation) avoidAgent(id string, err error) {
	if g.nextEvent == 0 && !isBusy(err) {
		g.failedAgents = append(g.failedAgents, id)
	}
}

func (g *generation) generateOrder(c *router.Choice) forwarder.GenerateOrder {
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
		From:        g.nextEvent,
		DeadlineMS:  g.deadline.Sub(g.dispatcher.Clock.Now()).Milliseconds(),
	}
}

// forwardEvent checks one event against the reply's binding and forwards it. An event
// that is out of order or of other weights would make the reply mixed, so the stream
// ends there.
func (g *generation) forwardEvent(e forwarder.Event, c *router.Choice, s *forwarder.Stream) error {
	if e.Failure != nil {
		return &forwarder.UnknownError{Reason: e.Failure.Message}
	}
	if err := g.bindStream(e, c, s); err != nil {
		return err
	}
	if e.Weights != g.Weights || e.Version != g.Version || e.AdapterWeights != g.AdapterWeights {
		return &finalError{failure: g.incompleteReply("the weights changed")}
	}
	if eventPosition(e) != g.nextEvent {
		return &finalError{failure: g.incompleteReply("events were lost")}
	}
	e.Agent = nil
	if err := g.sink.Event(e); err != nil {
		g.callerLeft = true
		return &finalError{failure: g.incompleteReply("the caller left")}
	}
	if !e.Done {
		g.nextEvent++
		g.cutTime = time.Time{}
	}
	return nil
}

// eventPosition is the number of events before this one.
func eventPosition(e forwarder.Event) int {
	if e.Done {
		return e.Tokens
	}
	return e.Index
}

// incompleteReply is the failure of a stream that can not be completed.
func (g *generation) incompleteReply(why string) *FailureError {
	return &FailureError{
		Outcome:    retrier.Ran,
		Status:     http.StatusBadGateway,
		Message:    "the reply is not whole: " + why,
		RetryAfter: randomRetryAfter(),
	}
}
