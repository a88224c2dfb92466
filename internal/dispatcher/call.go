package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Call serves a request to a plain service; a *FailureError is the final answer.
func (d *Dispatcher) Call(ctx context.Context, r CallRequest) (*forwarder.Reply, error) {
	startedAt := d.Clock.Now()
	reply, err := d.call(ctx, r)
	d.recordResult(startedAt, err)
	return reply, err
}

func (d *Dispatcher) call(ctx context.Context, r CallRequest) (*forwarder.Reply, error) {
	c := &call{
		dispatcher: d,
		request:    r,
		id:         uniqueRequestID(r.RequestID),
		deadline:   d.Clock.Now().Add(d.timeLimit(r.Deadline)),
		mayHaveRun: r.Key != "" && !r.First,
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeLimit(r.Deadline))
	defer cancel()
	reply, err := c.serve(ctx)
	if err == nil {
		return reply, nil
	}
	f := c.finalFailure(err)
	logFailure(c.id, c.attempts, f)
	return nil, f
}

// call is one request to a plain service in progress.
type call struct {
	dispatcher *Dispatcher
	request    CallRequest
	id         string
	revision   uint64
	deadline   time.Time
	service    bundler.Service

	// attempts counts all, failures those charged to the retry budget.
	attempts, failures int
	failedAgents       []string
	// boundKey is the key that this call runs under, if it has one.
	boundKey *deduplicator.Key
	// foundFull is set when the request had its turn and its replica was full.
	foundFull bool
	// mintedHere is set when boundKey was made here, for a caller without one.
	mintedHere bool
	// mayHaveRun is set while an attempt may have run whose result this entry does
	// not have: the caller gave a key that it may have used before, perhaps
	// through another entry. The answer "not run" would then invite a second booking; only the
	// key's owner can give it.
	mayHaveRun bool
}

func (c *call) serve(ctx context.Context) (*forwarder.Reply, error) {
	if err := c.prepare(ctx); err != nil {
		return nil, err
	}
	t, err := c.dispatcher.admit(c.request.Workspace, 0, c.request.Priority)
	if err != nil {
		return nil, err
	}
	defer t.Done()
	if err := c.dispatcher.acquire(); err != nil {
		return nil, err
	}
	defer c.dispatcher.release()
	c.dispatcher.Policy.Budget.RecordFirstAttempt()
	for {
		c.attempts++
		reply, err := c.attempt(ctx)
		if err == nil {
			return reply, nil
		}
		if err := c.decideRetry(ctx, err); err != nil {
			return nil, err
		}
	}
}

// prepare validates the request and finds the key that it runs under.
func (c *call) prepare(ctx context.Context) error {
	if err := c.request.Validate(); err != nil {
		return newRefusal(http.StatusBadRequest, err.Error(), 0)
	}
	b, err := c.dispatcher.currentBundle()
	if err != nil {
		return err
	}
	c.revision = b.Revision
	s, ok := b.Service(c.request.Service)
	if !ok {
		return newRefusal(http.StatusNotFound, "no service "+c.request.Service, 0)
	}
	c.service = s
	if c.request.Key == "" || s.Idempotent {
		return nil
	}
	return c.bindKey(ctx)
}

// bindKey finds the key that the call runs under. Even the entry that binds a caller's
// own can't answer "not run" by itself: a repeat through another entry may have run
// meanwhile.
func (c *call) bindKey(ctx context.Context) error {
	k, err := c.dispatcher.resolveKey(ctx, c.request.Workspace, c.request.Service, c.request.Key)
	if err != nil {
		return err
	}
	c.boundKey = &k
	return nil
}

func (c *call) attempt(ctx context.Context) (*forwarder.Reply, error) {
	d := c.dispatcher
	r := router.Request{
		Workspace: c.request.Workspace,
		Service:   c.request.Service,
		Priority:  c.request.Priority,
		Avoid:     c.failedAgents,
	}
	if c.boundKey != nil {
		// Only the owner may run the key, however badly it has answered.
		r.Owner, r.Avoid = c.boundKey.Owner, nil
	}
	choice, err := d.pick(ctx, r, c.deadline, c.foundFull)
	if err != nil {
		return nil, pickFailure(err)
	}
	logRoute(c.id, c.attempts, choice)
	d.incCounter(metricAttempts)
	attempt, _, stop := d.startWatchdog(ctx, choice.AgentID)
	defer stop()
	reply, err := d.Agents.Call(attempt, choice.Address, c.callOrder(choice), c.request.Body)
	if ctx.Err() != nil {
		choice.Release()
	} else {
		choice.Done(attemptOutcome(err))
	}
	d.recordRefusalState(err)
	if err == nil {
		d.recordState(reply.Agent)
	}
	d.attemptFinished(r, attemptOutcome(err) != retrier.NotRun)
	if err != nil && !isBusy(err) {
		c.failedAgents = append(c.failedAgents, choice.AgentID)
	}
	return reply, err
}

