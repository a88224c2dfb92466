package registrar

import (
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// Fact is what a record of the store says, in the product's own types.
type Fact interface{ fact() }

// Upstream is an upstream's own account of itself.
type Upstream struct {
	// ID names one start of the upstream.
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving upstreams take no new requests.
	Leaving bool
	// Cold is how long it stayed cold from when it wrote this.
	Cold time.Duration
	// Models are what an engine holds.
	Models []HeldModel
	// StartedAt is when it started, by its own clock; zero when it doesn't state that.
	StartedAt time.Time
}

// HeldModel is a model's weights in an engine.
type HeldModel struct {
	Name    string
	Version uint64
}

// Table is the operators' route table.
type Table struct{ *matcher.Table }

// Drained names a failure domain whose upstreams are to get nothing.
type Drained struct{ FailureDomain string }

// Weights names the version of a model that engines are to hold.
type Weights struct {
	Model   string
	Version uint64
}

// Member is an entry's account of itself.
type Member struct {
	ID string `json:"id"`
	// Incarnation is new with every start.
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Callers is where callers connect, Peers where our own processes do.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
}

// Blame is the verdict on a part of prompts, as it was last kept in the store.
type Blame struct{ localizer.Blame }

func (Upstream) fact() {}
func (Table) fact()    {}
func (Drained) fact()  {}
func (Weights) fact()  {}
func (Member) fact()   {}
func (Blame) fact()    {}
