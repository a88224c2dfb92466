// Package auditor checks the promises of a deployment from outside: it is told what
// callers sent and got, what upstreams saw, what the operators had confirmed and who
// was disturbed when, and says which promise was broken by what.
package auditor

import "time"

// Event is something that was seen.
type Event interface{ event() }

// Core names the store among those that can be disturbed.
const Core = "store"

// Sent is a request that a caller is about to send to an entry.
type Sent struct {
	ID, Entry string
	// Path is the request's, Key the caller's.
	Path, Key string
	// Content is a digest of what has to reach upstreams unchanged.
	Content string
	// Limit is how long the caller waits.
	Limit time.Duration
	// Events is how many events the whole stream has; 0 for a plain request. After is the
	// number of the last one that the caller has already.
	Events, After int
	// Lasts is how long an upstream that does all of it works at least.
	Lasts time.Duration
	// Kept tells that the connection was used before.
	Kept bool
	// Parts are those that the prompt shares with others, and Fatal is the one of them that crashes
	// upstreams; empty for none.
	Parts []string
	Fatal string
}

// Answered is the end of a request as its caller sees it.
type Answered struct {
	ID string
	// Status is 0 when no header came.
	Status int
	// Names is the request that the answer names.
	Names string
	// Upstream sealed the answer; empty for none.
	Upstream string
	// Forged tells of a seal that fits neither the request nor the status.
	Forged bool
	// Leaving tells that the upstream stated that it leaves.
	Leaving bool
	// Whole tells that the answer's marked end came, WrongBody that what came as a whole
	// isn't what the upstream made.
	Whole, WrongBody bool
	Parts            []Part
	// Expired tells that the caller's limit was over, or that it left.
	Expired bool
}

// Part is an event of a stream.
type Part struct {
	Number  int
	Version uint64
	// Foreign tells that it belongs to another request.
	Foreign bool
}

// Arrived is a request that reached the upstream that it was meant for.
type Arrived struct {
	ID, Upstream, Content string
	// Workspace is whom the system says it is from. Key is the caller's own, which has to
	// stay with the system.
	Workspace, Key string
	Left           time.Duration
	// Priority is the request's; empty for none.
	Priority string
}

// Rejected is a request that an upstream refused, asking the entry for rest.
type Rejected struct {
	ID, Upstream string
	Rest         time.Duration
}

// Began is the moment at which a request begins to run.
type Began struct {
	ID, Upstream string
	// Version is that of the weights, 0 for a plain service; Spoilt tells that they were
	// loaded from wrong bytes.
	Version uint64
	Spoilt  bool
}

// Ended is the end of a run; Broken tells that the upstream broke it off.
type Ended struct {
	ID, Upstream string
	Broken       bool
	// Events is how many events it had sent when it broke off.
	Events int
}

// Failed is a request at which an upstream fails as one of two in turn.
type Failed struct{ ID, Upstream string }

// Flooded is a request that an upstream begins to answer with bytes without end. Without an ID it asked for the
// upstream's report.
type Flooded struct {
	ID, Upstream string
	// Long tells that more bytes have been sent by now than any sound reply has.
	Long bool
}

// Unread is a request whose reply its upstream has cut off as nobody read it.
type Unread struct{ ID, Upstream string }

// Measured is the most memory that a process has taken so far, of what it may, in bytes.
type Measured struct {
	Who            string
	Taken, Allowed int64
}

// Crashed is the end of an upstream under a request with a part that crashes it.
type Crashed struct{ Upstream, Part string }

// Joined is an upstream that begins to serve.
type Joined struct {
	Upstream, Service, FailureDomain, Region string
	Cold                                     time.Duration
	ColdRate                                 float64
}

// Leaving is the store's word that an upstream leaves or is gone.
type Leaving struct{ Upstream string }

// Configured is the confirmation of a route table.
type Configured struct{ Table Table }

// Table is a version of the route table.
type Table struct {
	Version uint64
	Routes  []Route
	// Keys gives the workspace of each key.
	Keys map[string]Workspace
}

// Route is a row of the route table.
type Route struct {
	Prefix, Service string
	// Once tells that a request may run once at most.
	Once     bool
	Public   bool
	Attempts int
	Regions  []string
	Priority string
}

// Workspace is a holder of keys.
type Workspace struct {
	Name    string
	Regions []string
	// Priority goes before that of routes; empty for none.
	Priority string
}

// Named is the confirmation of a version of the weights.
type Named struct{ Version uint64 }

// Drained is the confirmation that a failure domain is to get nothing.
type Drained struct{ FailureDomain string }

// Returned is a failure domain taken back.
type Returned struct{ FailureDomain string }

// Disturbed is the beginning of a fault at the store, an entry or an upstream.
type Disturbed struct {
	Who string
	// Halted tells that its process doesn't run.
	Halted bool
}

// Calmed is the end of a fault.
type Calmed struct{ Who string }

// Started is a process that runs from now on, Stopping one that was asked to end.
type Started struct{ Entry string }

// Stopping is a process that was asked to end.
type Stopping struct{ Entry string }

// HungUp is an entry that was asked to read its settings again.
type HungUp struct{ Entry string }

// Reread is what a process did with settings that it was asked to read again.
type Reread struct {
	Who string
	// Faulty tells that it kept its old ones, Changed that the new ones differ from those on
	// which it started, Lost that it said nothing in time.
	Faulty, Changed, Lost bool
}

// Reloaded compares what a process said of its settings with what had to come of them.
type Reloaded struct{ Wanted, Said Reread }

// Exited is the end of a process. Alone tells that nobody had asked for it.
type Exited struct {
	Who   string
	Alone bool
}

// Directed is an answer of an entry's directory.
type Directed struct {
	Entry string
	Names []string
}

func (Sent) event()       {}
func (Answered) event()   {}
func (Arrived) event()    {}
func (Rejected) event()   {}
func (Began) event()      {}
func (Ended) event()      {}
func (Failed) event()     {}
func (Flooded) event()    {}
func (Measured) event()   {}
func (Crashed) event()    {}
func (Joined) event()     {}
func (Leaving) event()    {}
func (Configured) event() {}
func (Named) event()      {}
func (Drained) event()    {}
func (Returned) event()   {}
func (Disturbed) event()  {}
func (Calmed) event()     {}
func (Started) event()    {}
func (Stopping) event()   {}
func (HungUp) event()     {}
func (Unread) event()     {}
func (Reloaded) event()   {}
func (Exited) event()     {}
func (Directed) event()   {}
