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
	began := d.Clock.Now()
	reply, err := d.call(ctx, r)
	d.countEnd(began, err)
	return reply, err
}

func (d *Dispatcher) call(ctx context.Context, r CallRequest) (*forwarder.Reply, error) {
	c := &call{
		dispatcher: d,
		request:    r,
		id:         requestID(r.RequestID),
		deadline:   d.Clock.Now().Add(d.deadline(r.Deadline)),
		doubtful:   r.Key != "" && !r.First,
	}
	ctx, cancel := context.WithTimeout(ctx, d.deadline(r.Deadline))
	defer cancel()
	reply, err := c.run(ctx)
	if err == nil {
		return reply, nil
	}
	f := c.final(err)
	logFailure(c.id, c.attempts, f)
	return nil, f
}

// call is one request to a plain service under way.
type call struct {
	dispatcher *Dispatcher
	request    CallRequest
	id         string
	revision   uint64
	deadline   time.Time
	service    bundler.Service

	// attempts counts all, failures those that the retry budget paid for.
	attempts, failures int
	refusals           []string
	// bound is the key that this call runs under, when the caller brought one.
	bound *deduplicator.Key
	// busy says that the request had its turn and found its replica full.
	busy bool
	// ours says that bound was made here, for a caller that brought none.
	ours bool
	// doubtful is set while an attempt may have run of which this entry knows
	// nothing: the caller brought a key that it may have used before, perhaps
	// through another entry. Saying "not run" then would invite a second
	// booking; only the key's owner can say it.
	doubtful bool
}

func (c *call) run(ctx context.Context) (*forwarder.Reply, error) {
	if err := c.prepare(ctx); err != nil {
		return nil, err
	}
	t, err := c.dispatcher.limit(c.request.Workspace, 0, c.request.Priority)
	if err != nil {
		return nil, err
	}
	defer t.Done()
	if err := c.dispatcher.carry(); err != nil {
		return nil, err
	}
	defer c.dispatcher.drop()
	c.dispatcher.Policy.Budget.First()
	for {
		c.attempts++
		reply, err := c.attempt(ctx)
		if err == nil {
			return reply, nil
		}
		if err := c.giveUp(ctx, err); err != nil {
			return nil, err
		}
	}
}

// prepare checks the request and finds the key it runs under.
func (c *call) prepare(ctx context.Context) error {
	if err := c.request.Validate(); err != nil {
		return refuse(http.StatusBadRequest, err.Error(), 0)
	}
	b, err := c.dispatcher.bundle()
	if err != nil {
		return err
	}
	c.revision = b.Revision
	s, ok := b.Service(c.request.Service)
	if !ok {
		return refuse(http.StatusNotFound, "no service "+c.request.Service, 0)
	}
	c.service = s
	if c.request.Key == "" || s.Idempotent {
		return nil
	}
	return c.bind(ctx)
}

// bind finds the key that the call runs under. Even the entry that binds a caller's
// own can't say "not run" by itself: a repeat through another entry may have run
// meanwhile.
func (c *call) bind(ctx context.Context) error {
	k, err := c.dispatcher.boundKey(ctx, c.request.Workspace, c.request.Service, c.request.Key)
	if err != nil {
		return err
	}
	c.bound = &k
	return nil
}

func (c *call) attempt(ctx context.Context) (*forwarder.Reply, error) {
	d := c.dispatcher
	r := router.Request{
		Workspace: c.request.Workspace,
		Service:   c.request.Service,
		Priority:  c.request.Priority,
		Avoid:     c.refusals,
	}
	if c.bound != nil {
		// Only the owner may run the key, however badly it has answered.
		r.Owner, r.Avoid = c.bound.Owner, nil
	}
	choice, err := d.pick(ctx, r, c.deadline, c.busy)
	if err != nil {
		return nil, pickFailure(err)
	}
	logRoute(c.id, c.attempts, choice)
	d.count(figureAttempts)
	attempt, _, stop := d.watch(ctx, choice.AgentID)
	defer stop()
	reply, err := d.Agents.Call(attempt, choice.Address, c.order(choice), c.request.Body)
	if ctx.Err() != nil {
		choice.Release()
	} else {
		choice.Done(attemptOutcome(err))
	}
	d.hearRefusal(err)
	if err == nil {
		d.hear(reply.Agent)
	}
	d.finished(r, attemptOutcome(err) != retrier.NotRun)
	if err != nil && !isBusy(err) {
		c.refusals = append(c.refusals, choice.AgentID)
	}
	return reply, err
}

