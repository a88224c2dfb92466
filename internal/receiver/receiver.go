// Package receiver implements the API for callers: HTTP with JSON bodies, and
// server-sent events for a model's reply. It checks the syntax of a request and
// writes the response; the dispatcher processes the request.
package receiver

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Headers that callers send and receive.
const (
	// HeaderOutcome is "ran", "notRun" or "unknown" on every response that is not
	// a whole reply.
	HeaderOutcome = "Oriolecroft-Outcome"
	// HeaderWorkspace names the workspace of a service call.
	HeaderWorkspace = "Oriolecroft-Workspace"
	// HeaderKey makes a service call idempotent.
	HeaderKey = "Oriolecroft-Key"
	// HeaderIdempotencyKey is the usual name of HeaderKey.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is the number of the caller's attempt with one key, from 1.
	HeaderAttempt = "Oriolecroft-Attempt"
	// HeaderRequest identifies the request in the logs.
	HeaderRequest = "Oriolecroft-Request"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Oriolecroft-Deadline-Ms"
	// HeaderPriority orders requests within a workspace; higher ones go first.
	HeaderPriority = "Oriolecroft-Priority"
	// HeaderKeyClosed is set when the key will never run.
	HeaderKeyClosed = "Oriolecroft-Key-Closed"
	// HeaderResume is set on each model reply. A caller that loses the connection
	// sends the same request to any entry with this header and Last-Event-ID, and
	// gets the rest.
	HeaderResume = "Oriolecroft-Resume"
	// headerLastEvent is the id of the last event that a resuming caller received.
	headerLastEvent = "Last-Event-ID"
	// HeaderReplayed is set if the response is that of an earlier attempt.
	HeaderReplayed = "Oriolecroft-Replayed"
)

// maxJSONBody limits a JSON request, in bytes: the longest prompt, escaped.
const maxJSONBody = 4 << 20

// Entry is an entry that callers may connect to.
type Entry struct {
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
}

// Receiver serves callers.
type Receiver struct {
	Dispatcher *dispatcher.Dispatcher
	// Entries lists the entries that callers may connect to, the best first.
	Entries func() []Entry
	// KeepFor is how long a caller may keep that list.
	KeepFor time.Duration
}

// Handler returns the receiver's HTTP handler.
func (r *Receiver) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/entries", r.entries)
	m.HandleFunc("POST /v1/generate", r.generate)
	m.HandleFunc("POST /v1/keys", r.mintKey)
	m.HandleFunc("GET /v1/keys/{key}", r.lookup)
	m.HandleFunc("/v1/services/{service}", r.call)
	m.HandleFunc("/v1/services/{service}/{path...}", r.call)
	return m
}

func (r *Receiver) entries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Entries   []Entry `json:"entries"`
		KeepForMS int64   `json:"keepForMs"`
	}{r.Entries(), r.KeepFor.Milliseconds()})
}

func (r *Receiver) generate(w http.ResponseWriter, h *http.Request) {
	var g dispatcher.GenerateRequest
	if err := decodeJSON(w, h, &g); err != nil {
		writeError(w, err)
		return
	}
	if err := parseResume(h, &g); err != nil {
		writeError(w, err)
		return
	}
	s := &eventStream{writer: w, control: http.NewResponseController(w), resume: g.Resume}
	if err := r.Dispatcher.Generate(h.Context(), g, s); err != nil {
		s.writeError(err)
	}
}

// parseResume reads the position from which a caller resumes a reply of server-sent
// events.
func parseResume(h *http.Request, g *dispatcher.GenerateRequest) error {
	g.Resume = h.Header.Get(HeaderResume)
	last := h.Header.Get(headerLastEvent)
	if g.Resume == "" || last == "" {
		return nil
	}
	n, err := parseNumber(h, headerLastEvent)
	if err != nil {
		return err
	}
	g.From = int(n) + 1
	return nil
}

func (r *Receiver) mintKey(w http.ResponseWriter, h *http.Request) {
	var body struct {
		Workspace string `json:"workspace"`
		Service   string `json:"service"`
	}
	if err := decodeJSON(w, h, &body); err != nil {
		writeError(w, err)
		return
	}
	k, err := r.Dispatcher.MintKey(body.Workspace, body.Service)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
	}{k.String()})
}

func (r *Receiver) lookup(w http.ResponseWriter, h *http.Request) {
	q := h.URL.Query()
	fate, err := r.Dispatcher.Lookup(h.Context(), q.Get("workspace"), q.Get("service"), h.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Fate forwarder.KeyState `json:"fate"`
	}{fate})
}

