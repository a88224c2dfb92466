package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// give is the final answer to a request that is given up.
func (c *call) give(ctx context.Context, err error) {
	if c.r.Context().Err() != nil {
		c.endEnded(err)
		return
	}
	if isUnread(err) {
		c.endUnread(err, c.progress(err)...)
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	if c.stream != nil {
		c.count("cut")
		c.log("Stream cut", err, c.progress(err)...)
		c.cutReply()
	}
	refused := c.Refusal(err)
	switch {
	case refused != nil:
		c.refuse(refused)
	case ctx.Err() != nil:
		c.log("Timed out", err, c.progress(err)...)
		c.answer(http.StatusGatewayTimeout, "timed out", 0)
	default:
		c.log("Failed", err, c.progress(err)...)
		c.answer(http.StatusBadGateway, "upstream failed", 0)
	}
}

// progress is how far a request got whose last attempt failed with an error, for the log.
func (c *call) progress(err error) []any {
	fields := []any{"status", c.status, "outcome", c.outcome, "attempts", c.attempts, "tried", c.Tried}
	var s *SendError
	if errors.As(err, &s) {
		fields = append(fields, "silence", s.Silence)
	}
	if c.stream != nil {
		fields = append(fields, "events", c.stream.events, "lastEvent", c.stream.sequence.last)
	}
	return fields
}

// recoverPanic ends a request whose handler panicked: net/http would close the connection without a status.
func (c *call) recoverPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(reason)
	}
	c.count("panics")
	c.log("Handler panicked", &PanicError{Value: reason}, append(c.progress(nil), "stack", string(debug.Stack()))...)
	if c.status != 0 {
		c.cutReply()
	}
	// What stands there may be an upstream's.
	clear(c.w.Header())
	c.answer(http.StatusInternalServerError, "internal error", 0)
}

// endEnded ends a request whose connection is over, as its caller left or this entry ends. A caller that has closed
// only its side reads on, and net/http ends what a handler leaves open as a success.
func (c *call) endEnded(err error) {
	cause := context.Cause(c.r.Context())
	byEntry := !errors.Is(cause, context.Canceled)
	if !byEntry && c.out.unread() {
		c.endUnread(err, c.progress(err)...)
		return
	}
	text, counter := "Caller left", "left"
	if byEntry {
		text, counter, err = "Cut as the entry ends", "cut", fmt.Errorf("%w: %w", cause, err)
	}
	c.count(counter)
	c.log(text, err, c.progress(err)...)
	if c.status != 0 {
		c.cutReply()
	}
	if refused := c.Refusal(err); byEntry && refused != nil {
		c.refuse(refused)
		return
	}
	c.send(http.StatusBadGateway, "request cut", 0)
}

// cutReply ends a reply so that its caller can't take it for whole.
func (c *call) cutReply() {
	if !c.r.ProtoAtLeast(1, 1) {
		// Without chunks the caller takes the end of the connection for that of the reply, unless it is reset.
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection.
func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		c.log("Connection not reset", err)
		return
	}
	connector.Reset(conn)
}

// Refusal is what the caller of a job that Serve gave up is told if it certainly did not run;
// nil if it may have run.
func (j *Job) Refusal(err error) *RefusedError {
	if j.outcome != retrier.NotRun {
		return nil
	}
	var refused *RefusedError
	var blamed *localizer.BlamedError
	if errors.As(err, &blamed) {
		return &RefusedError{Reason: blamed.Error(), RetryAfter: blamed.RetryAfter, Blame: &blamed.Blame}
	}
	if !errors.As(err, &refused) {
		refused = &RefusedError{Reason: err.Error(), RetryAfter: defaultRetryAfter}
	}
	if j.rest > 0 {
		refused.RetryAfter = j.rest
	}
	return refused
}

// refuse says that the request did not run and when to come back.
func (c *call) refuse(e *RefusedError) {
	c.count("refused")
	wait := c.RetryAfter(&c.Job, e)
	fields := []any{"reason", e.Reason, "retryAfter", wait, "held", c.Clock.Since(c.Arrived), "returned", c.Returned}
	if e.KeptForOthers() {
		c.count("refused.kept")
	}
	fields = append(fields, e.Met.fields()...)
	if b := e.Blame; b != nil {
		fields = append(fields, b.LogFields()...)
	}
	if s := e.Shutdown; s != nil {
		c.count("refused.shutdown")
		fields = append(fields, "takes", s.Takes)
	}
	c.log("Refused", nil, fields...)
	c.answer(http.StatusServiceUnavailable, e.Reason, wait)
}

// fields are those that aren't zero, for the log.
func (m RefusalSummary) fields() []any {
	var fields []any
	for _, f := range []struct {
		name  string
		count int
	}{{"full", m.Full}, {"passedOver", m.PassedOver}, {"closed", m.Closed}, {"silent", m.Silent}, {"unasked", m.Unasked}, {"connections", m.Connections}, {"endsLate", m.EndsLate}, {"kept", m.Kept}, {"callerLeaves", m.CallerLeaves}, {"ramping", m.Ramping}} {
		if f.count > 0 {
			fields = append(fields, f.name, f.count)
		}
	}
	if m.WhyClosed != "" {
		fields = append(fields, "whyClosed", m.WhyClosed)
	}
	return fields
}

// answer sends an answer of the system's own.
func (c *call) answer(status int, text string, retryAfter time.Duration) {
	c.count("answers." + strconv.Itoa(status))
	c.send(status, text, retryAfter)
}

func (c *call) send(status int, text string, retryAfter time.Duration) {
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.status = status
	c.w.WriteHeader(status)
	body := struct {
		Error string `json:"error"`
	}{text}
	if err := json.NewEncoder(c.w).Encode(body); err != nil {
		klog.V(1).InfoS("Answer not sent", "request", c.ID, "err", err)
	}
}

func (l *Relayer) count(name string) {
	metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
}

// log writes a line on this request.
func (c *call) log(text string, err error, more ...any) { c.Relayer.log(&c.Job, text, err, more...) }

// log writes a line on a request.
func (l *Relayer) log(j *Job, text string, err error, more ...any) {
	route, workspace := "", ""
	if j.Route != nil {
		route = j.Route.Name
	}
	if j.Workspace != nil {
		workspace = j.Workspace.Name
	}
	fields := append([]any{"request", j.ID, "route", route, "workspace", workspace,
		"table", j.TableVersion, "after", l.Clock.Since(j.Arrived), "sends", j.sends}, more...)
	if j.priority != nil {
		fields = append(fields, "priority", j.priority.level)
	}
	if left, leaves := l.Placer.cutIn(); leaves {
		fields = append(fields, "cutIn", left)
	}
	if v := l.Registrar.View(); v != nil {
		fields = append(fields, "revision", v.Revision)
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	klog.InfoS(text, fields...)
}
