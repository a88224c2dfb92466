package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
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
	// unknownRetry is the time to come back to an entry that has not synced its blames yet, which takes up to 0.3 s, or
	// whose news are old.
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
	// Prober finds out whether an upstream crashed that cut a reply; nil for never.
	Prober Prober
	// Liveness tells whether the upstream has outlived a reply that only the end of its connection ended; nil takes
	// each for whole.
	Liveness LivenessChecker
	// Localizer finds and refuses prompts that crash upstreams; nil for none.
	Localizer *localizer.Localizer
	// BlamesSynced tells whether the localizer has the blames of the other entries; nil for always.
	BlamesSynced func() bool
	Clock        clock.Clock
	// Started is when this process started; zero for long ago.
	Started time.Time
	Random  *rand.Rand
	Metrics metrics.Registry
	// Memory bounds what requests hold; nil for no bound.
	Memory *Memory

	mu sync.Mutex
	// longestPatience is the longest that callers of each route were seen to wait.
	longestPatience map[string]time.Duration

	cuts      pendingCuts
	slowdowns slowdowns
}

// call is one caller's request on its way.
type call struct {
	*Relayer
	Job
	// w is out as what it implements.
	w       http.ResponseWriter
	out     *callerWriter
	account *account
	r       *http.Request
	message outgoingRequest
	// status is that of the header that went out; 0 for none yet.
	status int
	// stream is set once a stream's header went out.
	stream *stream
	// hedge is under way beside the present attempt; nil for none. Its place is next.
	hedge *hedge
	// firstEventTimer gives a stream up while nothing of it went out; nil for no limit.
	firstEventTimer *time.Timer
}

// ServeHTTP implements http.Handler.
func (l *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &callerWriter{ResponseWriter: w}
	c := &call{Relayer: l, w: out, out: out, r: r, account: l.Memory.open()}
	defer c.account.close()
	out.limit(defaultTimeout)
	c.Arrived = l.Clock.Now()
	c.Request = l.Codec.ParseRequest(r.Header)
	c.left = func() bool { return r.Context().Err() != nil }
	defer c.recoverPanic()
	l.count("requests")
	if !c.admitMemory() || !c.route() || !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	ctx, stop := c.limitFirstEvent(ctx)
	defer stop()
	defer c.cancelHedge()
	err := l.Serve(ctx, &c.Job, c.attempt)
	c.cancelHedge()
	if err != nil {
		c.give(ctx, err)
	}
}

// route finds the route and the workspace, or gives the final answer.
func (c *call) route() bool {
	view := c.Registrar.View()
	if view == nil || view.Table == nil {
		c.refuse(&RefusedError{Reason: "no route table yet", RetryAfter: startRetry(c.Clock.Since(c.Started))})
		return false
	}
	if len(c.Parts) > 0 && c.BlamesSynced != nil && !c.BlamesSynced() {
		c.refuse(&RefusedError{Reason: "blames not synced yet", RetryAfter: unknownRetry})
		return false
	}
	t := view.Table
	c.TableVersion = t.Version
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
	c.Admit(&c.Job)
	c.out.limit(c.Deadline.Sub(c.Clock.Now()))
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
	if c.r.ContentLength > 0 && !c.takeMemory("a body", c.r.ContentLength) {
		return false
	}
	control := http.NewResponseController(c.w)
	// A writer without deadlines, as in tests, says so by an error.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := bodyreader.ReadExpected(c.bodySource(limit), limit, c.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	var full *MemoryError
	switch {
	case errors.As(err, &full):
		c.refuseMemory(full)
		return false
	case errors.As(err, &tooLong):
		c.answer(http.StatusRequestEntityTooLarge, "body too long", 0)
		return false
	case err != nil:
		c.log("Body not read", err)
		c.answer(http.StatusRequestTimeout, "body not read", 0)
		return false
	}
	c.message = outgoingRequest{method: c.r.Method, target: c.r.RequestURI, host: c.r.Host, body: body, account: c.account,
		hasBody: c.r.ContentLength != 0 || len(c.r.TransferEncoding) > 0}
	return true
}

// defaultBodyBytes bounds bodies when the route table has no limit.
const defaultBodyBytes = 4 << 20
