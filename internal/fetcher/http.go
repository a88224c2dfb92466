package fetcher

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// DefaultTimeout is how long a source may send nothing until it is considered
// stalled.
const DefaultTimeout = 5 * time.Second

// HoldingHeader carries the base64 bitmap of the chunks that an agent holds, for the manifest
// in ManifestHeader of the request. It is part of each request for a chunk, with the agent's
// name in AgentHeader, and of each response. It is fresher than any bitmap fetched separately,
// and needs no extra call.
const (
	HoldingHeader  = "Holding"
	ManifestHeader = "Manifest"
	AgentHeader    = "Agent"
)

// RegionHeader carries the caller's region to an agent.
const RegionHeader = "Region"

// idleConnTimeout is how long the shared client keeps idle connections.
const idleConnTimeout = 90 * time.Second

var sharedClient = newClient()

func newClient() *http.Client {
	t := connector.NewTransport(connector.DialContext)
	t.IdleConnTimeout = idleConnTimeout
	return connector.NewClient(t)
}

// Source serves manifests and chunks by their digest. Returned data has been
// verified against the digest. Its errors are *CorruptError, *UnavailableError
// and *NotHeldError.
type Source interface {
	Manifest(ctx context.Context, digest string) ([]byte, error)
	// Chunk fetches a chunk of the given size in bytes.
	Chunk(ctx context.Context, digest string, size int64) ([]byte, error)
}

// HolderSource is a Source that also reports which chunks it holds: an agent.
type HolderSource interface {
	Source
	// Holding returns the bitmap of the chunks held of a manifest, chunk i in bit
	// i%8 of byte i/8.
	Holding(ctx context.Context, manifest string) ([]byte, error)
}

// HTTP fetches from a weight store, an origin or an agent.
type HTTP struct {
	Address netip.AddrPort
	// Timeout is how long the source may send nothing; 0 means DefaultTimeout.
	Timeout time.Duration
	// Client makes the calls; nil means one that all sources share.
	Client *http.Client
	// Watched is a manifest, and OnHolding is called with the bitmap of it that comes with
	// each chunk, if set. Agent and Held are the caller's name and its own bitmap.
	Watched   string
	OnHolding func(have []byte)
	Agent     string
	Held      []byte
	// Region is the caller's own, sent to agents so that they keep upload slots
	// free for fetches across regions; empty for none.
	Region string
	// Clock measures Timeout; nil means the real clock.
	Clock clock.WithDelayedExecution
}

var _ HolderSource = (*HTTP)(nil)

// Manifest fetches the body of a manifest.
func (h *HTTP) Manifest(ctx context.Context, digest string) ([]byte, error) {
	body, err := h.get(ctx, "/manifests/"+digest, digest, MaxManifestBytes)
	if err != nil {
		return nil, err
	}
	return h.verify(digest, body)
}

// Chunk fetches the bytes of a chunk.
func (h *HTTP) Chunk(ctx context.Context, digest string, size int64) ([]byte, error) {
	if size < 1 || size > MaxChunkBytes {
		return nil, &InvalidManifestError{Digest: digest, Problem: fmt.Sprintf("invalid chunk size of %d bytes", size)}
	}
	body, err := h.get(ctx, "/chunks/"+digest, digest, size)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) != size {
		return nil, &CorruptError{Source: h.Address.String(), Digest: digest, Got: fmt.Sprintf("%d bytes", len(body))}
	}
	return h.verify(digest, body)
}

// Holding fetches the bitmap of chunks that an agent holds of a manifest.
func (h *HTTP) Holding(ctx context.Context, manifest string) ([]byte, error) {
	return h.get(ctx, "/holdings/"+manifest, manifest, MaxChunks/8)
}

func (h *HTTP) verify(digest string, body []byte) ([]byte, error) {
	if got := bundler.Digest(body); got != digest {
		return nil, &CorruptError{Source: h.Address.String(), Digest: digest, Got: got}
	}
	return body, nil
}

// get reads at most limit bytes of a reply. A peer on a stalled link keeps its
// connection open and sends nothing, which TCP does not detect, and the chunk
// would never be requested from another source. So the call is cancelled once nothing
// has arrived for Timeout.
func (h *HTTP) get(ctx context.Context, path, digest string, limit int64) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := h.clock().AfterFunc(h.timeout(), cancel)
	defer idle.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address.String()+path, nil)
	if err != nil {
		return nil, h.unavailableError(err)
	}
	if h.Region != "" {
		req.Header.Set(RegionHeader, h.Region)
	}
	if h.Watched != "" {
		req.Header.Set(ManifestHeader, h.Watched)
		req.Header.Set(AgentHeader, h.Agent)
		SetHolding(req.Header, h.Held)
	}
	res, err := h.client().Do(req)
	if err != nil {
		return nil, h.unavailableError(err)
	}
	defer res.Body.Close()
	h.reportHolding(res)
	if err := h.statusError(res, digest); err != nil {
		return nil, err
	}
	body := bodyreader.Reader{Response: res, OnArrival: func() { idle.Reset(h.timeout()) }}
	data, err := body.ReadAll(limit)
	var large *bodyreader.OversizeError
	switch {
	case errors.As(err, &large):
		return nil, h.oversizeError(digest, limit)
	case err != nil:
		return nil, h.unavailableError(err)
	}
	return data, nil
}

// reportHolding passes the bitmap of a response to OnHolding.
func (h *HTTP) reportHolding(res *http.Response) {
	if h.OnHolding == nil {
		return
	}
	if have, ok := Holding(res.Header); ok {
		h.OnHolding(have)
	}
}

// SetHolding sets the header for a bitmap of chunks.
func SetHolding(header http.Header, have []byte) {
	header.Set(HoldingHeader, base64.StdEncoding.EncodeToString(have))
}

// Holding decodes the bitmap that SetHolding put into a header; false for a missing or invalid one.
func Holding(header http.Header) (have []byte, ok bool) {
	text := header.Get(HoldingHeader)
	if text == "" {
		return nil, false
	}
	have, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		klog.V(1).InfoS("Invalid bitmap of held chunks", "bitmap", text, "err", err)
		return nil, false
	}
	return have, true
}

func (h *HTTP) oversizeError(digest string, limit int64) error {
	return &CorruptError{Source: h.Address.String(), Digest: digest, Got: fmt.Sprintf("more than %d bytes", limit)}
}

func (h *HTTP) statusError(res *http.Response, digest string) error {
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return &NotHeldError{Source: h.Address.String(), Digest: digest}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return &UnavailableError{
		Source:     h.Address.String(),
		Status:     res.StatusCode,
		RetryAfter: time.Duration(max(seconds, 0)) * time.Second,
	}
}

func (h *HTTP) unavailableError(err error) error {
	return &UnavailableError{Source: h.Address.String(), Err: err}
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
	return sharedClient
}

func (h *HTTP) clock() clock.WithDelayedExecution {
	if h.Clock != nil {
		return h.Clock
	}
	return clock.RealClock{}
}
