// Package bundler implements the bundle: the versioned configuration in which
// operators state which models, adapters and versions serve which workspaces, in
// which failure domains and within what limits. It parses, defaults, validates,
// compares and signs bundles, without access to a store or a network.
package bundler

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
)

// MaxBytes is the maximum size of an encoded record, in bytes: the platform's
// key-value service holds values up to a megabyte.
const MaxBytes = 1 << 20

// Bundle is one immutable revision of the configuration.
type Bundle struct {
	// Revision increases by one with each accepted bundle, starting at 1.
	Revision uint64 `json:"revision"`
	// ChangeID identifies the change, so that an operator whose response was lost
	// can check whether this change took effect.
	ChangeID string `json:"changeId"`
	// Note is the operator's reason, for readers of the history.
	Note           string          `json:"note,omitempty"`
	FailureDomains []FailureDomain `json:"failureDomains"`
	Models         []Model         `json:"models,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Workspaces     []Workspace     `json:"workspaces"`
}

// FailureDomain is a set of VMs that fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Drained domains get no new work.
	Drained bool `json:"drained,omitempty"`
}

// Model is a set of weights at one version.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Manifest is the digest ("sha256:" and 64 hex digits) of the manifest that
	// lists the chunks. It pins every byte of the weights.
	Manifest string    `json:"manifest"`
	Adapters []Adapter `json:"adapters,omitempty"`
	// FailureDomains are those that serve the model; empty means all.
	FailureDomains []string `json:"failureDomains,omitempty"`
	// Share is the model's weight when a failure domain's engines are divided
	// among its models. 0 means 1.
	Share int `json:"share,omitempty"`
}

// Weights lists the manifests of all weights that an engine must hold to serve the
// model: its own and those of its adapters, in the bundle's order.
func (m Model) Weights() string {
	names := []string{m.Manifest}
	for _, a := range m.Adapters {
		names = append(names, a.Manifest)
	}
	return strings.Join(names, " ")
}

// Adapter is a small set of weights applied on top of a model's.
type Adapter struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
}

// Service is a plain upstream, such as bookings or records.
type Service struct {
	Name string `json:"name"`
	// Idempotent services may be called again after an unknown outcome. By
	// default, for safety, a call is run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// FailureDomains are those that run the service; empty means all.
	FailureDomains []string `json:"failureDomains,omitempty"`
}

// Workspace is a customer's share of the system.
type Workspace struct {
	Name     string   `json:"name"`
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	Limits   Limits   `json:"limits,omitzero"`
	// Priority orders workspaces when work must be shed; higher is kept longer.
	Priority int `json:"priority,omitempty"`
}

// Limits bound a workspace over the whole deployment. Zero means unlimited.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
}

// Parse decodes, defaults and validates a bundle. It rejects unknown keys, data after
// the object and more than MaxBytes, and reports all faults of the content at once as
// a *FaultsError.
func Parse(data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, &SizeError{Bytes: len(data), Limit: MaxBytes}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	b := new(Bundle)
	if err := d.Decode(b); err != nil {
		return nil, &SyntaxError{Offset: d.InputOffset(), Err: err}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, &SyntaxError{Offset: d.InputOffset(), Err: errors.New("text after the bundle")}
	}
	b.Defaults()
	if err := b.Validate(); err != nil {
		return nil, err
	}
	return b, nil
}

// Defaults sets the default values of absent fields.
func (b *Bundle) Defaults() {
	for i := range b.Models {
		if b.Models[i].Share == 0 {
			b.Models[i].Share = 1
		}
	}
}

// Encode returns the bundle as indented JSON, the form in which it is signed.
func (b *Bundle) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return nil, err
	}
	if len(data) > MaxBytes {
		return nil, &SizeError{Bytes: len(data), Limit: MaxBytes}
	}
	return append(data, '\n'), nil
}

// Domain finds a failure domain by name.
func (b *Bundle) Domain(name string) (FailureDomain, bool) {
	i := slices.IndexFunc(b.FailureDomains, func(d FailureDomain) bool { return d.Name == name })
	if i < 0 {
		return FailureDomain{}, false
	}
	return b.FailureDomains[i], true
}

// Model finds a model by name.
func (b *Bundle) Model(name string) (Model, bool) {
	i := slices.IndexFunc(b.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return b.Models[i], true
}

// Service finds a service by name.
func (b *Bundle) Service(name string) (Service, bool) {
	i := slices.IndexFunc(b.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return b.Services[i], true
}

// Workspace finds a workspace by name.
func (b *Bundle) Workspace(name string) (Workspace, bool) {
	i := slices.IndexFunc(b.Workspaces, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return Workspace{}, false
	}
	return b.Workspaces[i], true
}

// Serves reports whether new work for a model or service placed in the given
// failure domains (empty means all) may go to a domain: the bundle must list the
// domain, the model or service must be placed there, and it must not be drained.
func (b *Bundle) Serves(placed []string, domain string) bool {
	d, ok := b.Domain(domain)
	if !ok || d.Drained {
		return false
	}
	return len(placed) == 0 || slices.Contains(placed, domain)
}

// ModelsIn returns the models placed in a failure domain, drained or not: a
// drained domain keeps its weights up to date so that it is warm on return.
func (b *Bundle) ModelsIn(domain string) []Model {
	var ms []Model
	if _, ok := b.Domain(domain); !ok {
		return nil
	}
	for _, m := range b.Models {
		if len(m.FailureDomains) == 0 || slices.Contains(m.FailureDomains, domain) {
			ms = append(ms, m)
		}
	}
	return ms
}

// Digest returns "sha256:" and the hex SHA-256 of data, the form of all digests
// in oriolecroft.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return "sha256:" + hex.EncodeToString(sum[:])
}
