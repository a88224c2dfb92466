// Package dispatcher carries a caller's request through an entry: it checks and
// limits it, picks an agent, sends it, and decides after each answer whether to
// try again, resume, or tell the caller what is known.
package dispatcher

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Dispatcher is an entry's decisions about requests. Its fields are set before
// the first request.
type Dispatcher struct {
	// ID is the entry's.
	ID      string
	State   *gossiper.State
	Router  *router.Router
	Limiter *limiter.Limiter
	Policy  *retrier.Policy
	Claims  *deduplicator.Claims
	Agents  *forwarder.Client
	Clock   clock.WithTicker
	// Deadline is the longest time for one request.
	Deadline time.Duration
	// QueueFor is the longest time a request waits in line for a replica.
	QueueFor time.Duration
	// ResumeFor is how long a stream that was cut waits for its agent to return.
	ResumeFor time.Duration
	// StallFor is how long an attempt may bring nothing before it is given up.
	StallFor time.Duration
	// Concurrent bounds the requests that this entry carries at once.
	Concurrent int
	// Metrics takes the dispatcher's figures.
	Metrics metrics.Registry

	queues  queues
	carried atomic.Int64
}

// FailureError is the final answer to a request that was not served whole.
type FailureError struct {
	Outcome retrier.Outcome
	// Status is the HTTP status that says the same.
	Status  int
	Message string
	// RetryAfter is when to come back; 0 when that is of no use.
	RetryAfter time.Duration
	// KeyClosed means that the request's key will never run: make a new one.
	KeyClosed bool
}

func (e *FailureError) Error() string { return e.Outcome.String() + ": " + e.Message }

// Bounds of the pause that a caller is told to make when nothing better is known.
// The spread keeps callers from returning all together.
const (
	shortestPause = 200 * time.Millisecond
	longestPause  = 600 * time.Millisecond
)

func pause() time.Duration {
	return shortestPause + rand.N(longestPause-shortestPause)
}

// bundle gives the bundle in force, or why no new work may be taken.
func (d *Dispatcher) bundle() (*bundler.Bundle, error) {
	b, _ := d.State.Current()
	if b == nil {
		return nil, refuse(http.StatusServiceUnavailable, "no bundle is in force yet", pause())
	}
	if err := d.State.MayServe(); err != nil {
		return nil, refuse(http.StatusServiceUnavailable, err.Error(), pause())
	}
	return b, nil
}

// refuse is an answer before anything was sent.
func refuse(status int, message string, after time.Duration) *FailureError {
	return &FailureError{Outcome: retrier.NotRun, Status: status, Message: message, RetryAfter: after}
}

// carry counts a request in, or refuses it at once when this entry carries all it
// may: more would only make every reply slower.
func (d *Dispatcher) carry() error {
	if n := d.carried.Add(1); n > int64(d.Concurrent) {
		d.carried.Add(-1)
		return refuse(http.StatusServiceUnavailable, "this entry carries all the requests it may", pause())
	}
	return nil
}

// Carried is how many requests are under way here.
func (d *Dispatcher) Carried() int { return int(d.carried.Load()) }

func (d *Dispatcher) drop() { d.carried.Add(-1) }

// limit asks the limiter and turns its refusal into the final answer.
func (d *Dispatcher) limit(workspace string, tokens, priority int) (*limiter.Ticket, error) {
	t, err := d.Limiter.Admit(workspace, tokens, priority)
	if err == nil {
		return t, nil
	}
	var l *limiter.LimitedError
	if errors.As(err, &l) {
		return nil, refuse(http.StatusTooManyRequests, err.Error(), l.RetryAfter)
	}
	var unknown *limiter.UnknownWorkspaceError
	if errors.As(err, &unknown) {
		// No time to come back: asking again changes nothing.
		return nil, refuse(http.StatusForbidden, err.Error(), 0)
	}
	return nil, refuse(http.StatusServiceUnavailable, err.Error(), pause())
}

// pickFailure turns the router's refusal into the final answer.
func pickFailure(err error) *FailureError {
	var (
		final   *FailureError
		shed    *limiter.ShedError
		full    *router.FullError
		none    *router.NoReplicaError
		model   *router.UnknownModelError
		service *router.UnknownServiceError
		space   *router.UnknownWorkspaceError
		barred  *router.NotAllowedError
	)
	switch {
	case errors.As(err, &final):
		return final
	case errors.As(err, &shed):
		return refuse(http.StatusServiceUnavailable, err.Error(), shed.RetryAfter)
	case errors.As(err, &full):
		return refuse(http.StatusServiceUnavailable, err.Error(), full.RetryAfter)
	case errors.As(err, &none):
		return refuse(http.StatusServiceUnavailable, err.Error(), pause())
	case errors.As(err, &model), errors.As(err, &service):
		return refuse(http.StatusNotFound, err.Error(), 0)
	case errors.As(err, &space), errors.As(err, &barred):
		return refuse(http.StatusForbidden, err.Error(), 0)
	default:
		return refuse(http.StatusServiceUnavailable, err.Error(), pause())
	}
}

// outcomeOf is what an error from an agent says of the attempt.
func outcomeOf(err error) retrier.Outcome {
	var n *forwarder.NotRunError
	if errors.As(err, &n) {
		return retrier.NotRun
	}
	return retrier.Unknown
}

// isBusy tells whether an agent refused only because it was full.
func isBusy(err error) bool {
	var n *forwarder.NotRunError
	return errors.As(err, &n) && n.Busy
}

// hear takes an agent's account of itself that came with an answer.
func (d *Dispatcher) hear(s *messenger.AgentState) {
	if s != nil {
		d.Router.Report(*s)
	}
}

// hearRefusal does so for an answer that is an error.
func (d *Dispatcher) hearRefusal(err error) {
	var n *forwarder.NotRunError
	if errors.As(err, &n) {
		d.hear(n.Agent)
	}
}

// retryAfterOf is when the agent said to come back, or a pause of our own.
func retryAfterOf(err error) time.Duration {
	var n *forwarder.NotRunError
	if errors.As(err, &n) && n.RetryAfter > 0 {
		return n.RetryAfter
	}
	return pause()
}

// requestID keeps the caller's name for the request and makes it unique, since
// callers may use one twice.
func requestID(given string) string {
	id := uuid.NewString()
	if given == "" {
		return id
	}
	return given + "~" + id
}

// answerMargin is how much before its caller's deadline a request is given up, so that the answer reaches the
// caller within it.
const answerMargin = 15 * time.Millisecond

// deadline is the shorter of the caller's, less the time for the answer, and the entry's.
func (d *Dispatcher) deadline(wanted time.Duration) time.Duration {
	if wanted > 0 && wanted < d.Deadline {
		return max(wanted-answerMargin, wanted/2)
	}
	return d.Deadline
}

// logRoute writes the line that each routing decision gets.
func logRoute(request string, attempt int, c *router.Choice) {
	klog.InfoS("Route", "request", request, "attempt", strconv.Itoa(attempt), "agent", c.AgentID,
		"failureDomain", c.FailureDomain, "version", c.Version, "reason", c.Reason)
}

// logFailure writes the line of a request that could not be served whole.
func logFailure(request string, attempts int, err *FailureError) {
	klog.InfoS("Give up", "request", request, "attempts", attempts, "outcome", err.Outcome.String(),
		"retryAfter", err.RetryAfter, "reason", err.Message)
}
