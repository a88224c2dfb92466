package auditor

import (
	"slices"
	"strings"
	"time"
)

// Bounds are the limits that the promises state; see platform/standin for the users' values.
type Bounds struct {
	// StableWindow is how long a process must have run undisturbed for bounds to apply.
	StableWindow time.Duration
	// Drain, Evacuate, ConfigApply and Weights are how long after the confirmation of a change the
	// previous state may still show.
	Drain, Evacuate, ConfigApply, Weights time.Duration
	// RollbackSlack is the time after which an entry that showed a table must not show an older one.
	RollbackSlack time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// LossSlack is how soon a connection may end if its close crossed an unread request.
	LossSlack time.Duration
	// RetryWindow, RetryRatio and RetrySlack bound arrivals beyond the first of each request.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// ColdFactor and ColdSlack bound the requests that reach a cold upstream in a second.
	ColdFactor, ColdSlack float64
}

// request is the recorded state of one request.
type request struct {
	Sent
	sentAt   time.Time
	arrivals []arrival
	runs     []run
	// failed counts the upstreams that failed at it in turn.
	failed int
	answer *Answered
	// unreadBy is the upstream that cut its unread reply off; empty for none.
	unreadBy string
	// answeredAt is when the caller received its answer or left.
	answeredAt time.Time
}

type arrival struct {
	upstream  string
	arrivedAt time.Time
}

// run is one execution of a request at an upstream.
type run struct {
	upstream  string
	startedAt time.Time
	broken    bool
	// failed is set if the upstream failed at the request by itself, with an error status or wrong events.
	failed bool
	// events is how many events were sent before it broke off.
	events int
	// flooded is set if its upstream sent endless bytes, and floodedAt is when they exceeded any valid
	// reply; zero if they have not.
	flooded   bool
	floodedAt time.Time
}

type upstream struct {
	Joined
	coldUntil time.Time
	// leftAt is when the store confirmed that it leaves; zero before that.
	leftAt time.Time
	// floodedAt is when its report was last endless; zero for never.
	floodedAt time.Time
	// recent are the arrivals of the last second while cold.
	recent []time.Time
}

type disturbance struct {
	from, to time.Time
	halted   bool
}

type confirmed[T any] struct {
	value       T
	confirmedAt time.Time
}

// entry is a process that answers callers.
type entry struct {
	startedAt, stoppingAt, hungUpAt, exitedAt time.Time
	// leavingStated is when it passed on an answer whose upstream stated that it leaves, and backoffs
	// holds the backoffs that upstreams asked for, both by upstream.
	leavingStated map[string]time.Time
	backoffs      map[string][]*backoff
	// shownVersion is the oldest table that is consistent with its answers, shownAt when that was
	// established.
	shownVersion uint64
	shownAt      time.Time
}

// backoff is a period in which an upstream asked an entry for no requests.
type backoff struct {
	asked, until time.Time
	// arrived counts requests that reached the upstream after those already in transit.
	arrived int
}

// history is the record against which all promises are checked.
type history struct {
	Bounds
	now          time.Time
	requests     map[string]*request
	upstreams    map[string]*upstream
	entries      map[string]*entry
	tables       []confirmed[Table]
	announced    []confirmed[uint64]
	drained      map[string]time.Time
	disturbances map[string][]disturbance
	fatal        map[string]*fatalPart
}

func newHistory(b Bounds) *history {
	return &history{
		Bounds: b, requests: map[string]*request{}, upstreams: map[string]*upstream{}, entries: map[string]*entry{},
		drained: map[string]time.Time{}, disturbances: map[string][]disturbance{}, fatal: map[string]*fatalPart{},
	}
}

func (h *history) entry(name string) *entry {
	if h.entries[name] == nil {
		h.entries[name] = &entry{}
	}
	return h.entries[name]
}

// record records an event. Answers are recorded before they are checked.
func (h *history) record(e Event) {
	switch e := e.(type) {
	case Sent:
		h.requests[e.ID] = &request{Sent: e, sentAt: h.now}
		h.recordFatal(e)
	case Crashed:
		h.recordFatal(e)
	case Answered:
		if r := h.requests[e.ID]; r != nil {
			r.answer, r.answeredAt = &e, h.now
			h.recordLeavingStated(r)
		}
	case Arrived:
		if r := h.requests[e.ID]; r != nil {
			r.arrivals = append(r.arrivals, arrival{e.Upstream, h.now})
		}
	case Rejected:
		h.recordBackoff(e)
	case RunStarted:
		if r := h.requests[e.ID]; r != nil {
			r.runs = append(r.runs, run{upstream: e.Upstream, startedAt: h.now})
		}
	case RunEnded:
		h.recordRunEnd(e)
	case Failed:
		h.recordFailure(e)
	case Flooded:
		h.recordFlood(e)
	case Unread:
		if r := h.requests[e.ID]; r != nil {
			r.unreadBy = e.Upstream
		}
	case Joined:
		h.upstreams[e.Upstream] = &upstream{Joined: e, coldUntil: h.now.Add(e.Cold)}
	case Leaving:
		if u := h.upstreams[e.Upstream]; u != nil && u.leftAt.IsZero() {
			u.leftAt = h.now
		}
	case Configured:
		h.tables = append(h.tables, confirmed[Table]{e.Table, h.now})
	case WeightsAnnounced:
		h.announced = append(h.announced, confirmed[uint64]{e.Version, h.now})
	case Drained:
		h.drained[e.FailureDomain] = h.now
	case Undrained:
		delete(h.drained, e.FailureDomain)
	case FaultStarted:
		h.disturbances[e.Who] = append(h.disturbances[e.Who], disturbance{from: h.now, halted: e.Halted})
	case FaultEnded:
		h.endDisturbance(e.Who)
	default:
		h.recordProcess(e)
	}
}

