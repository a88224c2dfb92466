package driver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

// Service is a plain back end. Set the fields before the first call.
type Service struct {
	Address netip.AddrPort
	// Timeout limits State; 0 means 2 s. Calls are limited by their context.
	Timeout time.Duration
}

// ServiceState is the state that a plain service reports.
type ServiceState struct {
	StartID  string `json:"startId"`
	UptimeMS int64  `json:"uptimeMs"`
	Cold     bool   `json:"cold"`
	Running  int    `json:"running"`
}

// Uptime is the time since the service's start.
func (s ServiceState) Uptime() time.Duration { return time.Duration(s.UptimeMS) * time.Millisecond }

func (s ServiceState) health() Health {
	return Health{StartID: s.StartID, Uptime: s.Uptime(), Cold: s.Cold, Running: s.Running}
}

// State requests the service's state.
func (s *Service) State(ctx context.Context) (ServiceState, error) {
	e := Engine{Address: s.Address, Timeout: s.Timeout}
	ctx, cancel := e.withTimeout(ctx)
	defer cancel()
	var state ServiceState
	err := e.requestJSON(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// droppedHeaders lists the headers of a call that are not forwarded: hop-by-hop
// headers, and the last two because they mark a request as repeatable for net/http,
// which would then resend it.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Idempotency-Key", "X-Idempotency-Key",
}

// Call forwards one call, once. The reply may have any status; the caller has to
// close its body. Errors are *NotSentError if the call certainly never reached the
// service, and *UnknownError if it may have run.
func (s *Service) Call(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url(s.Address, path), nil)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	r.Header = forwardedHeader(header)
	setBody(r, body)
	return send(sharedClient, r)
}

// forwardedHeader copies the headers that are forwarded to the service.
func forwardedHeader(header http.Header) http.Header {
	out := http.Header{}
	for name, values := range header {
		for _, v := range values {
			out.Add(name, v)
		}
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}

// setBody sets the request's body, and its length if that is known. It hides the
// reader's type, so that net/http has no GetBody and cannot resend the body.
func setBody(r *http.Request, body io.Reader) {
	if body == nil {
		return
	}
	r.Body = io.NopCloser(struct{ io.Reader }{body})
	r.ContentLength = -1
	sized, ok := body.(interface{ Len() int })
	if !ok {
		return
	}
	r.ContentLength = int64(sized.Len())
	if r.ContentLength == 0 {
		r.Body = http.NoBody
	}
}

// ReadReply reads the whole body of a reply of at most limit bytes and closes it. A
// truncated body returns *CutError, so that it does not count as a whole reply.
func ReadReply(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	body := bodyreader.Reader{Response: resp}
	data, err := body.ReadAll(limit)
	var large *bodyreader.OversizeError
	switch {
	case errors.As(err, &large):
		return nil, &ProtocolError{Problem: "reply too large", Err: err}
	case err != nil:
		return nil, &CutError{Err: err}
	}
	return data, nil
}

// CheckEnd checks that the service has not restarted since startID, if that is known. Only replies that end with
// their connection need it, as a process that crashes closes its connections as well. Errors are *CutError.
func (s *Service) CheckEnd(ctx context.Context, resp *http.Response, startID string) error {
	if bodyreader.FramingOf(resp) != bodyreader.ByConnection {
		return nil
	}
	state, err := s.State(ctx)
	if err != nil {
		return &CutError{Err: err}
	}
	if startID != "" && state.StartID != startID {
		return &CutError{Err: &RestartedError{Was: startID, Is: state.StartID}}
	}
	return nil
}
