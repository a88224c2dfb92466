// Package matcher finds what a request asks for in the operators' route table:
// the route by host and longest path prefix, the workspace by API key, and what
// both allow.
package matcher

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind is what may be done with a request of a route when its first attempt
// fails.
type Kind int

// The kinds of route. The zero value is the one that promises least.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// String gives the kind's name in logs.
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

// Route tells where requests of one host and path prefix go.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller may be kept waiting; 0 for none.
	Timeout time.Duration
	// Objective is the time to the answer, or a stream's first event, within which
	// it is worth most to the caller; 0 for none.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream that is on time; 0 for none.
	PauseObjective time.Duration
	// EventTimeout is how long callers wait for the next event of a stream, its first included,
	// before they leave; 0 if they don't.
	EventTimeout time.Duration
	// Targets are the services that may serve it, by weight.
	Targets []Target
	// MaxAttempts is the number of upstreams to which one request may be sent; at
	// least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Generates marks requests to model engines.
	Generates bool
	// Resumable streams may go on at another upstream behind the last event that
	// the caller has.
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

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target picks a service by the weights; u is uniform in [0, 1).
func (r *Route) Target(u float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := int(u * float64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Workspace is whom a request is for.
type Workspace struct {
	Name string
	// Regions are the only ones in which its requests may be served; empty for all.
	Regions []string
	// Priority takes precedence over that of routes; nil for none.
	Priority *int
}

// Service is a group of like upstreams.
type Service struct {
	Name string
	// ColdRate is the requests a second that a cold upstream bears; 0 for no limit.
	ColdRate float64
	// Connections is how many connections an upstream bears from all callers; 0 for no
	// limit.
	Connections int
	// Engine is set for model engines.
	Engine *Engine
	// Origin is set for the service that hands out weights. It is no target for
	// requests.
	Origin *Origin
	// Objective is the shortest one of the routes that generate here; 0 for none. Index sets it.
	Objective time.Duration
	// Prioritized tells whether requests of more than one priority may come, from MostUrgent to Least. Index
	// sets them.
	Prioritized bool
	Least       int

	// urgencies are those of the requests that may come, the most urgent first.
	urgencies []urgency
}

// Engine holds the figures of a service's model engines.
type Engine struct {
	// Slots is how many requests run in one batch.
	Slots int
	// Stride is how many steps a pass makes while requests write.
	Stride int
	// Chunk is how many prompt tokens a step reads at most.
	Chunk int
	// Step is how long a token step takes, and PerRequest and PerThousand what each
	// writing request and each thousand tokens of its context add.
	Step, PerRequest, PerThousand time.Duration
	// ReadPerSecond is how many prompt tokens are read a second.
	ReadPerSecond float64
	// PerMillionPairs is what a million pairs of a token and an earlier one add to
	// the reading.
	PerMillionPairs time.Duration
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt, UsualAnswer int
	// Models are those that the engines may hold.
	Models []string
	// Chunks is how many chunks make up a set of weights.
	Chunks int
	// Load is how long whole weights take to load.
	Load time.Duration
}

// Origin is where weights come from when no agent has them.
type Origin struct {
	Address       netip.AddrPort
	FailureDomain string
	// LinkRate is what its link carries, in bytes a second; 0 when unknown.
	LinkRate int64
}

// Limits bound what a caller may send; 0 for no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
}

// Table is one version of the route table. It isn't changed once it is in use.
type Table struct {
	// Version rises with each change, in uneven steps.
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	// Keys gives the workspace that holds an API key; nil when requests need none.
	Keys   map[string]*Workspace
	Limits Limits

	hosts map[string]*hostRoutes
}

// hostRoutes are a host's routes, the longest prefix first, and the first of each prefix.
type hostRoutes struct {
	ordered  []*Route
	prefixes map[string]*Route
}

// Index prepares the table for Match. It must be called once before use.
func (t *Table) Index() {
	t.hosts = map[string]*hostRoutes{}
	for _, r := range t.Routes {
		h := t.hosts[r.Host]
		if h == nil {
			h = &hostRoutes{prefixes: map[string]*Route{}}
			t.hosts[r.Host] = h
		}
		h.ordered = append(h.ordered, r)
		if h.prefixes[r.Prefix] == nil {
			h.prefixes[r.Prefix] = r
		}
		t.noteObjective(r)
	}
	for _, h := range t.hosts {
		slices.SortStableFunc(h.ordered, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.notePriorities()
}

// noteObjective brings down the objective of the services at which a route generates.
func (t *Table) noteObjective(r *Route) {
	if !r.Generates || r.Objective <= 0 {
		return
	}
	for _, target := range r.Targets {
		if s := t.Services[target.Service]; s != nil && (s.Objective == 0 || r.Objective < s.Objective) {
			s.Objective = r.Objective
		}
	}
}

// Match gives the route of the host with the longest prefix that begins the path;
// nil when there is none. The host may carry a port. It looks at the path's own prefixes, not
// at all routes: in a table with 20,000 of them it takes 0.1 µs and not 147
// (BenchmarkMatch).
func (t *Table) Match(host, path string) *Route {
	h := t.host(host)
	if h == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := h.prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Host lists a host's routes, the longest prefix first.
func (t *Table) Host(host string) []*Route {
	if h := t.host(host); h != nil {
		return h.ordered
	}
	return nil
}

func (t *Table) host(host string) *hostRoutes {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	return t.hosts[strings.ToLower(host)]
}

// Permits tells whether a region is among those allowed; an empty list allows all.
func Permits(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