// recordLeavingStated records that an entry passed on an upstream's statement that it leaves.
func (h *history) recordLeavingStated(r *request) {
	e := h.entry(r.Entry)
	if !r.answer.Leaving || r.answer.Upstream == "" {
		return
	}
	if _, ok := e.leavingStated[r.answer.Upstream]; !ok {
		if e.leavingStated == nil {
			e.leavingStated = map[string]time.Time{}
		}
		e.leavingStated[r.answer.Upstream] = h.now
	}
}

// recordBackoff records the backoff that an upstream asked of an entry. An entry whose caller has left
// reads no answer.
func (h *history) recordBackoff(t Rejected) {
	r := h.requests[t.ID]
	if r == nil || r.answer != nil {
		return
	}
	e := h.entry(r.Entry)
	if e.backoffs == nil {
		e.backoffs = map[string][]*backoff{}
	}
	e.backoffs[t.Upstream] = append(e.backoffs[t.Upstream], &backoff{asked: h.now, until: h.now.Add(t.Rest)})
}

// recordProcess records events in the life of processes.
func (h *history) recordProcess(e Event) {
	switch e := e.(type) {
	case Started:
		*h.entry(e.Entry) = entry{startedAt: h.now}
		h.recordInstant(e.Entry)
	case Stopping:
		h.entry(e.Entry).stoppingAt = h.now
	case ReloadRequested:
		h.entry(e.Entry).hungUpAt = h.now
	case Exited:
		h.entry(e.Who).exitedAt = h.now
	}
}

func (h *history) recordFailure(e Failed) {
	r := h.requests[e.ID]
	if r == nil {
		return
	}
	r.failed++
	for i := range r.runs {
		r.runs[i].failed = r.runs[i].failed || r.runs[i].upstream == e.Upstream
	}
}

func (h *history) recordRunEnd(e RunEnded) {
	r := h.requests[e.ID]
	if r == nil {
		return
	}
	for i := range r.runs {
		if r.runs[i].upstream == e.Upstream {
			r.runs[i].broken = r.runs[i].broken || e.Broken
			r.runs[i].events = max(r.runs[i].events, e.Events)
		}
	}
}

// recordInstant records a disturbance without duration.
func (h *history) recordInstant(process string) {
	h.disturbances[process] = append(h.disturbances[process], disturbance{from: h.now, to: h.now})
}

func (h *history) endDisturbance(process string) {
	spans := h.disturbances[process]
	for i := range spans {
		if spans[i].to.IsZero() {
			spans[i].to = h.now
			return
		}
	}
}

// undisturbed reports whether nothing disturbed a process in an interval.
func (h *history) undisturbed(process string, from, to time.Time) bool {
	for _, s := range h.disturbances[process] {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return false
		}
	}
	return true
}

// halted reports whether a process did not run at some time in an interval.
func (h *history) halted(process string, from, to time.Time) bool {
	return slices.ContainsFunc(h.disturbances[process], func(s disturbance) bool {
		return s.halted && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
	})
}

// undisturbedSince returns since when a process is undisturbed at a time; that time itself if it is
// disturbed.
func (h *history) undisturbedSince(process string, at time.Time) time.Time {
	var since time.Time
	for _, s := range h.disturbances[process] {
		if s.from.After(at) {
			continue
		}
		if s.to.IsZero() || s.to.After(at) {
			return at
		}
		if s.to.After(since) {
			since = s.to
		}
	}
	return since
}

// boundsApply reports whether the bounds apply to an entry: it and the store were undisturbed for the
// whole stable window.
func (h *history) boundsApply(name string, at time.Time) bool {
	from := at.Add(-h.StableWindow)
	e := h.entry(name)
	stopped := !e.stoppingAt.IsZero() && !e.stoppingAt.After(at)
	return !stopped && h.undisturbed(name, from, at) && h.undisturbed(Core, from, at)
}

// bindingSince returns when a confirmation becomes binding: one that was given while the store was
// disturbed binds once the disturbance has ended.
func (h *history) bindingSince(at time.Time) time.Time {
	if since := h.undisturbedSince(Core, h.now); since.After(at) && !h.undisturbed(Core, at.Add(-h.StableWindow), at) {
		return since
	}
	return at
}

// match finds the route of a path in a table; nil for none.
func (t *Table) match(path string) *Route {
	var longest *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.HasPrefix(path, r.Prefix) && (longest == nil || len(r.Prefix) > len(longest.Prefix)) {
			longest = r
		}
	}
	return longest
}

// allows reports whether a table lets a request run at a service; an empty service stands for any.
func (t *Table) allows(r *request, service string) bool {
	route := t.match(r.Path)
	if route == nil || service != "" && route.Service != service {
		return false
	}
	_, known := t.Keys[r.Key]
	return route.Public || known
}

// tablesInForce lists the tables that an entry with a current confirmation may follow for a request sent at
// a time: the newest one that is older than the bound, and all after it.
func (h *history) tablesInForce(sent time.Time) []Table {
	first := 0
	for i, t := range h.tables {
		if h.bindingSince(t.confirmedAt).Add(h.ConfigApply).Before(sent) {
			first = i
		}
	}
	return h.tablesFrom(first)
}

func (h *history) tablesFrom(first int) []Table {
	var ts []Table
	for _, t := range h.tables[min(first, len(h.tables)):] {
		ts = append(ts, t.value)
	}
	return ts
}

// route returns a request's route in the newest table that has one.
func (h *history) route(r *request) *Route {
	for i := len(h.tables) - 1; i >= 0; i-- {
		if route := h.tables[i].value.match(r.Path); route != nil {
			return route
		}
	}
	return nil
}
