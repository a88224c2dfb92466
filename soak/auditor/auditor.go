package auditor

import (
	"fmt"
	"io"
	"sync"

	"k8s.io/utils/clock"
)

// Promise is a checked guarantee of the system.
type Promise string

// The promises.
const (
	Once          Promise = "non-idempotent requests run at most once"
	Refusal       Promise = "a refusal is true"
	Whole         Promise = "answers are whole and the request's own"
	Cut           Promise = "no reply that broke off passes for a whole one"
	Unchanged     Promise = "upstreams get only what callers sent"
	Stream        Promise = "streams have no gap, no repeat and one version"
	FailedTwice   Promise = "a stream that fails twice is complete or visibly cut"
	Weights       Promise = "no reply from spoilt weights"
	Version       Promise = "no reply begins on old weights after the bound"
	Drain         Promise = "a leaving upstream gets nothing after the bound"
	LeavingStated Promise = "an upstream that stated its leaving gets nothing more"
	Backoff       Promise = "an upstream at rest gets two requests at most"
	Evacuation    Promise = "a drained failure domain gets nothing after the bound"
	Cold          Promise = "a cold upstream gets no more than it bears"
	Fatal         Promise = "requests with a part that crashes upstreams are refused"
	Sound         Promise = "sound requests beside such a part are served"
	Budget        Promise = "repeats stay within the budget"
	Attempts      Promise = "a request runs at no more upstreams than its route allows"
	Home          Promise = "requests stay in their regions"
	Keys          Promise = "keys lead to their workspace and stay inside"
	Config        Promise = "a route table is in force after the bound"
	Regress       Promise = "an entry never goes back to an older table"
	Denial        Promise = "what every table allows is not denied"
	Graceful      Promise = "stop and reload cut no request"
	Kept          Promise = "kept connections don't lose requests"
	Replied       Promise = "a request that was read gets its complete answer"
	Flood         Promise = "a reply without end doesn't hold its request"
	Directory     Promise = "the directory names no entry long gone"
	Deadline      Promise = "upstreams get no more time than is left"
	Gone          Promise = "nothing is sent for callers that left"
	Abandoned     Promise = "no work goes on for callers that left"
	Reload        Promise = "settings are read again when asked"
	UnreadOnce    Promise = "a reply that its caller doesn't read isn't started elsewhere"
	Priority      Promise = "requests reach upstreams in the operators' order of priorities"
	Memory        Promise = "processes keep to the memory of their VM"
	Exit          Promise = "no process ends by itself"
	Recovery      Promise = "requests are served once the faults are over"
)

// Promises lists all promises in the order of the report.
var Promises = []Promise{
	Once, Refusal, Whole, Cut, Unchanged, Stream, FailedTwice, Weights, Version, Drain, LeavingStated, Backoff, Evacuation, Cold, Fatal, Sound, Budget, Attempts, Home, Keys,
	Config, Regress, Denial, Graceful, Kept, Replied, Flood, Directory, Deadline, Gone, Abandoned, Reload, UnreadOnce, Priority, Memory, Exit, Recovery,
}

// Violation describes one violation of a promise.
type Violation struct {
	Promise Promise
	// Request is the ID of the request concerned; empty for none.
	Request string
	What    string
}

func (b *Violation) Error() string {
	return fmt.Sprintf("%s: request %s: %s", b.Promise, b.Request, b.What)
}

// Auditor checks events as they occur. Set the exported fields before use. It is safe for concurrent
// use.
type Auditor struct {
	Bounds Bounds
	Clock  clock.PassiveClock
	// OnBroken is called for each broken promise; it must not call the auditor.
	OnBroken func(*Violation)

	mu      sync.Mutex
	history *history
	budget  budget
	tolerated
	checked    map[Promise]int
	violations map[Promise][]*Violation
	// priorities are the priorities with which requests of each urgency reached each service, under
	// the table of version prioritiesVersion.
	priorities        map[string]map[urgency]string
	prioritiesVersion uint64
}

// tolerated counts incidents that break a promise only when there are too many.
type tolerated struct {
	lost, longerLimits, staleListings, denied, departed int
	// abandoned counts runs whose callers left long before the run's end, and overrun those that continued
	// anyway.
	abandoned, overrun int
}

// Observe records an event and checks the promises that it affects.
func (a *Auditor) Observe(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.history.now = a.Clock.Now()
	a.history.record(e)
	switch e := e.(type) {
	case Sent:
		a.budget.addRequest(a.history, a.history.requests[e.ID])
	case Answered:
		a.checkAnswer(e)
	case Arrived:
		a.checkArrival(e)
	case RunStarted:
		a.checkRun(e)
	case RunEnded:
		a.checkRunEnd(e)
	case Unread:
		a.checked[UnreadOnce]++
	case Reloaded:
		a.checkReload(e)
	case DirectoryAnswered:
		a.checkDirectory(e)
	case Measured:
		a.check(Memory, "", e.Taken <= e.Allowed, "%s took %d kB of %d kB", e.Who, e.Taken/1000, e.Allowed/1000)
	case Exited:
		a.check(Exit, "", !e.Alone, "%s ended by itself", e.Who)
	}
}

func (a *Auditor) init() {
	if a.history == nil {
		a.history = newHistory(a.Bounds)
		a.checked, a.violations = map[Promise]int{}, map[Promise][]*Violation{}
	}
}

// check counts one check of a promise and records a violation unless kept is set.
func (a *Auditor) check(p Promise, request string, kept bool, format string, args ...any) {
	a.checked[p]++
	if kept {
		return
	}
	b := &Violation{Promise: p, Request: request, What: fmt.Sprintf(format, args...)}
	a.violations[p] = append(a.violations[p], b)
	if a.OnBroken != nil {
		a.OnBroken(b)
	}
}

// Checked returns how often a promise was checked.
func (a *Auditor) Checked(p Promise) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.checked[p]
}

// Failed returns how often a promise was broken.
func (a *Auditor) Failed(p Promise) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.violations[p])
}

// Report writes a line for each promise and reports whether all were kept.
func (a *Auditor) Report(w io.Writer) bool {
	kept := true
	for _, p := range Promises {
		failed := a.Failed(p)
		kept = kept && failed == 0
		note := ""
		if a.Checked(p) == 0 {
			note = "  (unchecked)"
		}
		fmt.Fprintf(w, "%-58s checked %6d, broken %d%s\n", p, a.Checked(p), failed, note)
	}
	return kept
}
