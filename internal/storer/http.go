package storer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// DefaultTimeout limits a call if HTTP.Timeout is zero.
const DefaultTimeout = 2 * time.Second

// maxAnswer limits one response, in bytes: a value of a megabyte takes 4/3 of that in
// base64, and a list has several.
const maxAnswer = 64 << 20

// HTTP is a client of the service's HTTP API (docs/PEERS.md).
type HTTP struct {
	Address netip.AddrPort
	// Timeout limits each call from dial to the last byte; for a watch, its wait is
	// added. A watch that ends without an error (the service lost it, or a device on
	// the path dropped the connection) would otherwise wait for ever.
	Timeout time.Duration
	// Client makes the calls; nil means a client of its own.
	Client *http.Client

	once          sync.Once
	defaultClient *http.Client
}

var _ Store = (*HTTP)(nil)

// call is one request to the service.
type call struct {
	op, key string
	method  string
	path    string
	query   url.Values
	body    []byte
	wait    time.Duration
	// isWrite is set for calls whose outcome is unknown if the response is lost.
	isWrite bool
}

// answer is a response, read to its end.
type answer struct {
	status int
	body   []byte
}

type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (w wireItem) item() Item { return Item(w) }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Item, error) {
	return h.item(ctx, call{op: "get", key: key, method: http.MethodGet, path: "/kv/" + key})
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Item, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	c := call{op: "watch", key: key, method: http.MethodGet, path: "/watch/" + key, query: q, wait: wait}
	i, err := h.item(ctx, c)
	var unchanged *UnchangedError
	if errors.As(err, &unchanged) {
		unchanged.After = after
	}
	return i, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	q := url.Values{"version": {strconv.FormatUint(version, 10)}}
	if lease != "" {
		q.Set("lease", lease)
	}
	c := call{op: "put", key: key, method: http.MethodPut, path: "/kv/" + key, query: q, body: value, isWrite: true}
	a, err := h.do(ctx, c)
	if err != nil {
		return 0, err
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	if err := bodyreader.DecodeJSON(a.body, &out); err != nil {
		return 0, &UnknownError{Op: c.op, Key: key, Err: err}
	}
	return out.Version, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, version uint64) error {
	q := url.Values{"version": {strconv.FormatUint(version, 10)}}
	_, err := h.do(ctx, call{op: "delete", key: key, method: http.MethodDelete, path: "/kv/" + key, query: q, isWrite: true})
	return err
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Item, error) {
	c := call{op: "list", key: prefix, method: http.MethodGet, path: "/kv", query: url.Values{"prefix": {prefix}}}
	a, err := h.do(ctx, c)
	if err != nil {
		return nil, err
	}
	var out struct {
		Items []wireItem `json:"items"`
	}
	if err := bodyreader.DecodeJSON(a.body, &out); err != nil {
		return nil, &UnavailableError{Op: c.op, Key: prefix, Err: err}
	}
	items := make([]Item, len(out.Items))
	for i, w := range out.Items {
		items[i] = w.item()
	}
	return items, nil
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	c := call{op: "grant", method: http.MethodPost, path: "/leases", query: url.Values{"ttl": {ttl.String()}}, isWrite: true}
	a, err := h.do(ctx, c)
	if err != nil {
		return "", err
	}
	var out struct {
		ID string `json:"id"`
	}
	if err := bodyreader.DecodeJSON(a.body, &out); err != nil {
		return "", &UnknownError{Op: c.op, Err: err}
	}
	return out.ID, nil
}

// Renew implements Store.
func (h *HTTP) Renew(ctx context.Context, lease string) error {
	_, err := h.do(ctx, call{op: "renew", key: lease, method: http.MethodPost, path: "/leases/" + lease + "/renew", isWrite: true})
	return err
}

func (h *HTTP) item(ctx context.Context, c call) (Item, error) {
	a, err := h.do(ctx, c)
	if err != nil {
		return Item{}, err
	}
	if a.status == http.StatusNoContent {
		return Item{}, &UnchangedError{Key: c.key}
	}
	var w wireItem
	if err := bodyreader.DecodeJSON(a.body, &w); err != nil {
		return Item{}, &UnavailableError{Op: c.op, Key: c.key, Err: err}
	}
	return w.item(), nil
}

// do makes the call and turns every failure into one of the package's errors.
func (h *HTTP) do(ctx context.Context, c call) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout()+c.wait)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	a, err := h.roundTrip(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		// Without a connection nothing can have been sent. After that, bytes may
		// have reached the service even if the write failed.
		if c.isWrite && connected {
			return nil, &UnknownError{Op: c.op, Key: c.key, Err: err}
		}
		return nil, &UnavailableError{Op: c.op, Key: c.key, Err: err}
	}
	return a, c.check(a)
}

func (h *HTTP) roundTrip(ctx context.Context, c call) (*answer, error) {
	u := url.URL{Scheme: "http", Host: h.Address.String(), Path: c.path, RawQuery: c.query.Encode()}
	var body io.Reader
	if c.body != nil {
		body = bytes.NewReader(c.body)
	}
	r, err := http.NewRequestWithContext(ctx, c.method, u.String(), body)
	if err != nil {
		return nil, err
	}
	res, err := h.client().Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answered := bodyreader.Reader{Response: res}
	data, err := answered.ReadAll(maxAnswer)
	if err != nil {
		return nil, err
	}
	return &answer{status: res.StatusCode, body: data}, nil
}

// check turns a response other than 2xx into an error.
func (c call) check(a *answer) error {
	if a.status/100 == 2 {
		return nil
	}
	var out struct {
		Error   string `json:"error"`
		Version uint64 `json:"version"`
	}
	if err := bodyreader.DecodeJSON(a.body, &out); err != nil {
		out.Error = strings.TrimSpace(string(a.body))
	}
	failure := fmt.Errorf("status %d: %s", a.status, out.Error)
	switch {
	case a.status == http.StatusNotFound:
		return &NotFoundError{Key: c.key}
	case a.status == http.StatusConflict:
		return &ConflictError{Key: c.key, Version: out.Version}
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return &UnavailableError{Op: c.op, Key: c.key, Err: failure}
	case a.status/100 == 4:
		return &RefusedError{Op: c.op, Key: c.key, Status: a.status, Text: out.Error}
	case c.isWrite:
		return &UnknownError{Op: c.op, Key: c.key, Err: failure}
	default:
		return &UnavailableError{Op: c.op, Key: c.key, Err: failure}
	}
}

func (h *HTTP) timeout() time.Duration {
	if h.Timeout > 0 {
		return h.Timeout
	}
	return DefaultTimeout
}

func (h *HTTP) client() *http.Client {
	if h.Client != nil {
		return h.Client
	}
	h.once.Do(func() {
		t := connector.NewTransport(connector.DialContext)
		t.MaxIdleConnsPerHost, t.IdleConnTimeout = 4, time.Minute
		h.defaultClient = connector.NewClient(t)
	})
	return h.defaultClient
}
