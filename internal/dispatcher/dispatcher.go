// Package dispatcher carries a caller's request through an entry: it validates and
// limits it, picks an agent, sends it, and decides after each answer whether to
// retry, resume, or return a final answer.
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

// Dispatcher handles an entry's requests. Its fields are set before the first
// request.
type Dispatcher struct {
	// ID is the ID of the entry.
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
	// QueueFor is the longest time that a request is queued for a replica.
	QueueFor time.Duration
	// ResumeFor is how long a stream that was cut waits for its agent to return.
	ResumeFor time.Duration
	// StallFor is how long an attempt may receive nothing before it is given up.
	StallFor time.Duration
	// Concurrent bounds the requests in flight at this entry.
	Concurrent int
	// Metrics holds the dispatcher's metrics.
	Metrics metrics.Registry

	queues   queues
	inFlight atomic.Int64
}

// FailureError is the final answer to a request that was not served whole.
type FailureError struct {
	Outcome retrier.Outcome
	// Status is the matching HTTP status.
	Status  int
	Message string
	// RetryAfter is when to retry; 0 when that is of no use.
	RetryAfter time.Duration
	// KeyClosed means that the request's key will never run and a new one is needed.
	KeyClosed bool
}

func (e *FailureError) Error() string { return e.Outcome.String() + ": " + e.Message }

// Bounds of the retry delay that a caller is given when nothing better is known.
// The spread keeps callers from returning all together.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

func randomRetryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}

// currentBundle returns the bundle in force, or why no new work may be taken.
func (d *Dispatcher) currentBundle() (*bundler.Bundle, error) {
	b, _ := d.State.Current()
	if b == nil {
		return nil, newRefusal(http.StatusServiceUnavailable, "no bundle is in force yet", randomRetryAfter())
	}
	if err := d.State.MayServe(); err != nil {
		return nil, newRefusal(http.StatusServiceUnavailable, err.Error(), randomRetryAfter())
	}
	return b, nil
}

// newRefusal returns the answer to a request that was not sent to an agent.
func newRefusal(status int, message string, after time.Duration) *FailureError {
	return &FailureError{Outcome: retrier.NotRun, Status: status, Message: message, RetryAfter: after}
}

// acquire counts a request in, or refuses it when this entry is at its limit: more
// would only make every reply slower.
func (d *Dispatcher) acquire() error {
	if n := d.inFlight.Add(1); n > int64(d.Concurrent) {
		d.inFlight.Add(-1)
		return newRefusal(http.StatusServiceUnavailable, "this entry carries all the requests it may", randomRetryAfter())
	}
	return nil
}

// InFlight is the number of requests in progress here.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

func (d *Dispatcher) release() { d.inFlight.Add(-1) }

// admit applies the limiter and converts its refusal to the final answer.
func (d *Dispatcher) admit(workspace string, tokens, priority int) (*limiter.Ticket, error) {
	t, err := d.Limiter.Admit(workspace, tokens, priority)
	if err == nil {
		return t, nil
	}
	var l *limiter.LimitedError
	if errors.As(err, &l) {
		return nil, newRefusal(http.StatusTooManyRequests, err.Error(), l.RetryAfter)
	}
	var unknown *limiter.UnknownWorkspaceError
	if errors.As(err, &unknown) {
		// No RetryAfter, since a retry changes nothing.
		return nil, newRefusal(http.StatusForbidden, err.Error(), 0)
	}
	return nil, newRefusal(http.StatusServiceUnavailable, err.Error(), randomRetryAfter())
}

// pickFailure converts the router's refusal to the final answer.
func pickFailure(err error) *FailureError {
	var (
		final      *FailureError
		shed       *limiter.ShedError
		full       *router.FullError
		none       *router.NoReplicaError
		model      *router.UnknownModelError
		service    *router.UnknownServiceError
		workspace  *router.UnknownWorkspaceError
		notAllowed *router.NotAllowedError
	)
	switch {
	case errors.As(err, &final):
		return final
	case errors.As(err, &shed):
		return newRefusal(http.StatusServiceUnavailable, err.Error(), shed.RetryAfter)
	case errors.As(err, &full):
		return newRefusal(http.StatusServiceUnavailable, err.Error(), full.RetryAfter)
	case errors.As(err, &none):
		return newRefusal(http.StatusServiceUnavailable, err.Error(), randomRetryAfter())
	case errors.As(err, &model), errors.As(err, &service):
		return newRefusal(http.StatusNotFound, err.Error(), 0)
	case errors.As(err, &workspace), errors.As(err, &notAllowed):
		return newRefusal(http.StatusForbidden, err.Error(), 0)
	default:
		return newRefusal(http.StatusServiceUnavailable, err.Error(), randomRetryAfter())
	}
}

// outcomeOf is the outcome of an attempt that ended with an error.
func outcomeOf(err error) retrier.Outcome {
	var n *forwarder.NotRunError
	if errors.As(err, &n) {
		return retrier.NotRun
	}
	return retrier.Unknown
}

// isBusy reports whether an agent refused only because it was full.
func isBusy(err error) bool {
	var n *forwarder.NotRunError
	return errors.As(err, &n) && n.Busy
}

// recordState records an agent's state that came with an answer.
func (d *Dispatcher) recordState(s *messenger.AgentState) {
	if s != nil {
		d.Router.Report(*s)
	}
}

// recordRefusalState does so for an answer that is an error.
func (d *Dispatcher) recordRefusalState(err error) {
	var n *forwarder.NotRunError
	if errors.As(err, &n) {
		d.recordState(n.Agent)
	}
}

// retryAfterOf is the agent's retry delay, or a random one if it gave none.
func retryAfterOf(err error) time.Duration {
	var n *forwarder.NotRunError
	if errors.As(err, &n) && n.RetryAfter > 0 {
		return n.RetryAfter
	}
	return randomRetryAfter()
}

// uniqueRequestID makes the caller's request ID unique, since callers may use one
// twice.
func uniqueRequestID(given string) string {
	id := uuid.NewString()
	if given == "" {
		return id
	}
	return given + "~" + id
}

// answerMargin is how much before its caller's deadline a request is given up, so that the answer arrives
// in time.
const answerMargin = 15 * time.Millisecond

// timeLimit is the shorter of the caller's deadline, less the time for the answer, and the entry's.
func (d *Dispatcher) timeLimit(wanted time.Duration) time.Duration {
	if wanted > 0 && wanted < d.Deadline {
		return max(wanted-answerMargin, wanted/2)
	}
	return d.Deadline
}

// logRoute logs a routing decision.
func logRoute(request string, attempt int, c *router.Choice) {
	klog.InfoS("Route", "request", request, "attempt", strconv.Itoa(attempt), "agent", c.AgentID,
		"failureDomain", c.FailureDomain, "version", c.Version, "reason", c.Reason)
}

// logFailure logs a request that could not be served whole.
func logFailure(request string, attempts int, err *FailureError) {
	klog.InfoS("Request failed", "request", request, "attempts", attempts, "outcome", err.Outcome.String(),
		"retryAfter", err.RetryAfter, "reason", err.Message)
}