func (c *call) order(choice *router.Choice) forwarder.CallOrder {
	return forwarder.CallOrder{
		Attempt:    forwarder.Attempt{RequestID: c.id, Number: c.attempts},
		Workspace:  c.request.Workspace,
		Service:    c.request.Service,
		Method:     c.request.Method,
		Path:       c.request.Path,
		Priority:   c.request.Priority,
		Revision:   c.revision,
		Key:        c.key(choice),
		Header:     c.request.Header,
		DeadlineMS: c.deadline.Sub(c.dispatcher.Clock.Now()).Milliseconds(),
	}
}

// key is the bound key of this attempt. A call that came without one gets a key
// of its own for each attempt, since a key binds to the agent that was chosen;
// it is kept while its attempt is in doubt.
func (c *call) key(choice *router.Choice) string {
	if c.service.Idempotent {
		return ""
	}
	if c.bound == nil {
		k := c.dispatcher.newKey(c.request.Workspace, c.request.Service, choice)
		c.bound = &k
		c.ours = true
	}
	return c.bound.String()
}

// giveUp decides after a failed attempt: nil means try again now.
func (c *call) giveUp(ctx context.Context, err error) error {
	var f *FailureError
	if errors.As(err, &f) {
		return f
	}
	outcome := outcomeOf(err)
	earlier := c.earlier()
	closed := c.settle(err, outcome)
	c.busy = isBusy(err)
	if c.busy && !closed && sleep(ctx, c.dispatcher.Clock, rand.N(busyPause)) {
		return nil
	}
	c.failures++
	decision := c.dispatcher.Policy.Decide(retrier.Attempt{
		Outcome: outcome,
		Earlier: earlier,
		Number:  c.failures,
		// The key's owner runs it once however often it is asked.
		Idempotent: c.service.Idempotent || c.bound != nil,
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

func (c *call) earlier() retrier.Outcome {
	if c.doubtful {
		return retrier.Unknown
	}
	return retrier.NotRun
}

// settle notes what an attempt's error says of the whole call, and tells whether
// the caller's key is closed for good.
func (c *call) settle(err error, outcome retrier.Outcome) bool {
	var n *forwarder.NotRunError
	if !errors.As(err, &n) {
		c.doubtful = c.doubtful || outcome == retrier.Unknown
		return false
	}
	// The owner's own refusal settles the key: it alone could have run it. An
	// owner that can't be reached has said nothing.
	if c.bound != nil && !n.Gone {
		c.doubtful = false
	}
	if c.ours && !c.doubtful {
		c.bound, c.ours = nil, false
		return false
	}
	return n.KeyClosed && c.bound != nil && !c.ours
}

// final keeps a refusal honest.
func (c *call) final(err error) *FailureError {
	var f *FailureError
	if !errors.As(err, &f) {
		f = &FailureError{Outcome: retrier.Unknown, Status: http.StatusBadGateway, Message: err.Error()}
	}
	if c.doubtful && f.Outcome == retrier.NotRun {
		f.Outcome = retrier.Unknown
	}
	return f
}

// MintKey makes a key that makes one call idempotent, bound to the agent that
// alone may run it.
func (d *Dispatcher) MintKey(workspace, service string) (deduplicator.Key, error) {
	if _, err := d.bundle(); err != nil {
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

// Lookup tells what became of a key; it never starts anything.
func (d *Dispatcher) Lookup(ctx context.Context, workspace, service, key string) (forwarder.KeyState, error) {
	k, err := d.boundKey(ctx, workspace, service, key)
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
