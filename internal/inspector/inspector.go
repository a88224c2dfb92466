// Package inspector asks entries, on the addresses kept for operators, how a
// deployment stands, and works out how far a bundle has come into force.
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

// timeout bounds the question to one entry.
const timeout = 2 * time.Second

// StatusError reports an entry that answered with something else than a status.
type StatusError struct {
	Address netip.AddrPort
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%v answered with status %d", e.Address, e.Status)
}

// maxStatus bounds a status, in bytes: it names all agents.
const maxStatus = 64 << 20

// Inspector asks entries. Certifier makes the connections; nil means plain ones.
type Inspector struct {
	Certifier *certifier.Certifier
}

// client uses each connection once: a survey asks each entry once.
func (i Inspector) client() *http.Client {
	t := connector.NewTransport(i.Certifier.Dial)
	t.DisableKeepAlives = true
	return &http.Client{Transport: t}
}

// Ask gets the status of one entry.
func (i Inspector) Ask(ctx context.Context, at netip.AddrPort) (entry.Status, error) {
	var s entry.Status
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/status", nil)
	if err != nil {
		return s, err
	}
	res, err := i.client().Do(r)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, &StatusError{Address: at, Status: res.StatusCode}
	}
	body := bodyreader.Reader{Response: res}
	return s, body.ReadJSON(maxStatus, &s)
}

// Offer hands an accepted bundle to one entry.
func (i Inspector) Offer(ctx context.Context, at netip.AddrPort, record *bundler.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+"/bundle", bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := i.client().Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &StatusError{Address: at, Status: res.StatusCode}
	}
	return nil
}

// Deployment is what several entries said, put together.
type Deployment struct {
	Entries []entry.Status         `json:"entries"`
	Agents  []messenger.AgentState `json:"agents"`
	// Silent are the addresses that gave no answer, with the reason.
	Silent map[string]string `json:"silent,omitempty"`
}

// Survey asks all given entries. Of each agent the newest account counts.
func (i Inspector) Survey(ctx context.Context, at []netip.AddrPort) Deployment {
	d := Deployment{Silent: map[string]string{}}
	agents := map[string]messenger.AgentState{}
	for _, a := range at {
		s, err := i.Ask(ctx, a)
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
	// Entries and Agents have confirmed the revision, of All so many known.
	Entries    int `json:"entries"`
	AllEntries int `json:"allEntries"`
	Agents     int `json:"agents"`
	AllAgents  int `json:"allAgents"`
	// Ready engines serve the bundle's version of their model, of all that should.
	Ready       int `json:"ready"`
	AllReplicas int `json:"allReplicas"`
	// Bytes of weights are in the agents' memory, of AllBytes; what no manifest is
	// known of yet is not counted.
	Bytes    int64 `json:"bytes"`
	AllBytes int64 `json:"allBytes"`
	// Domains are those all of whose known agents have confirmed.
	Domains    int `json:"domains"`
	AllDomains int `json:"allDomains"`
	// Missing names who has not confirmed.
	Missing []string `json:"missing,omitempty"`
}

// Confirmed tells whether everybody known has the revision, and nobody that was
// asked stayed silent.
func (p Progress) Confirmed() bool { return len(p.Missing) == 0 }

// AllReady tells whether all engines serve the bundle's versions too.
func (p Progress) AllReady() bool { return p.Confirmed() && p.Ready == p.AllReplicas }

func (p Progress) String() string {
	return fmt.Sprintf("revision %d: replicas %d of %d ready, weights %s of %s, entries %d of %d, agents %d of %d, failure domains %d of %d confirmed",
		p.Revision, p.Ready, p.AllReplicas, size(p.Bytes), size(p.AllBytes), p.Entries, p.AllEntries,
		p.Agents, p.AllAgents, p.Domains, p.AllDomains)
}

// size writes bytes as a person reads them.
func size(bytes int64) string {
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
	for at := range d.Silent {
		p.Missing = append(p.Missing, "entry at "+at)
	}
	for _, e := range d.Entries {
		if e.State.Freshness.Revision >= b.Revision {
			p.Entries++
			continue
		}
		p.Missing = append(p.Missing, "entry "+e.State.ID)
	}
	p.weights(d)
	behind := map[string]bool{}
	for _, a := range d.Agents {
		if a.Revision < b.Revision {
			behind[a.FailureDomain] = true
			p.Missing = append(p.Missing, "agent "+a.ID)
		} else {
			p.Agents++
		}
		p.engine(b, a)
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

// weights takes of each manifest the account of the entry that knows most agents.
func (p *Progress) weights(d Deployment) {
	best := map[string]entry.WeightsStatus{}
	for _, e := range d.Entries {
		for _, w := range e.Weights {
			if old, ok := best[w.Manifest]; !ok || w.AllBytes > old.AllBytes {
				best[w.Manifest] = w
			}
		}
	}
	for _, w := range best {
		p.Bytes += w.Bytes
		p.AllBytes += w.AllBytes
	}
}

// engine counts one engine among the replicas, unless its domain is drained.
func (p *Progress) engine(b *bundler.Bundle, a messenger.AgentState) {
	if a.Kind != messenger.KindEngine || !b.Serves(nil, a.FailureDomain) || len(b.ModelsIn(a.FailureDomain)) == 0 {
		return
	}
	p.AllReplicas++
	m, ok := b.Model(a.Model)
	if ok && a.Weights() == m.Weights() && a.Gate != messenger.GateClosed && a.Revision >= b.Revision {
		p.Ready++
	}
}
