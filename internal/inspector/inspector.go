// Package inspector requests the status of a deployment from the operators' addresses of
// its entries, and computes how far a bundle has come into force.
package inspector

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/entry"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// timeout bounds the request to one entry.
const timeout = 2 * time.Second

// StatusError reports an entry that answered with an unexpected HTTP status.
type StatusError struct {
	Address netip.AddrPort
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%v answered with status %d", e.Address, e.Status)
}

// maxStatus bounds a status, in bytes: it lists all agents.
const maxStatus = 64 << 20

// Inspector sends requests to entries. Certifier makes the connections; nil means plain ones.
type Inspector struct {
	Certifier *certifier.Certifier
}

// client uses each connection once: a survey sends one request to each entry.
func (i Inspector) client() *http.Client {
	t := connector.NewTransport(i.Certifier.Dial)
	t.DisableKeepAlives = true
	return connector.NewClient(t)
}

// Status returns the status of one entry.
func (i Inspector) Status(ctx context.Context, address netip.AddrPort) (entry.Status, error) {
	var s entry.Status
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return s, err
	}
	res, err := i.client().Do(r)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, &StatusError{Address: address, Status: res.StatusCode}
	}
	body := bodyreader.Reader{Response: res}
	return s, body.ReadJSON(maxStatus, &s)
}

// SendBundle sends an accepted bundle to one entry.
func (i Inspector) SendBundle(ctx context.Context, address netip.AddrPort, record *bundler.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/bundle", bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := i.client().Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &StatusError{Address: address, Status: res.StatusCode}
	}
	return nil
}

// Deployment is the combined status of several entries.
type Deployment struct {
	Entries []entry.Status         `json:"entries"`
	Agents  []messenger.AgentState `json:"agents"`
	// Silent are the addresses that gave no answer, with the error.
	Silent map[string]string `json:"silent,omitempty"`
}

// Survey requests the status of all given entries. It keeps the newest state of each agent.
func (i Inspector) Survey(ctx context.Context, addresses []netip.AddrPort) Deployment {
	d := Deployment{Silent: map[string]string{}}
	agents := map[string]messenger.AgentState{}
	for _, a := range addresses {
		s, err := i.Status(ctx, a)
		if err != nil {
			d.Silent[a.String()] = err.Error()
			continue
		}
		d.Entries = append(d.Entries, s)
		for _, g := range s.Agents {
			if old, ok := agents[g.ID]; !ok || old.Incarnation != g.Incarnation || old.Sequence < g.Sequence {
				agents[g.ID] = g
			}
		}
	}
	for _, g := range agents {
		d.Agents = append(d.Agents, g)
	}
	slices.SortFunc(d.Agents, func(a, b messenger.AgentState) int { return strings.Compare(a.ID, b.ID) })
	return d
}

// Progress is how far a bundle has come into force.
type Progress struct {
	Revision uint64 `json:"revision"`
	// Entries and Agents have confirmed the revision, out of AllEntries and AllAgents known.
	Entries    int `json:"entries"`
	AllEntries int `json:"allEntries"`
	Agents     int `json:"agents"`
	AllAgents  int `json:"allAgents"`
	// Ready engines serve the bundle's version of their model; AllReplicas counts those that should.
	Ready       int `json:"ready"`
	AllReplicas int `json:"allReplicas"`
	// Bytes of weights are in the agents' memory, out of AllBytes; weights without a known
	// manifest aren't counted.
	Bytes    int64 `json:"bytes"`
	AllBytes int64 `json:"allBytes"`
	// Domains counts the failure domains whose known agents have all confirmed.
	Domains    int `json:"domains"`
	AllDomains int `json:"allDomains"`
	// Missing lists the entries and agents that have not confirmed.
	Missing []string `json:"missing,omitempty"`
}

// Confirmed reports whether all known entries and agents have the revision and each
// entry answered.
func (p Progress) Confirmed() bool { return len(p.Missing) == 0 }

// AllReady reports whether all engines serve the bundle's versions too.
func (p Progress) AllReady() bool { return p.Confirmed() && p.Ready == p.AllReplicas }

func (p Progress) String() string {
	return fmt.Sprintf("revision %d: replicas %d of %d ready, weights %s of %s, entries %d of %d, agents %d of %d, failure domains %d of %d confirmed",
		p.Revision, p.Ready, p.AllReplicas, formatSize(p.Bytes), formatSize(p.AllBytes), p.Entries, p.AllEntries,
		p.Agents, p.AllAgents, p.Domains, p.AllDomains)
}

// formatSize formats a number of bytes with a decimal unit.
func formatSize(bytes int64) string {
	const unit = 1000
	if bytes < unit {
		return fmt.Sprintf("%d B", bytes)
	}
	n, names := float64(bytes)/unit, "kMGT"
	i := 0
	for n >= unit && i < len(names)-1 {
		n /= unit
		i++
	}
	return fmt.Sprintf("%.1f %cB", n, names[i])
}

// Measure compares a deployment with the bundle that should be in force.
func Measure(b *bundler.Bundle, d Deployment) Progress {
	p := Progress{Revision: b.Revision, AllEntries: len(d.Entries) + len(d.Silent), AllAgents: len(d.Agents)}
	for address := range d.Silent {
		p.Missing = append(p.Missing, "entry at "+address)
	}
	for _, e := range d.Entries {
		if e.State.Freshness.Revision >= b.Revision {
			p.Entries++
			continue
		}
		p.Missing = append(p.Missing, "entry "+e.State.ID)
	}
	p.addWeights(d)
	behind := map[string]bool{}
	for _, a := range d.Agents {
		if a.Revision < b.Revision {
			behind[a.FailureDomain] = true
			p.Missing = append(p.Missing, "agent "+a.ID)
		} else {
			p.Agents++
		}
		p.addEngine(b, a)
	}
	p.AllDomains = len(b.FailureDomains)
	for _, f := range b.FailureDomains {
		if !behind[f.Name] {
			p.Domains++
		}
	}
	slices.Sort(p.Missing)
	return p
}

// addWeights uses, for each manifest, the status of the entry with reports of the most weights.
func (p *Progress) addWeights(d Deployment) {
	largest := map[string]entry.WeightsStatus{}
	for _, e := range d.Entries {
		for _, w := range e.Weights {
			if old, ok := largest[w.Manifest]; !ok || w.AllBytes > old.AllBytes {
				largest[w.Manifest] = w
			}
		}
	}
	for _, w := range largest {
		p.Bytes += w.Bytes
		p.AllBytes += w.AllBytes
	}
}

// addEngine counts one engine among the replicas, unless its domain is drained.
func (p *Progress) addEngine(b *bundler.Bundle, a messenger.AgentState) {
	if a.Kind != messenger.KindEngine || !b.Serves(nil, a.FailureDomain) || len(b.ModelsIn(a.FailureDomain)) == 0 {
		return
	}
	p.AllReplicas++
	m, ok := b.Model(a.Model)
	if ok && a.Weights() == m.Weights() && a.Gate != messenger.GateClosed && a.Revision >= b.Revision {
		p.Ready++
	}
}
