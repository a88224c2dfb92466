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

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// defaultTimeout applies to requests for which neither the caller nor the route sets a limit.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long before the deadline the final answer is sent, so that it reaches the caller in
	// time.
	answerMargin = 15 * time.Millisecond
	// staleStateRetry is the Retry-After of an entry that has not synced its blames yet, which takes up to 0.3 s,
	// or whose view of the store is stale.
	staleStateRetry = 300 * time.Millisecond
	// bodyTimeout limits the time for reading a request's body.
	bodyTimeout = 5 * time.Second
)

// Relayer is the HTTP handler for callers' requests. Set the exported fields before use.
type Relayer struct {
	Registrar *registrar.Registrar
	Placer    *Placer
	Chooser   *scheduler.Chooser
	Pool      *Pool
	Codec     Codec
	// Budgets limits the retries at each service.
	Budgets *retrier.Budgets
	// Prober checks whether an upstream that cut a reply has crashed; nil disables the check.
	Prober Prober
	// Liveness checks that the upstream outlived a reply that ended only with its connection; nil takes each such
	// reply for whole.
	Liveness LivenessChecker
	// Localizer finds and refuses prompts that crash upstreams; nil disables it.
	Localizer *localizer.Localizer
	// BlamesSynced reports whether the localizer has the blames of the other entries; nil means always.
	BlamesSynced func() bool
	Clock        clock.Clock
	// Started is the start time of this process; zero means long ago.
	Started time.Time
	Random  *rand.Rand
	Metrics metrics.Registry
	// Memory limits the memory of requests: bodies, replies that are buffered whole, long events and buffers; nil means no
	// limit.
	Memory *acceptor.Limits

	mu sync.Mutex
	// longestTimeLimits holds the longest time limit seen from callers, by route.
	longestTimeLimits map[string]time.Duration

	cuts      pendingCuts
	slowdowns slowdowns
}

// call is one caller's request in progress.
type call struct {
	*Relayer
	Job
	// response is writer as an http.ResponseWriter.
	response    http.ResponseWriter
	writer      *callerWriter
	account     *account
	httpRequest *http.Request
	message     outgoingRequest
	// status is the status sent to the caller; 0 before the header is sent.
	status int
	// stream is set once a stream's header is sent.
	stream *stream
	// hedge runs beside the current attempt; nil for none. Its slot is nextPlace.
	hedge *hedge
	// firstEventTimer cancels a stream before its first event is sent; nil for no limit.
	firstEventTimer *time.Timer
}

// ServeHTTP implements http.Handler.
func (l *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &callerWriter{ResponseWriter: w}
	c := &call{Relayer: l, response: out, writer: out, httpRequest: r, account: openAccount(l.Memory)}
	defer c.account.close()
	out.setTimeLimit(defaultTimeout)
	c.Arrived = l.Clock.Now()
	c.Request = l.Codec.ParseRequest(r.Header)
	c.callerLeft = func() bool { return r.Context().Err() != nil }
	defer c.recoverPanic()
	l.count("requests")
	if !c.admitMemory() || !c.resolveRoute() || !c.readBody() {
		return
	}
	c.received = l.Clock.Now()
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	ctx, stop := c.limitFirstEvent(ctx)
	defer stop()
	defer c.cancelHedge()
	err := l.Serve(ctx, &c.Job, c.attempt)
	c.cancelHedge()
	if err != nil {
		c.answerFailure(ctx, err)
	}
}

// resolveRoute finds the route and the workspace, or sends the final answer.
func (c *call) resolveRoute() bool {
	view := c.Registrar.View()
	if view == nil || view.Table == nil {
		c.refuse(&RefusedError{Reason: "no route table yet", RetryAfter: startupRetryAfter(c.Clock.Since(c.Started))})
		return false
	}
	if len(c.Parts) > 0 && c.BlamesSynced != nil && !c.BlamesSynced() {
		c.refuse(&RefusedError{Reason: "blames not synced yet", RetryAfter: staleStateRetry})
		return false
	}
	t := view.Table
	c.TableVersion = t.Version
	if t.Limits.HeaderBytes > 0 && headerBytes(c.httpRequest) > t.Limits.HeaderBytes {
		c.answer(http.StatusRequestHeaderFieldsTooLarge, "header too long", 0)
		return false
	}
	c.Route = t.Match(c.httpRequest.Host, c.httpRequest.URL.EscapedPath())
	if c.Route == nil {
		return c.answerUnknown(http.StatusNotFound, "no such route")
	}
	if !c.Route.Public && t.Keys != nil {
		if c.Workspace = t.Keys[c.Key]; c.Workspace == nil {
			return c.answerUnknown(http.StatusUnauthorized, "unknown key")
		}
	}
	c.Admit(&c.Job)
	c.writer.setTimeLimit(c.Deadline.Sub(c.Clock.Now()))
	return true
}

// answerUnknown denies keys and routes that the table lacks. An entry whose view of the store is stale may lack
// recent ones, and refuses with Retry-After instead.
func (c *call) answerUnknown(status int, text string) bool {
	if !c.Registrar.Fresh() {
		c.refuse(&RefusedError{Reason: text + ", but news are old", RetryAfter: staleStateRetry})
		return false
	}
	c.answer(status, text, 0)
	return false
}

// headerBytes is the approximate size of a request's header on the wire.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, fields := range r.Header {
		for _, f := range fields {
			n += len(name) + len(f) + len(": \r\n")
		}
	}
	return int64(n)
}

// readBody reads the whole body, so that the request can be retried and an upstream never waits for a slow
// caller.
func (c *call) readBody() bool {
	limit := c.Registrar.View().Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.httpRequest.ContentLength > limit {
		c.answer(http.StatusRequestEntityTooLarge, "body too long", 0)
		return false
	}
	if c.httpRequest.ContentLength > 0 && !c.acquireMemory("a body", c.httpRequest.ContentLength) {
		return false
	}
	control := http.NewResponseController(c.response)
	// ResponseWriters without deadlines, as in tests, return an error.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	// The context can end only with this entry, as a caller that leaves ends the body.
	stop := context.AfterFunc(c.httpRequest.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := bodyreader.ReadExpected(c.bodySource(limit), limit, c.httpRequest.ContentLength)
	stop()
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
		// Before it sends the answer, the server reads the rest of the body, which may never come.
		_ = control.SetReadDeadline(time.Now())
		c.answerWithoutBody(err)
		return false
	}
	c.message = outgoingRequest{method: c.httpRequest.Method, target: c.httpRequest.RequestURI, host: c.httpRequest.Host, body: body, account: c.account,
		hasBody: c.httpRequest.ContentLength != 0 || len(c.httpRequest.TransferEncoding) > 0}
	return true
}

// answerWithoutBody answers a request whose body was not read because of an error.
func (c *call) answerWithoutBody(err error) {
	c.log("Failed to read body", err)
	if c.cutByEntry() {
		c.refuse(&RefusedError{Reason: "entry leaves, body not read", RetryAfter: c.Placer.retryAfterShutdown(&c.Job)})
		return
	}
	c.answer(http.StatusRequestTimeout, "body not read", 0)
}

// defaultBodyBytes limits bodies when the route table sets no limit.
const defaultBodyBytes = 4 << 20
