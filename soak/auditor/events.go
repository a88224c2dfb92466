// Package auditor checks the promises of a deployment from outside. It receives events about what
// callers sent and received, what upstreams saw, what the operators had confirmed and which processes
// were disturbed when, and reports broken promises with their cause.
package auditor

import "time"

// Event is an observation that the auditor checks.
type Event interface{ event() }

// Core identifies the store among the processes that can be disturbed.
const Core = "store"

// Sent is a request that a caller is about to send to an entry.
type Sent struct {
	ID, Entry string
	// Path is the path of the request, Key the caller's key.
	Path, Key string
	// Content is a digest of everything that must reach upstreams unchanged.
	Content string
	// Limit is how long the caller waits.
	Limit time.Duration
	// Events is how many events the complete stream has; 0 for a plain request. After is the number of
	// the last event that the caller already has.
	Events, After int
	// Lasts is the minimum time that an upstream needs for the complete request.
	Lasts time.Duration
	// Kept is set if the connection was used before.
	Kept bool
	// Parts are the parts of the prompt that other prompts share, and Fatal the one that crashes
	// upstreams; empty for none.
	Parts []string
	Fatal string
}

// Answered is the end of a request as seen by its caller.
type Answered struct {
	ID string
	// Status is 0 when no header arrived.
	Status int
	// Names is the request ID that the answer carries.
	Names string
	// Upstream is the upstream that sealed the answer; empty for none.
	Upstream string
	// Forged is set if the seal matches neither the request nor the status.
	Forged bool
	// Leaving is set if the upstream stated that it leaves.
	Leaving bool
	// Whole is set if the marked end of the answer arrived, WrongBody if a complete body differs from
	// the one that the upstream produced.
	Whole, WrongBody bool
	Parts            []Part
	// Expired is set if the caller's limit passed or the caller left.
	Expired bool
}

// Part is an event of a stream.
type Part struct {
	Number  int
	Version uint64
	// Foreign is set if the event belongs to another request.
	Foreign bool
}

// Arrived is a request that reached the upstream it was sent to.
type Arrived struct {
	ID, Upstream, Content string
	// Workspace is the workspace that the system states. Key is the caller's key, which the system
	// must not pass on.
	Workspace, Key string
	Left           time.Duration
	// Priority takes precedence over that of routes; empty for none.
	Priority string
}

// Rejected is a request that an upstream refused, asking the entry to back off.
type Rejected struct {
	ID, Upstream string
	Rest         time.Duration
}

// RunStarted is the start of a run of a request.
type RunStarted struct {
	ID, Upstream string
	// Version is the version of the weights, 0 for a plain service. Spoilt is set if they were loaded
	// from wrong bytes.
	Version uint64
	Spoilt  bool
}

// RunEnded is the end of a run; Broken is set if the upstream broke it off.
type RunEnded struct {
	ID, Upstream string
	Broken       bool
	// Events is how many events the upstream had sent when it broke off.
	Events int
}

// Failed is a request at which one of two upstreams fails in turn.
type Failed struct{ ID, Upstream string }

// Flooded is a request that an upstream starts to answer with endless bytes. Without an ID, the
// request was for the upstream's report.
type Flooded struct {
	ID, Upstream string
	// Long is set once more bytes were sent than any valid reply has.
	Long bool
}

// Unread is a request whose reply the upstream cut off because nobody read it.
type Unread struct{ ID, Upstream string }

// Measured is the peak memory that a process has used so far and its limit, in bytes.
type Measured struct {
	Who            string
	Taken, Allowed int64
}

// Crashed is the crash of an upstream while running a request with a fatal part.
type Crashed struct{ Upstream, Part string }

// Joined is an upstream that starts to serve.
type Joined struct {
	Upstream, Service, FailureDomain, Region string
	Cold                                     time.Duration
	ColdRate                                 float64
}

// Leaving is the store's confirmation that an upstream leaves or is gone.
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
	// Once is set if a request may run at most once.
	Once     bool
	Public   bool
	Attempts int
	Regions  []string
	Priority string
}

// Workspace is a workspace to which keys belong.
type Workspace struct {
	Name    string
	Regions []string
	// Priority goes before that of routes; empty for none.
	Priority string
}

// WeightsAnnounced is the confirmation of an announced version of the weights.
type WeightsAnnounced struct{ Version uint64 }

// Drained is the confirmation that a failure domain must get no requests.
type Drained struct{ FailureDomain string }

// Undrained is the end of a failure domain's draining.
type Undrained struct{ FailureDomain string }

// FaultStarted is the start of a fault at the store, an entry or an upstream.
type FaultStarted struct {
	Who string
	// Halted is set if the process does not run.
	Halted bool
}

// FaultEnded is the end of a fault.
type FaultEnded struct{ Who string }

// Started is the start of a process.
type Started struct{ Entry string }

// Stopping is a process that was asked to stop.
type Stopping struct{ Entry string }

// ReloadRequested is an entry that was asked to reload its settings.
type ReloadRequested struct{ Entry string }

// ReloadResult is the result of a process reloading its settings.
type ReloadResult struct {
	Who string
	// Faulty is set if it kept its old settings, Changed if the new ones differ from those at its
	// start, Lost if it logged no result in time.
	Faulty, Changed, Lost bool
}

// Reloaded compares the reload result that a process logged with the expected one.
type Reloaded struct{ Wanted, Said ReloadResult }

// Exited is the end of a process. Alone is set if nobody requested it.
type Exited struct {
	Who   string
	Alone bool
}

// DirectoryAnswered is an answer of an entry's directory.
type DirectoryAnswered struct {
	Entry string
	Names []string
}

func (Sent) event()              {}
func (Answered) event()          {}
func (Arrived) event()           {}
func (Rejected) event()          {}
func (RunStarted) event()        {}
func (RunEnded) event()          {}
func (Failed) event()            {}
func (Flooded) event()           {}
func (Measured) event()          {}
func (Crashed) event()           {}
func (Joined) event()            {}
func (Leaving) event()           {}
func (Configured) event()        {}
func (WeightsAnnounced) event()  {}
func (Drained) event()           {}
func (Undrained) event()         {}
func (FaultStarted) event()      {}
func (FaultEnded) event()        {}
func (Started) event()           {}
func (Stopping) event()          {}
func (ReloadRequested) event()   {}
func (Unread) event()            {}
func (Reloaded) event()          {}
func (Exited) event()            {}
func (DirectoryAnswered) event() {}
