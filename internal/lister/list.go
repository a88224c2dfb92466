// Package lister is the client of the platform's list of VMs. The list lags: it may
// still contain VMs that have been removed, and new ones appear late.
package lister

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// The roles of a VM.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// stateLeaving is the state, in the API, of a VM that is being removed.
const stateLeaving = "leaving"

// DefaultTimeout limits a call if HTTP.Timeout is zero.
const DefaultTimeout = 2 * time.Second

// maxAnswer limits one response, in bytes.
const maxAnswer = 64 << 20

// VM is one machine of the deployment.
type VM struct {
	ID string
	// Role is RoleEntry or RoleUpstream.
	Role string
	// Address is the address of the entry or agent on the VM.
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	// Leaving VMs must not get new work.
	Leaving bool
}

// List is the platform's list of VMs, as it was some time ago.
type List interface {
	VMs(ctx context.Context) ([]VM, error)
}

// HTTP is a client of the list's HTTP API (docs/PEERS.md).
type HTTP struct {
	Address netip.AddrPort
	// Timeout limits each call from dial to the last byte.
	Timeout time.Duration
	// Client makes the calls; nil means a client of its own.
	Client *http.Client

	once          sync.Once
	defaultClient *http.Client
}

var _ List = (*HTTP)(nil)

// StatusError reports a response with a status other than 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("list of VMs: status %d", e.Status) }

// VMs implements List.
func (h *HTTP) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout())
	defer cancel()
	u := url.URL{Scheme: "http", Host: h.Address.String(), Path: "/vms"}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	res, err := h.client().Do(r)
	if err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: res.StatusCode}
	}
	return decode(&bodyreader.Reader{Response: res})
}

func decode(body *bodyreader.Reader) ([]VM, error) {
	var in struct {
		VMs []struct {
			ID            string         `json:"id"`
			Role          string         `json:"role"`
			Address       netip.AddrPort `json:"address"`
			FailureDomain string         `json:"failureDomain"`
			Region        string         `json:"region"`
			State         string         `json:"state"`
		} `json:"vms"`
	}
	if err := body.ReadJSON(maxAnswer, &in); err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	vms := make([]VM, 0, len(in.VMs))
	for _, v := range in.VMs {
		vms = append(vms, VM{
			ID:            v.ID,
			Role:          v.Role,
			Address:       v.Address,
			FailureDomain: v.FailureDomain,
			Region:        v.Region,
			Leaving:       v.State == stateLeaving,
		})
	}
	return vms, nil
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
		t.MaxIdleConnsPerHost, t.IdleConnTimeout = 1, time.Minute
		h.defaultClient = connector.NewClient(t)
	})
	return h.defaultClient
}
