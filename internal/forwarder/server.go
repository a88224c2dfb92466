package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// maxStreamName is the longest name of a stream, in bytes.
const maxStreamName = 1024

const headerReplayed = "Oriolecroft-Replayed"

// maxGenerateOrder is the largest order including its prompt, in bytes.
const maxGenerateOrder = 4 << 20

// Runner executes an agent's orders.
type Runner interface {
	// Generate runs or resumes a stream: it calls start once, when the engine
	// has accepted the request, and emit for each event. An error before start is
	// *NotRunError or *UnknownError; afterwards the stream ends with a Failure.
	Generate(ctx context.Context, o GenerateOrder, start func(engineStart string), emit func(Event) error) error
	// Call runs one call; errors are *NotRunError and *UnknownError.
	Call(ctx context.Context, o CallOrder, body []byte) (*Reply, error)
	// Cancel ends a stream whose caller disconnected.
	Cancel(stream string)
	// State returns the agent's state, short enough for the header of each response.
	State() messenger.AgentState
	// Lookup returns the state of a key's call.
	Lookup(key string) KeyState
}

// Handler returns an HTTP handler for a runner's orders.
func Handler(r Runner) http.Handler {
	m := http.NewServeMux()
	h := &handler{runner: r}
	m.HandleFunc("POST "+pathGenerate, h.generate)
	m.HandleFunc("POST "+pathCall, h.call)
	m.HandleFunc("POST "+pathLookup, h.lookup)
	m.HandleFunc("POST "+pathCancel, h.cancel)
	return m
}

type handler struct {
	runner Runner
}

func (h *handler) generate(w http.ResponseWriter, r *http.Request) {
	var o GenerateOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGenerateOrder)).Decode(&o); err != nil {
		writeError(w, Attempt{}, &NotRunError{Reason: "order can not be read: " + err.Error()})
		return
	}
	ctx, cancel := withDeadline(r.Context(), o.DeadlineMS)
	defer cancel()
	out := &eventWriter{writer: w, control: http.NewResponseController(w), attempt: o.Attempt}
	err := h.runner.Generate(ctx, o, out.start, out.emit)
	if err == nil {
		return
	}
	if !out.started {
		h.writeError(w, o.Attempt, err)
		return
	}
	// The stream has started, so the error is sent as its last event. If that fails
	// too, the entry detects the missing last event.
	_ = out.emit(Event{Failure: &Failure{Message: err.Error()}})
}

// eventWriter writes each event as JSON and flushes it.
type eventWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	attempt Attempt
	started bool
}

func (e *eventWriter) start(engineStart string) {
	e.started = true
	setAttemptHeaders(e.writer, e.attempt, outcomeRan)
	e.writer.Header().Set(headerEngine, engineStart)
	e.writer.WriteHeader(http.StatusOK)
}

func (e *eventWriter) emit(v Event) error {
	if err := json.NewEncoder(e.writer).Encode(v); err != nil {
		return err
	}
	return e.control.Flush()
}

func (h *handler) call(w http.ResponseWriter, r *http.Request) {
	var o CallOrder
	if err := json.Unmarshal([]byte(r.Header.Get(headerOrder)), &o); err != nil {
		writeError(w, Attempt{}, &NotRunError{Reason: "order can not be read: " + err.Error()})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		writeError(w, o.Attempt, &NotRunError{Reason: "body can not be read: " + err.Error()})
		return
	}
	ctx, cancel := withDeadline(r.Context(), o.DeadlineMS)
	defer cancel()
	reply, err := h.runner.Call(ctx, o, body)
	if err != nil {
		h.writeError(w, o.Attempt, err)
		return
	}
	h.setAgentHeader(w)
	writeReply(w, o.Attempt, reply)
}

func (h *handler) lookup(w http.ResponseWriter, r *http.Request) {
	key, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := struct {
		Fate KeyState `json:"fate"`
	}{h.runner.Lookup(string(key))}
	_ = json.NewEncoder(w).Encode(response)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	stream, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStreamName))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.runner.Cancel(string(stream))
}

// setAgentHeader adds the agent's state to a response.
func (h *handler) setAgentHeader(w http.ResponseWriter) {
	if data, err := json.Marshal(h.runner.State()); err == nil {
		w.Header().Set(headerAgent, string(data))
	}
}

// writeError writes an error response with the agent's state.
func (h *handler) writeError(w http.ResponseWriter, a Attempt, err error) {
	h.setAgentHeader(w)
	writeError(w, a, err)
}

func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func setAttemptHeaders(w http.ResponseWriter, a Attempt, outcome string) {
	w.Header().Set(headerRequest, a.RequestID)
	w.Header().Set(headerAttempt, strconv.Itoa(a.Number))
	w.Header().Set(headerOutcome, outcome)
}

// writeError writes an error response with the known outcome: only a *NotRunError states
// that the request never reached the upstream.
func writeError(w http.ResponseWriter, a Attempt, err error) {
	var n *NotRunError
	if errors.As(err, &n) {
		setAttemptHeaders(w, a, outcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		body := refusal{Reason: n.Reason, RetryAfterMS: n.RetryAfter.Milliseconds(), Busy: n.Busy, KeyClosed: n.KeyClosed}
		_ = json.NewEncoder(w).Encode(body)
		return
	}
	setAttemptHeaders(w, a, outcomeUnknown)
	w.WriteHeader(http.StatusBadGateway)
	_ = json.NewEncoder(w).Encode(refusal{Reason: err.Error()})
}

func writeReply(w http.ResponseWriter, a Attempt, r *Reply) {
	for name, values := range serviceHeader(r.Header) {
		w.Header()[name] = values
	}
	setAttemptHeaders(w, a, outcomeRan)
	if r.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Date", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceHeader returns the headers of the plain service itself.
func serviceHeader(h http.Header) http.Header {
	kept := http.Header{}
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) || strings.HasPrefix(name, "Oriolecroft-") {
			continue
		}
		kept[name] = values
	}
	return kept
}