func (r *Receiver) call(w http.ResponseWriter, h *http.Request) {
	c, err := parseCall(w, h)
	if err != nil {
		writeError(w, err)
		return
	}
	reply, err := r.Dispatcher.Call(h.Context(), c)
	if err != nil {
		writeError(w, err)
		return
	}
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	if reply.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// badRequest returns the refusal of a malformed body or header.
func badRequest(message string) error {
	return &dispatcher.FailureError{
		Outcome: retrier.NotRun,
		Status:  http.StatusBadRequest,
		Message: message,
	}
}

func decodeJSON(w http.ResponseWriter, h *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxJSONBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return bodyError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body: text after the request")
	}
	return nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &dispatcher.FailureError{
			Outcome: retrier.NotRun,
			Status:  http.StatusRequestEntityTooLarge,
			Message: "body: over " + strconv.FormatInt(large.Limit, 10) + " bytes",
		}
	}
	var full *acceptor.MemoryError
	if errors.As(err, &full) {
		return memoryFailure(full)
	}
	return badRequest("body: " + err.Error())
}

// memoryRetryAfter is when a caller may retry a request that was refused for lack of memory.
const memoryRetryAfter = time.Second

// memoryFailure returns the refusal of a request for which there is no memory.
func memoryFailure(err error) error {
	return &dispatcher.FailureError{
		Outcome: retrier.NotRun, Status: http.StatusServiceUnavailable, Message: err.Error(), RetryAfter: memoryRetryAfter,
	}
}

// Refuse answers a request for which there is no memory.
func Refuse(w http.ResponseWriter, _ *http.Request) {
	writeError(w, memoryFailure(&acceptor.MemoryError{}))
}

// forwardedHeaders lists the request headers that are forwarded to a plain service.
// The idempotency key is not among them: with it, net/http would resend a call when a
// connection breaks, and book twice.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Booking", "Traceparent"}

func parseCall(w http.ResponseWriter, h *http.Request) (dispatcher.CallRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, h.Body, forwarder.MaxBody))
	if err != nil {
		return dispatcher.CallRequest{}, bodyError(err)
	}
	c := dispatcher.CallRequest{
		RequestID: h.Header.Get(HeaderRequest),
		Workspace: h.Header.Get(HeaderWorkspace),
		Service:   h.PathValue("service"),
		Method:    h.Method,
		Path:      servicePath(h),
		Key:       h.Header.Get(HeaderKey),
		First:     h.Header.Get(HeaderAttempt) == "1",
		Header:    map[string]string{},
		Body:      body,
	}
	if c.Key == "" {
		c.Key = h.Header.Get(HeaderIdempotencyKey)
	}
	for _, name := range forwardedHeaders {
		if v := h.Header.Get(name); v != "" {
			c.Header[name] = v
		}
	}
	priority, err := parseNumber(h, HeaderPriority)
	if err != nil {
		return c, err
	}
	deadline, err := parseNumber(h, HeaderDeadline)
	if err != nil {
		return c, err
	}
	c.Priority = int(priority)
	c.Deadline = time.Duration(deadline) * time.Millisecond
	return c, nil
}

// servicePath returns the part of the URL that is forwarded to the plain service.
func servicePath(h *http.Request) string {
	u := url.URL{Path: "/" + h.PathValue("path"), RawQuery: h.URL.RawQuery}
	return u.String()
}

func parseNumber(h *http.Request, name string) (int64, error) {
	v := h.Header.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 0 {
		return 0, badRequest(name + ": " + strconv.Quote(v) + " is no whole number of 0 or more")
	}
	return n, nil
}

// problem is the body of every error response.
type problem struct {
	Error        string `json:"error"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retryAfterMs"`
}

// writeError sends an error response, with the time after which to retry.
func writeError(w http.ResponseWriter, err error) {
	f := asFailure(err)
	w.Header().Set(HeaderOutcome, f.Outcome.String())
	if f.RetryAfter > 0 {
		seconds := math.Ceil(f.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if f.KeyClosed {
		w.Header().Set(HeaderKeyClosed, "true")
	}
	writeJSON(w, f.Status, problem{f.Message, f.Outcome.String(), f.RetryAfter.Milliseconds()})
}

func asFailure(err error) *dispatcher.FailureError {
	var f *dispatcher.FailureError
	if errors.As(err, &f) {
		return f
	}
	return &dispatcher.FailureError{
		Outcome: retrier.Unknown,
		Status:  http.StatusInternalServerError,
		Message: err.Error(),
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
