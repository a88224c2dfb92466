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

// answerFailure sends the final answer to a request that is given up.
func (c *call) answerFailure(ctx context.Context, err error) {
	if c.httpRequest.Context().Err() != nil {
		c.endCancelled(err)
		return
	}
	if isUnread(err) {
		c.endUnread(err, c.progressFields(err)...)
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	if c.stream != nil {
		c.count("cut")
		c.log("Stream cut", err, c.progressFields(err)...)
		c.abortReply()
	}
	refused := c.Refusal(err)
	switch {
	case refused != nil:
		c.refuse(refused)
	case ctx.Err() != nil:
		c.log("Timed out", err, c.progressFields(err)...)
		c.answer(http.StatusGatewayTimeout, "timed out", 0)
	default:
		c.log("Failed", err, c.progressFields(err)...)
		c.answer(http.StatusBadGateway, "upstream failed", 0)
	}
}

// progressFields returns log fields on how far a request got before its last attempt failed with an error.
func (c *call) progressFields(err error) []any {
	fields := []any{"status", c.status, "outcome", c.outcome, "attempts", c.attempts, "tried", c.Tried}
	if c.Route != nil {
		fields = append(fields, "limit", c.timeLimit())
	}
	if !c.endPredicted.IsZero() {
		fields = append(fields, "endPredicted", c.endPredicted)
	}
	var s *SendError
	if errors.As(err, &s) {
		fields = append(fields, "silence", s.Silence)
	}
	if c.stream != nil {
		fields = append(fields, "events", c.stream.events, "lastEvent", c.stream.sequence.lastID)
	}
	return fields
}

// recoverPanic answers a request whose handler panicked: net/http would close the connection without a status.
func (c *call) recoverPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(reason)
	}
	c.count("panics")
	c.log("Handler panicked", &PanicError{Value: reason}, append(c.progressFields(nil), "stack", string(debug.Stack()))...)
	if c.status != 0 {
		c.abortReply()
	}
	// The header may hold fields of an upstream's reply.
	clear(c.response.Header())
	c.answer(http.StatusInternalServerError, "internal error", 0)
}

// endCancelled ends a request whose connection is over because its caller left or this entry ends. A caller that
// closed only its sending side still reads, and net/http would end an unfinished reply as a success.
func (c *call) endCancelled(err error) {
	cause := context.Cause(c.httpRequest.Context())
	byEntry := c.cutByEntry()
	if !byEntry && c.writer.recentlyUnread() {
		c.endUnread(err, c.progressFields(err)...)
		return
	}
	text, counter := "Caller left", "left"
	if byEntry {
		text, counter, err = "Cut as the entry ends", "cut", fmt.Errorf("%w: %w", cause, err)
	}
	c.count(counter)
	c.log(text, err, c.progressFields(err)...)
	if c.status != 0 {
		c.abortReply()
	}
	if refused := c.Refusal(err); byEntry && refused != nil {
		c.refuse(refused)
		return
	}
	c.writeError(http.StatusBadGateway, "request cut", 0)
}

// abortReply ends a reply so that its caller can't take it for whole.
func (c *call) abortReply() {
	if !c.httpRequest.ProtoAtLeast(1, 1) {
		// Without chunks the caller takes the end of the connection for the end of the reply, unless it is reset.
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection.
func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.response).Hijack()
	if err != nil {
		c.log("Failed to reset connection", err)
		return
	}
	connector.Reset(conn)
}

// Refusal returns the refusal for a job that Serve gave up and that certainly did not run; nil if it may have
// run.
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
	if j.backoff > 0 {
		refused.RetryAfter = j.backoff
	}
	return refused
}

// refuse answers that the request did not run and when to retry.
func (c *call) refuse(e *RefusedError) {
	c.count("refused")
	wait := c.RetryAfter(&c.Job, e)
	fields := []any{"reason", e.Reason, "retryAfter", wait, "held", c.Clock.Since(c.Arrived), "returned", c.Returned}
	if e.KeptForOthers() {
		c.count("refused.kept")
	}
	fields = append(fields, e.Met.logFields()...)
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

// logFields returns the log fields of counts that aren't zero.
func (m RefusalSummary) logFields() []any {
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

// answer counts and sends an answer of the entry itself.
func (c *call) answer(status int, text string, retryAfter time.Duration) {
	c.count("answers." + strconv.Itoa(status))
	c.writeError(status, text, retryAfter)
}

func (c *call) writeError(status int, text string, retryAfter time.Duration) {
	h := c.response.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.status = status
	c.response.WriteHeader(status)
	body := struct {
		Error string `json:"error"`
	}{text}
	if err := json.NewEncoder(c.response).Encode(body); err != nil {
		klog.V(1).InfoS("Failed to send answer", "request", c.ID, "err", err)
	}
}

func (l *Relayer) count(name string) {
	metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
}

// log writes a log line on this request.
func (c *call) log(text string, err error, more ...any) { c.Relayer.log(&c.Job, text, err, more...) }

// log writes a log line on a request.
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
	if left, draining := l.Placer.timeToCut(); draining {
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
