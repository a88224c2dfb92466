package registrar

import (
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// Fact is the decoded content of a store record.
type Fact interface{ fact() }

// Upstream is the record that an upstream writes about itself.
type Upstream struct {
	// ID identifies one start of the upstream.
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams are draining and take no new requests.
	Leaving bool
	// Cold is how long the upstream stays cold after it wrote this record.
	Cold time.Duration
	// Models are the models that an engine holds.
	Models []HeldModel
	// StartedAt is the start time by the upstream's own clock; zero if it isn't stated.
	StartedAt time.Time
}

// HeldModel is the version of a model's weights in an engine.
type HeldModel struct {
	Name    string
	Version uint64
}

// Table is the operators' route table.
type Table struct{ *matcher.Table }

// Drained marks a failure domain whose upstreams get no requests.
type Drained struct{ FailureDomain string }

// Weights is the version of a model that engines are to hold.
type Weights struct {
	Model   string
	Version uint64
}

// Member is the record that an entry writes about itself.
type Member struct {
	ID string `json:"id"`
	// Incarnation changes with every start.
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Callers is the address for callers, Peers that for other processes of the deployment.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
}

// Blame is the last stored result for a part of prompts.
type Blame struct{ localizer.Blame }

func (Upstream) fact() {}
func (Table) fact()    {}
func (Drained) fact()  {}
func (Weights) fact()  {}
func (Member) fact()   {}
func (Blame) fact()    {}
