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

// maxAnswer bounds an answer of the agent's own, in bytes.
const maxAnswer = 64 << 10

// idleConnections bounds what an entry keeps open to one agent.
const idleConnections = 16

// Client sends orders to agents.
type Client struct {
	http *http.Client
}

// Dial makes a connection. Its errors are *net.OpError of the operation "dial".
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient makes a client with its own connections.
func NewClient(dial Dial) *Client {
	t := connector.NewTransport(dial)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = idleConnections, 30*time.Second
	return &Client{http: &http.Client{Transport: t}}
}

// refusal is the body of an answer that is not a reply.
type refusal struct {
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retryAfterMs"`
	Busy         bool   `json:"busy,omitempty"`
	KeyClosed    bool   `json:"keyClosed,omitempty"`
}

// Generate starts or resumes a stream. Errors are *NotRunError, *UnknownError
// and *CrossedError.
func (c *Client) Generate(ctx context.Context, to netip.AddrPort, o GenerateOrder) (*Stream, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, &NotRunError{Reason: err.Error()}
	}
	r, err := c.post(ctx, to, pathGenerate, nil, body)
	if err != nil {
		return nil, err
	}
	if err := answered(r, o.Attempt); err != nil {
		r.Body.Close()
		return nil, err
	}
	s := &Stream{EngineStart: r.Header.Get(headerEngine), body: r.Body, events: eventReader{body: bodyreader.Reader{Response: r}}}
	s.decoder = json.NewDecoder(&s.events)
	return s, nil
}

// Call makes one call to a plain service. Errors as with Generate.
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
	if err := answered(r, o.Attempt); err != nil {
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
		Agent:    agentOf(r),
	}, nil
}

// readReply reads a whole body. An agent that dies while it answers, or answers
// more than fits, leaves a part that a caller could take for the whole.
func readReply(r *http.Response) ([]byte, error) {
	body := bodyreader.Reader{Response: r}
	data, err := body.ReadAll(MaxBody)
	if err != nil {
		return nil, &UnknownError{Reason: "reply not read: " + err.Error()}
	}
	return data, nil
}

// Lookup asks what became of a key; it never starts anything.
func (c *Client) Lookup(ctx context.Context, to netip.AddrPort, key string) (Fate, error) {
	r, err := c.post(ctx, to, pathLookup, nil, []byte(key))
	if err != nil {
		return FateUnknown, err
	}
	defer r.Body.Close()
	var answer struct {
		Fate Fate `json:"fate"`
	}
	body := bodyreader.Reader{Response: r}
	if err := body.ReadJSON(maxAnswer, &answer); err != nil {
		return FateUnknown, &UnknownError{Reason: err.Error()}
	}
	switch answer.Fate {
	case FateRan, FateRunning, FateNotRun, FateUnknown:
		return answer.Fate, nil
	}
	return FateUnknown, &UnknownError{Reason: "no fate " + strconv.Quote(string(answer.Fate))}
}

// Cancel tells an agent that nobody reads a stream any more. Without it the agent
// holds the stream for a caller that may read on through another entry.
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
// library never sends it a second time by itself.
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

// sendError tells a dial that failed, after which nothing was sent, from
// anything later, after which the request may have run.
func sendError(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return &NotRunError{Reason: "agent can not be reached: " + err.Error(), Gone: true}
	}
	return &UnknownError{Reason: err.Error()}
}

// answered checks that the answer is to this attempt and says that it ran.
func answered(r *http.Response, a Attempt) error {
	got := r.Header.Get(headerRequest) + "/" + r.Header.Get(headerAttempt)
	if got != a.RequestID+"/"+strconv.Itoa(a.Number) {
		return &CrossedError{Want: a, Got: got}
	}
	if r.Header.Get(headerOutcome) == outcomeRan {
		return nil
	}
	var f refusal
	body := bodyreader.Reader{Response: r}
	if err := body.ReadJSON(maxAnswer, &f); err != nil {
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
		Agent:      agentOf(r),
	}
}

// agentOf reads the agent's account of itself; nil when there is none.
func agentOf(r *http.Response) *messenger.AgentState {
	s := new(messenger.AgentState)
	if json.Unmarshal([]byte(r.Header.Get(headerAgent)), s) != nil {
		return nil
	}
	return s
}

// Stream is a reply under way.
type Stream struct {
	// EngineStart is the engine's start id, to which a resume is bound.
	EngineStart string

	body    io.ReadCloser
	events  eventReader
	decoder *json.Decoder
}

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// eventReader bounds what is read for one event: the decoder keeps it in memory until its end.
type eventReader struct {
	body bodyreader.Reader
	left int
}

// Read implements io.Reader.
func (r *eventReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, &bodyreader.OversizeError{Limit: maxEvent}
	}
	n, err := r.body.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// CutError reports a stream that ended without its end mark.
type CutError struct {
	Err error
}

func (e *CutError) Error() string { return "stream was cut: " + e.Err.Error() }

func (e *CutError) Unwrap() error { return e.Err }

// Next gives the next event; a stream that ends before an event with Done or
// Failure gives a *CutError.
func (s *Stream) Next() (Event, error) {
	var e Event
	s.events.left = maxEvent
	if err := s.decoder.Decode(&e); err != nil {
		return Event{}, &CutError{Err: err}
	}
	return e, nil
}

// Close gives the stream up.
func (s *Stream) Close() { s.body.Close() }
