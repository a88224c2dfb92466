// Package driver is the client of the upstream on the agent's own VM: a model
// engine or a plain service. Only this package implements their protocols, which
// docs/PEERS.md lists. Its errors distinguish requests that certainly never
// reached the upstream from requests that may have run there.
package driver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// Upstream is the back end of an agent: *Engine or *Service.
type Upstream interface{ upstream() }

func (*Engine) upstream()  {}
func (*Service) upstream() {}

// Health is the state that both kinds of upstream report. Model, Version, Manifest
// and Adapters are empty for a plain service.
type Health struct {
	StartID                  string
	Uptime                   time.Duration
	Cold                     bool
	Running                  int
	Model, Version, Manifest string
	Adapters                 []AdapterState
}

// Check requests the health of either kind of upstream.
func Check(ctx context.Context, u Upstream) (Health, error) {
	switch u := u.(type) {
	case *Engine:
		s, err := u.State(ctx)
		return s.health(), err
	case *Service:
		s, err := u.State(ctx)
		return s.health(), err
	}
	return Health{}, fmt.Errorf("driver: no upstream of type %T", u)
}

// Limits on calls and replies.
const (
	defaultTimeout = 2 * time.Second
	maxStateBytes  = 1 << 20
	maxErrorBytes  = 4 << 10
)

// newClient returns a client that sends each request once, on a connection of its
// own. With keep-alives, net/http resends a request that looks repeatable when a
// reused connection breaks; with redirects, it sends the body again to the address
// that the upstream names. Either would run a booking twice, with nothing in the
// logs. A dial over the loopback costs some tens of microseconds.
func newClient() *http.Client {
	t := connector.NewTransport(connector.DialContext)
	t.DisableKeepAlives = true
	return connector.NewClient(t)
}

var sharedClient = newClient()

// send performs one request. The error is *NotSentError if no connection was
// established for it and *UnknownError otherwise.
func send(c *http.Client, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	resp, err := c.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	switch {
	case err == nil:
		return resp, nil
	case !connected.Load():
		return nil, &NotSentError{Err: err}
	}
	return nil, &UnknownError{Err: err}
}

// OnConnect returns a context that calls f once a request made with it has its
// connection. A restart of the upstream after that breaks the connection.
func OnConnect(ctx context.Context, f func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { f() },
	})
}

// url returns the URL of a path on the upstream.
func url(a netip.AddrPort, path string) string { return "http://" + a.String() + path }

// decode reads a JSON reply of bounded size.
func decode(resp *http.Response, value any) error {
	data, err := ReadReply(resp, maxStateBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, value); err != nil {
		return &ProtocolError{Problem: "reply is not the JSON expected", Err: err}
	}
	return nil
}

// refusalError returns the error for a reply that is not 2xx.
func refusalError(resp *http.Response) error {
	var body struct {
		Error string `json:"error"`
		Fence uint64 `json:"fence"`
	}
	data, err := ReadReply(resp, maxErrorBytes)
	if err != nil {
		// The status alone shows that the request was refused.
		return &RefusedError{Status: resp.StatusCode, Text: err.Error()}
	}
	if err := json.Unmarshal(data, &body); err != nil {
		body.Error = string(data)
	}
	return &RefusedError{Status: resp.StatusCode, Text: body.Error, Fence: body.Fence}
}

// NotSent reports whether err proves that the upstream does not run the request: no
// connection was made, or the upstream refused it.
func NotSent(err error) bool {
	var n *NotSentError
	var r *RefusedError
	return errors.As(err, &n) || errors.As(err, &r)
}
