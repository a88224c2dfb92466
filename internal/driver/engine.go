package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	neturl "net/url"
	"time"
)

// Engine is a model engine. Set the fields before the first call.
type Engine struct {
	Address netip.AddrPort
	// Client sends the requests; nil means a client that uses each connection once.
	Client *http.Client
	// Timeout limits the short requests: state, role and cancel. 0 means 2 s. Loads
	// and streams are limited by their context alone.
	Timeout time.Duration
}

// EngineState is the state that an engine reports.
type EngineState struct {
	StartID  string         `json:"startId"`
	UptimeMS int64          `json:"uptimeMs"`
	Cold     bool           `json:"cold"`
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Manifest string         `json:"manifest"`
	Adapters []AdapterState `json:"adapters"`
	Role     Role           `json:"role"`
	Fence    uint64         `json:"fence"`
	// Running and Queued may be out of date.
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

// Uptime is the time since the engine's start.
func (s EngineState) Uptime() time.Duration { return time.Duration(s.UptimeMS) * time.Millisecond }

func (s EngineState) health() Health {
	return Health{
		StartID: s.StartID, Uptime: s.Uptime(), Cold: s.Cold, Running: s.Running,
		Model: s.Model, Version: s.Version, Manifest: s.Manifest, Adapters: s.Adapters,
	}
}

// AdapterState is an adapter that an engine has loaded.
type AdapterState struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
}

// Role is the part of the work that an engine does.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
)

// LoadOrder states which weights an engine has to load.
type LoadOrder struct {
	// Fence rises with each order. Not all engines check it, so read the state
	// after a load, whatever the reply to the order was.
	Fence    uint64 `json:"fence"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	Size     int64  `json:"size"`
	// WeightsURL serves all bytes in order.
	WeightsURL string         `json:"weightsUrl"`
	Adapters   []AdapterOrder `json:"adapters,omitempty"`
}

// AdapterOrder is the part of a LoadOrder about one adapter.
type AdapterOrder struct {
	Name       string `json:"name"`
	Version    string `json:"version"`
	Manifest   string `json:"manifest"`
	WeightsURL string `json:"weightsUrl"`
}

// State requests the engine's state.
func (e *Engine) State(ctx context.Context) (EngineState, error) {
	ctx, cancel := e.withTimeout(ctx)
	defer cancel()
	var s EngineState
	err := e.requestJSON(ctx, http.MethodGet, "/state", nil, &s)
	return s, err
}

// Load orders weights and returns once the engine reports them as loaded. An order
// whose fence is older than the engine's returns *FencedError. After any other error
// the order may still take effect later.
func (e *Engine) Load(ctx context.Context, o LoadOrder) (EngineState, error) {
	var s EngineState
	err := e.requestJSON(ctx, http.MethodPost, "/load", o, &s)
	return s, asFencedError(err, o.Fence)
}

// SetRole sets the part of the work that the engine does.
func (e *Engine) SetRole(ctx context.Context, fence uint64, r Role) error {
	ctx, cancel := e.withTimeout(ctx)
	defer cancel()
	body := struct {
		Fence uint64 `json:"fence"`
		Role  Role   `json:"role"`
	}{fence, r}
	return asFencedError(e.requestJSON(ctx, http.MethodPost, "/role", body, nil), fence)
}

// Cancel ends a stream on the engine.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	ctx, cancel := e.withTimeout(ctx)
	defer cancel()
	return e.requestJSON(ctx, http.MethodDelete, "/generate/"+neturl.PathEscape(id), nil, nil)
}

// GenerateRequest requests a stream of tokens.
type GenerateRequest struct {
	RequestID string `json:"requestId"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority"`
	Adapter   string `json:"adapter,omitempty"`
}

// Generate starts a stream. The caller has to close it. Errors are *NotSentError and
// *RefusedError if the request certainly has not run, else *UnknownError.
func (e *Engine) Generate(ctx context.Context, g GenerateRequest) (*Stream, error) {
	resp, err := e.do(ctx, http.MethodPost, "/generate", g) //nolint:bodyclose // Stream.Close does
	if err != nil {
		return nil, err
	}
	return newStream(resp, 0), nil
}

// Resume reopens a stream that the engine still has, beginning with event number from.
func (e *Engine) Resume(ctx context.Context, id string, from int) (*Stream, error) {
	path := fmt.Sprintf("/generate/%s?from=%d", neturl.PathEscape(id), from)
	resp, err := e.do(ctx, http.MethodGet, path, nil) //nolint:bodyclose // Stream.Close does
	if err != nil {
		return nil, err
	}
	return newStream(resp, from), nil
}

// requestJSON performs a request whose reply is one JSON value.
func (e *Engine) requestJSON(ctx context.Context, method, path string, body, reply any) error {
	resp, err := e.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if reply == nil {
		return nil
	}
	return decode(resp, reply)
}

// do performs a request and turns a reply that is not 2xx into an error.
func (e *Engine) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	if body == nil {
		data = nil
	}
	r, err := http.NewRequestWithContext(ctx, method, url(e.Address, path), bytes.NewReader(data))
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := send(e.client(), r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		return nil, refusalError(resp)
	}
	return resp, nil
}

func (e *Engine) client() *http.Client {
	if e.Client != nil {
		return e.Client
	}
	return sharedClient
}

func (e *Engine) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if e.Timeout <= 0 {
		return context.WithTimeout(ctx, defaultTimeout)
	}
	return context.WithTimeout(ctx, e.Timeout)
}

// asFencedError turns a refusal caused by an old fence into a *FencedError.
func asFencedError(err error, sent uint64) error {
	var r *RefusedError
	if errors.As(err, &r) && r.Status == http.StatusConflict {
		return &FencedError{Sent: sent, Fence: r.Fence}
	}
	return err
}
