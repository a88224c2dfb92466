package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// maxResponse bounds a reply of the agent itself, in bytes.
const maxResponse = 64 << 10

// maxIdleConnections bounds the idle connections of an entry to one agent.
const maxIdleConnections = 16

// Client sends orders to agents.
type Client struct {
	http *http.Client
}

// Dial opens a connection. Its errors are *net.OpError of the operation "dial".
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own connections.
func NewClient(dial Dial) *Client {
	t := connector.NewTransport(dial)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = maxIdleConnections, 30*time.Second
	return &Client{http: connector.NewClient(t)}
}

// refusal is the body of a response without a reply.
type refusal struct {
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retryAfterMs"`
	Busy         bool   `json:"busy,omitempty"`
	KeyClosed    bool   `json:"keyClosed,omitempty"`
}

// Generate starts or resumes a stream. Errors are *NotRunError, *UnknownError
// and *AttemptMismatchError.
func (c *Client) Generate(ctx context.Context, to netip.AddrPort, o GenerateOrder) (*Stream, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, &NotRunError{Reason: err.Error()}
	}
	r, err := c.post(ctx, to, pathGenerate, nil, body)
	if err != nil {
		return nil, err
	}
	if err := checkOutcome(r, o.Attempt); err != nil {
		r.Body.Close()
		return nil, err
	}
	s := &Stream{EngineStart: r.Header.Get(headerEngine), body: r.Body, events: eventReader{body: bodyreader.Reader{Response: r}}}
	s.decoder = json.NewDecoder(&s.events)
	return s, nil
}

// Call makes one call to a plain service. Its errors are those of Generate.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, o CallOrder, body []byte) (*Reply, error) {
	order, err := json.Marshal(o)
	if err != nil {
		return nil, &NotRunError{Reason: err.Error()}
	}
	r, err := c.post(ctx, to, pathCall, order, body)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	if err := checkOutcome(r, o.Attempt); err != nil {
		return nil, err
	}
	data, err := readReply(r)
	if err != nil {
		return nil, err
	}
	return &Reply{
		Status:   r.StatusCode,
		Header:   serviceHeader(r.Header),
		Body:     data,
		Replayed: r.Header.Get(headerReplayed) != "",
		Agent:    agentState(r),
	}, nil
}

// readReply reads a whole body. An agent that crashes while it replies, or sends
// too much, leaves a partial body that a caller could mistake for a complete one.
func readReply(r *http.Response) ([]byte, error) {
	body := bodyreader.Reader{Response: r}
	data, err := body.ReadAll(MaxBody)
	if err != nil {
		return nil, &UnknownError{Reason: "reply not read: " + err.Error()}
	}
	return data, nil
}

// Lookup returns the state of a key's call; it never starts one.
func (c *Client) Lookup(ctx context.Context, to netip.AddrPort, key string) (KeyState, error) {
	r, err := c.post(ctx, to, pathLookup, nil, []byte(key))
	if err != nil {
		return KeyUnknown, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return KeyUnknown, &UnknownError{Reason: "status " + strconv.Itoa(r.StatusCode)}
	}
	var response struct {
		Fate KeyState `json:"fate"`
	}
	body := bodyreader.Reader{Response: r}
	if err := body.ReadJSON(maxResponse, &response); err != nil {
		return KeyUnknown, &UnknownError{Reason: err.Error()}
	}
	switch response.Fate {
	case KeyRan, KeyRunning, KeyNotRun, KeyUnknown:
		return response.Fate, nil
	}
	return KeyUnknown, &UnknownError{Reason: "no fate " + strconv.Quote(string(response.Fate))}
}

// Cancel ends a stream without readers. Otherwise the agent
// keeps the stream for a caller that may resume it through another entry.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, stream string) error {
	r, err := c.post(ctx, to, pathCancel, nil, []byte(stream))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode/100 != 2 {
		return &UnknownError{Reason: "status " + strconv.Itoa(r.StatusCode)}
	}
	return nil
}

// post sends a request whose body can not be read again, so that the HTTP
// library never retries it by itself.
func (c *Client) post(ctx context.Context, to netip.AddrPort, path string, order, body []byte) (*http.Response, error) {
	url := "http://" + to.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &NotRunError{Reason: err.Error()}
	}
	r.ContentLength = int64(len(body))
	if order != nil {
		r.Header.Set(headerOrder, string(order))
	}
	res, err := c.http.Do(r)
	if err != nil {
		return nil, sendError(err)
	}
	return res, nil
}

// sendError distinguishes a failed dial, after which nothing was sent, from
// later errors, after which the request may have run.
func sendError(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return &NotRunError{Reason: "agent can not be reached: " + err.Error(), Gone: true}
	}
	return &UnknownError{Reason: err.Error()}
}

// checkOutcome checks that the response belongs to this attempt and that the request ran.
func checkOutcome(r *http.Response, a Attempt) error {
	got := r.Header.Get(headerRequest) + "/" + r.Header.Get(headerAttempt)
	if got != a.RequestID+"/"+strconv.Itoa(a.Number) {
		return &AttemptMismatchError{Want: a, Got: got}
	}
	if r.Header.Get(headerOutcome) == outcomeRan {
		return nil
	}
	var f refusal
	body := bodyreader.Reader{Response: r}
	if err := body.ReadJSON(maxResponse, &f); err != nil {
		return &UnknownError{Reason: "refusal can not be read: " + err.Error()}
	}
	if r.Header.Get(headerOutcome) != outcomeNotRun {
		return &UnknownError{Reason: f.Reason}
	}
	return &NotRunError{
		Reason:     f.Reason,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
		Busy:       f.Busy,
		KeyClosed:  f.KeyClosed,
		Agent:      agentState(r),
	}
}

// agentState returns the agent's state from a response; nil if there is none.
func agentState(r *http.Response) *messenger.AgentState {
	s := new(messenger.AgentState)
	if json.Unmarshal([]byte(r.Header.Get(headerAgent)), s) != nil {
		return nil
	}
	return s
}

// Stream is a reply that is being received.
type Stream struct {
	// EngineStart is the engine's start id, which a resume must match.
	EngineStart string

	body    io.ReadCloser
	events  eventReader
	decoder *json.Decoder
}

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// eventReader limits the bytes read for one event: the decoder buffers a whole event.
type eventReader struct {
	body      bodyreader.Reader
	remaining int
}

// Read implements io.Reader.
func (r *eventReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, &bodyreader.OversizeError{Limit: maxEvent}
	}
	n, err := r.body.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}

// TruncatedError reports a stream that ended without its last event.
type TruncatedError struct {
	Err error
}

func (e *TruncatedError) Error() string { return "stream was cut: " + e.Err.Error() }

func (e *TruncatedError) Unwrap() error { return e.Err }

// Next returns the next event; for a stream that ends before an event with Done or
// Failure it returns a *TruncatedError.
func (s *Stream) Next() (Event, error) {
	var e Event
	s.events.remaining = maxEvent
	if err := s.decoder.Decode(&e); err != nil {
		return Event{}, &TruncatedError{Err: err}
	}
	return e, nil
}

// Close closes the stream.
func (s *Stream) Close() { s.body.Close() }