func (c *call) callOrder(choice *router.Choice) forwarder.CallOrder {
	return forwarder.CallOrder{
		Attempt:    forwarder.Attempt{RequestID: c.id, Number: c.attempts},
		Workspace:  c.request.Workspace,
		Service:    c.request.Service,
		Method:     c.request.Method,
		Path:       c.request.Path,
		Priority:   c.request.Priority,
		Revision:   c.revision,
		Key:        c.attemptKey(choice),
		Header:     c.request.Header,
		DeadlineMS: c.deadline.Sub(c.dispatcher.Clock.Now()).Milliseconds(),
	}
}

// attemptKey returns the key of this attempt. A call without a caller's key gets a new
// one for each attempt, since a key is bound to the chosen agent; the key is kept
// while its attempt is in doubt.
func (c *call) attemptKey(choice *router.Choice) string {
	if c.service.Idempotent {
		return ""
	}
	if c.boundKey == nil {
		k := c.dispatcher.newKey(c.request.Workspace, c.request.Service, choice)
		c.boundKey = &k
		c.mintedHere = true
	}
	return c.boundKey.String()
}

// decideRetry handles a failed attempt: nil means retry now.
func (c *call) decideRetry(ctx context.Context, err error) error {
	var f *FailureError
	if errors.As(err, &f) {
		return f
	}
	outcome := outcomeOf(err)
	earlier := c.earlierOutcome()
	closed := c.applyError(err, outcome)
	c.foundFull = isBusy(err)
	if c.foundFull && !closed && sleep(ctx, c.dispatcher.Clock, rand.N(maxBusyPause)) {
		return nil
	}
	c.failures++
	decision := c.dispatcher.Policy.Decide(retrier.Attempt{
		Outcome: outcome,
		Earlier: earlier,
		Number:  c.failures,
		// The key's owner runs it once, however often it is requested.
		Idempotent: c.service.Idempotent || c.boundKey != nil,
		Now:        c.dispatcher.Clock.Now(),
		Deadline:   c.deadline,
	})
	if decision.Retry && !closed && sleep(ctx, c.dispatcher.Clock, decision.Delay) {
		return nil
	}
	return &FailureError{
		Outcome:    outcome,
		Status:     http.StatusServiceUnavailable,
		Message:    err.Error() + " (" + decision.Reason + ")",
		RetryAfter: retryAfterOf(err),
		KeyClosed:  closed,
	}
}

func (c *call) earlierOutcome() retrier.Outcome {
	if c.mayHaveRun {
		return retrier.Unknown
	}
	return retrier.NotRun
}

// applyError records what an attempt's error means for the call, and reports whether
// the caller's key is closed for good.
func (c *call) applyError(err error, outcome retrier.Outcome) bool {
	var n *forwarder.NotRunError
	if !errors.As(err, &n) {
		c.mayHaveRun = c.mayHaveRun || outcome == retrier.Unknown
		return false
	}
	// The owner's own refusal settles the key: it alone could have run it. An
	// unreachable owner settles nothing.
	if c.boundKey != nil && !n.Gone {
		c.mayHaveRun = false
	}
	if c.mintedHere && !c.mayHaveRun {
		c.boundKey, c.mintedHere = nil, false
		return false
	}
	return n.KeyClosed && c.boundKey != nil && !c.mintedHere
}

// finalFailure answers "unknown" instead of "not run" for a call that may have run.
func (c *call) finalFailure(err error) *FailureError {
	var f *FailureError
	if !errors.As(err, &f) {
		f = &FailureError{Outcome: retrier.Unknown, Status: http.StatusBadGateway, Message: err.Error()}
	}
	if c.mayHaveRun && f.Outcome == retrier.NotRun {
		f.Outcome = retrier.Unknown
	}
	return f
}

// MintKey returns a key that makes one call idempotent, bound to the agent that
// alone may run it.
func (d *Dispatcher) MintKey(workspace, service string) (deduplicator.Key, error) {
	if _, err := d.currentBundle(); err != nil {
		return deduplicator.Key{}, err
	}
	return d.mint(workspace, service)
}

func (d *Dispatcher) mint(workspace, service string) (deduplicator.Key, error) {
	c, err := d.Router.Pick(router.Request{Workspace: workspace, Service: service})
	if err != nil {
		return deduplicator.Key{}, pickFailure(err)
	}
	c.Release()
	return d.newKey(workspace, service, c), nil
}

// Lookup returns the state of a key; it never starts anything.
func (d *Dispatcher) Lookup(ctx context.Context, workspace, service, key string) (forwarder.KeyState, error) {
	k, err := d.resolveKey(ctx, workspace, service, key)
	if err != nil {
		return forwarder.KeyUnknown, err
	}
	for _, a := range d.Router.Agents() {
		if a.ID == k.Owner && a.Incarnation == k.Incarnation {
			return d.Agents.Lookup(ctx, a.Address, k.String())
		}
	}
	return forwarder.KeyUnknown, nil
}
