// Package driver speaks to the upstream on the agent's own VM: a model engine or
// a plain service. It is the only package that knows their wires, which
// docs/PEERS.md lists. Its errors keep apart what certainly never reached the
// upstream from what may have run there.
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

// Upstream is what an agent stands before: *Engine or *Service.
type Upstream interface{ upstream() }

func (*Engine) upstream()  {}
func (*Service) upstream() {}

// Health is what both kinds of upstream say of themselves. The weights are empty
// for a plain service.
type Health struct {
	StartID                  string
	Uptime                   time.Duration
	Cold                     bool
	Running                  int
	Model, Version, Manifest string
	Adapters                 []AdapterState
}

// Check asks either kind of upstream for its health.
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

// Bounds of the wires.
const (
	defaultTimeout = 2 * time.Second
	maxStateBytes  = 1 << 20
	maxErrorBytes  = 4 << 10
)

// newClient makes a client that sends each request once, on a connection of its
// own. With kept connections net/http sends a request again by itself when a
// reused one breaks and the request looks repeatable; with redirects it sends
// the body again to wherever the upstream points. Either would run a booking
// twice with nothing in our logs; the customer would find it. A dial over the
// loopback costs some tens of microseconds.
func newClient() *http.Client {
	t := connector.NewTransport(connector.DialContext)
	t.DisableKeepAlives = true
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

var sharedClient = newClient()

// send performs one request. The error is *NotSentError when no connection was
// ever had for it and *UnknownError otherwise.
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

// OnConnect makes f be called once a request made with the context has its
// connection. A restart of the upstream from then on breaks that connection.
func OnConnect(ctx context.Context, f func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { f() },
	})
}

// url is the address of a path on the upstream.
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

// refused makes the error of a reply that is not 2xx.
func refused(resp *http.Response) error {
	var body struct {
		Error string `json:"error"`
		Fence uint64 `json:"fence"`
	}
	data, err := ReadReply(resp, maxErrorBytes)
	if err != nil {
		// The status alone says that the request is refused.
		return &RefusedError{Status: resp.StatusCode, Text: err.Error()}
	}
	if err := json.Unmarshal(data, &body); err != nil {
		body.Error = string(data)
	}
	return &RefusedError{Status: resp.StatusCode, Text: body.Error, Fence: body.Fence}
}

// NotSent tells whether err proves that the upstream never had the request: no
// connection was made, or the upstream itself said it would not run it.
func NotSent(err error) bool {
	var n *NotSentError
	var r *RefusedError
	return errors.As(err, &n) || errors.As(err, &r)
}
