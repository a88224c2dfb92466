// Package matcher looks up requests in the operators' route table: the route by
// host and longest path prefix, the workspace by API key, and the limits of
// both.
package matcher

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind determines whether and how a request of a route may be repeated after a
// failed attempt.
type Kind int

// The kinds of route. The zero value is the most restrictive one.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "nonIdempotent"
	}
}

// Route defines where requests of one host and path prefix go.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller may wait; 0 for none.
	Timeout time.Duration
	// Objective is the target time to the answer, or to a stream's first event; 0
	// for none.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events of a stream; 0 for none.
	PauseObjective time.Duration
	// EventTimeout is how long callers wait for the next event of a stream, including the
	// first, before they disconnect; 0 if they don't.
	EventTimeout time.Duration
	// Targets are the services that may serve the route, with their weights.
	Targets []Target
	// MaxAttempts is the number of upstreams to which one request may be sent; at
	// least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Generates marks requests to model engines.
	Generates bool
	// Resumable streams may continue at another upstream after the last event
	// that the caller has.
	Resumable bool
	// Regions are the only ones in which requests may be served; empty for all.
	Regions []string
	// Priority is from MostUrgent to LeastUrgent; nil for none.
	Priority *int
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	// Weight is the share in relation to the other targets' weights.
	Weight int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target picks a service by the weights; u is uniform in [0, 1).
func (r *Route) Target(u float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := int(u * float64(total))
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Workspace is the customer that a request belongs to.
type Workspace struct {
	Name string
	// Regions are the only ones in which its requests may be served; empty for all.
	Regions []string
	// Priority takes precedence over that of routes; nil for none.
	Priority *int
}

// Service is a group of equivalent upstreams.
type Service struct {
	Name string
	// ColdRate is the requests a second that a cold upstream can handle; 0 for no
	// limit.
	ColdRate float64
	// Connections is the most connections that an upstream accepts from all callers; 0
	// for no limit.
	Connections int
	// Engine is set for model engines.
	Engine *Engine
	// Origin is set for the service that serves weights. It is no target for
	// requests.
	Origin *Origin
	// Objective is the shortest one of the generating routes to this service; 0 for none. Index
	// sets it.
	Objective time.Duration
	// Prioritized reports whether requests may have more than one priority, from MostUrgent to Least. Index
	// sets them.
	Prioritized bool
	Least       int

	// urgencies are those of the requests for this service, the most urgent
	// first.
	urgencies []urgency
}

// Engine holds the performance figures of a service's model engines.
type Engine struct {
	// Slots is how many requests run in one batch.
	Slots int
	// Stride is the number of steps in a pass during decoding.
	Stride int
	// Chunk is the most prompt tokens that a step reads.
	Chunk int
	// Step is how long a token step takes, and PerRequest and PerThousand what each
	// decoding request and each thousand tokens of its context add.
	Step, PerRequest, PerThousand time.Duration
	// ReadPerSecond is how many prompt tokens are read a second.
	ReadPerSecond float64
	// PerMillionPairs is what a million pairs of a token and an earlier one add to
	// prefill.
	PerMillionPairs time.Duration
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt, UsualAnswer int
	// Models are those that the engines may hold.
	Models []string
	// Chunks is the number of chunks of a set of weights.
	Chunks int
	// Load is how long whole weights take to load.
	Load time.Duration
}

// Origin is the source of weights that no agent has.
type Origin struct {
	Address       netip.AddrPort
	FailureDomain string
	// LinkRate is the rate of its link in bytes a second; 0 if unknown.
	LinkRate int64
}

// Limits bound the size of a caller's request; 0 for no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
}

// Table is one version of the route table. It must not be changed once in use.
type Table struct {
	// Version increases with each change, in uneven steps.
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	// Keys maps API keys to their workspaces; nil if requests need none.
	Keys   map[string]*Workspace
	Limits Limits

	hosts map[string]*hostRoutes
}

// hostRoutes are a host's routes, the longest prefix first, and the first of each prefix.
type hostRoutes struct {
	longestFirst []*Route
	byPrefix     map[string]*Route
}

// Index prepares the table for Match. It must be called once before use.
func (t *Table) Index() {
	t.hosts = map[string]*hostRoutes{}
	for _, r := range t.Routes {
		h := t.hosts[r.Host]
		if h == nil {
			h = &hostRoutes{byPrefix: map[string]*Route{}}
			t.hosts[r.Host] = h
		}
		h.longestFirst = append(h.longestFirst, r)
		if h.byPrefix[r.Prefix] == nil {
			h.byPrefix[r.Prefix] = r
		}
		t.lowerObjectives(r)
	}
	for _, h := range t.hosts {
		slices.SortStableFunc(h.longestFirst, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.setPriorities()
}

// lowerObjectives lowers the objectives of the target services to that of a
// generating route.
func (t *Table) lowerObjectives(r *Route) {
	if !r.Generates || r.Objective <= 0 {
		return
	}
	for _, target := range r.Targets {
		if s := t.Services[target.Service]; s != nil && (s.Objective == 0 || r.Objective < s.Objective) {
			s.Objective = r.Objective
		}
	}
}

// Match returns the host's route with the longest prefix of the path; nil if there is none.
// The host may include a port. It looks up the path's own prefixes instead of scanning all
// routes: with 20,000 of them it takes 0.1 µs instead of 147 (BenchmarkMatch).
func (t *Table) Match(host, path string) *Route {
	h := t.host(host)
	if h == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := h.byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Host lists a host's routes, the longest prefix first.
func (t *Table) Host(host string) []*Route {
	if h := t.host(host); h != nil {
		return h.longestFirst
	}
	return nil
}

func (t *Table) host(host string) *hostRoutes {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	return t.hosts[strings.ToLower(host)]
}

// Permits reports whether a region is among those allowed; an empty list allows
// all.
func Permits(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
