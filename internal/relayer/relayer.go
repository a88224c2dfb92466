package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// defaultTimeout bounds requests for which neither caller nor route has a limit.
	defaultTimeout = 30 * time.Second
	// answerMargin is how much before the deadline the final answer is given, so that
	// it reaches the caller within it.
	answerMargin = 15 * time.Millisecond
	// unknownRetry is the time to come back to an entry that knows no route table yet.
	unknownRetry = 300 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 5 * time.Second
)

// Relayer is the handler of callers' requests. Set the exported fields before use.
type Relayer struct {
	Registrar *registrar.Registrar
	Placer    *Placer
	Chooser   *scheduler.Chooser
	Pool      *Pool
	Codec     Codec
	// Budgets bound the retries at each service.
	Budgets *retrier.Budgets
	Clock   clock.Clock
	Random  *rand.Rand
	Metrics metrics.Registry

	mu sync.Mutex
	// longestPatience is the longest that callers of each route were seen to wait.
	longestPatience map[string]time.Duration
}

// call is one caller's request on its way.
type call struct {
	*Relayer
	Job
	w       http.ResponseWriter
	r       *http.Request
	message message
	// outcome joins what is known of all attempts.
	outcome  retrier.Outcome
	attempts int
	sends    int
	// stream is set once a stream's header went out.
	stream *stream
}

// ServeHTTP implements http.Handler.
func (l *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Relayer: l, w: w, r: r, outcome: retrier.NotRun}
	c.Arrived = l.Clock.Now()
	c.Request = l.Codec.Request(r.Header)
	l.count("requests")
	if !c.route() || !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	c.run(ctx)
}

// route finds the route and the workspace, or gives the final answer.
func (c *call) route() bool {
	view := c.Registrar.View()
	if view == nil || view.Table == nil {
		c.refuse(&RefusedError{Reason: "no route table yet", RetryAfter: unknownRetry})
		return false
	}
	t := view.Table
	if t.Limits.HeaderBytes > 0 && headerBytes(c.r) > t.Limits.HeaderBytes {
		c.answer(http.StatusRequestHeaderFieldsTooLarge, "header too long", 0)
		return false
	}
	c.Route = t.Match(c.r.Host, c.r.URL.EscapedPath())
	if c.Route == nil {
		return c.unknown(http.StatusNotFound, "no such route")
	}
	if !c.Route.Public && t.Keys != nil {
		if c.Workspace = t.Keys[c.Key]; c.Workspace == nil {
			return c.unknown(http.StatusUnauthorized, "unknown key")
		}
	}
	c.mu.Lock()
	c.Service = c.Route.Target(c.Random.Float64())
	c.mu.Unlock()
	c.Returned = c.returned()
	c.Deadline = c.Arrived.Add(c.limit() - answerMargin)
	return true
}

// unknown answers what the route table doesn't have. An entry that is out of touch
// with the store may lack what was added since, and says so rather than deny it.
func (c *call) unknown(status int, text string) bool {
	if !c.Registrar.Fresh() {
		c.refuse(&RefusedError{Reason: text + ", but news are old", RetryAfter: unknownRetry})
		return false
	}
	c.answer(status, text, 0)
	return false
}

func (c *call) limit() time.Duration {
	d := defaultTimeout
	if c.Route.Timeout > 0 {
		d = c.Route.Timeout
	}
	if c.Patience > 0 {
		d = min(d, c.Patience)
	}
	return d
}

// leastPatienceShare is below which part of the longest patience seen on a route a
// caller must have been waiting before: first attempts differ by some 15 in 100.
const leastPatienceShare = 0.83

// returned tells whether the caller comes back after a refusal: callers tell what is
// left of their patience.
func (c *call) returned() bool {
	if c.Patience <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longestPatience == nil {
		c.longestPatience = map[string]time.Duration{}
	}
	most := max(c.longestPatience[c.Route.Name], c.Patience)
	c.longestPatience[c.Route.Name] = most
	return float64(c.Patience) < leastPatienceShare*float64(most)
}

// headerBytes is about the size of a request's header on the wire.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, fields := range r.Header {
		for _, f := range fields {
			n += len(name) + len(f) + len(": \r\n")
		}
	}
	return int64(n)
}

// readBody takes the whole body in, so that an attempt can be made again and an
// upstream never waits for a slow caller.
func (c *call) readBody() bool {
	limit := c.Registrar.View().Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		c.answer(http.StatusRequestEntityTooLarge, "body too long", 0)
		return false
	}
	control := http.NewResponseController(c.w)
	// A writer without deadlines, as in tests, says so by an error.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		c.answer(http.StatusRequestEntityTooLarge, "body too long", 0)
		return false
	case err != nil:
		c.log("Body not read", err)
		c.answer(http.StatusRequestTimeout, "body not read", 0)
		return false
	}
	c.message = message{method: c.r.Method, target: c.r.RequestURI, host: c.r.Host, body: body,
		hasBody: c.r.ContentLength != 0 || len(c.r.TransferEncoding) > 0}
	return true
}

// defaultBodyBytes bounds bodies when the route table has no limit.
const defaultBodyBytes = 4 << 20

// run makes attempts until one gives the caller its answer.
func (c *call) run(ctx context.Context) {
	c.Budgets.Of(c.Service).First()
	for {
		place, err := c.Placer.Place(ctx, &c.Job)
		if err != nil {
			c.give(ctx, err)
			return
		}
		c.Tried = append(c.Tried, place.Upstream.ID)
		err = c.attemptAt(ctx, place)
		if err == nil {
			return
		}
		c.note(place.Upstream.ID, err)
		if ctx.Err() != nil || !c.again() {
			c.give(ctx, err)
			return
		}
		c.Again = c.attempts > 0
	}
}

// attemptAt makes an attempt and frees its place however it ends. A reply that has to be cut
// ends in a panic for the HTTP server; the place left taken, the upstream would look fuller
// with each such reply until nothing goes there.
func (c *call) attemptAt(ctx context.Context, place *Place) error {
	defer place.ended()
	return c.attempt(ctx, place)
}

// note counts what an attempt that failed means for the request and the upstream.
func (c *call) note(upstream string, err error) {
	var s *SendError
	if !errors.As(err, &s) {
		return
	}
	c.outcome = retrier.Join(c.outcome, s.Outcome)
	if s.Outcome != retrier.NotRun {
		c.attempts++
	}
	if c.r.Context().Err() != nil {
		// The caller left; that says nothing of the upstream.
		return
	}
	var full *ConnectionsError
	if !errors.As(err, &full) {
		// A limit of this entry's own says nothing of the upstream either.
		c.Chooser.Failed(upstream, s.Status == 0 && !s.Reused)
	}
	if s.Outcome == retrier.NotRun && s.Status != 0 {
		c.Chooser.Avoid(upstream, refusedPause)
	}
	c.log("Attempt failed", err, "upstream", upstream, "outcome", s.Outcome, "reused", s.Reused)
}

// refusedPause is how long an upstream that refused is passed over: about the time
// in which a place comes free.
const refusedPause = 100 * time.Millisecond

// maxSends bounds how often a request is sent although no upstream ran it.
const maxSends = 3

// again tells whether another attempt may be made. Only what certainly did not run,
// or may run twice, goes out again.
func (c *call) again() bool {
	if c.outcome != retrier.NotRun && !c.Route.Repeatable() {
		return false
	}
	if c.attempts >= c.Route.MaxAttempts || c.sends >= maxSends {
		return false
	}
	if !c.Budgets.Of(c.Service).Take() {
		c.log("No retry left in the budget", nil)
		return false
	}
	c.count("retries")
	return true
}
