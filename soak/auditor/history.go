package auditor

import (
	"slices"
	"strings"
	"time"
)

// Bounds are the figures of the promises; see platform/standin for the users'.
type Bounds struct {
	// StableWindow is how long a process must have run undisturbed for bounds to hold.
	StableWindow time.Duration
	// Drain, Evacuate, ConfigApply and Weights are how long after the confirmation of a
	// change the state before it may still show.
	Drain, Evacuate, ConfigApply, Weights time.Duration
	// RollbackSlack is after what time an entry that showed a table shows no older one.
	RollbackSlack time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// LossSlack is how soon a connection may end on which an unread request crossed its
	// closing.
	LossSlack time.Duration
	// RetryWindow, RetryRatio and RetrySlack bound arrivals beyond the first of each
	// request.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// ColdFactor and ColdSlack bound what reaches a cold upstream in a second.
	ColdFactor, ColdSlack float64
}

// request is all that is known of one request.
type request struct {
	Sent
	at       time.Time
	arrivals []arrival
	runs     []run
	// failed counts the upstreams that failed at it in turn.
	failed int
	answer *Answered
	// unreadBy is the upstream that cut its reply off unread; empty for none.
	unreadBy string
	// answeredAt is when the caller had its answer or left.
	answeredAt time.Time
}

type arrival struct {
	upstream string
	at       time.Time
}

// run is one beginning of work on a request.
type run struct {
	upstream string
	at       time.Time
	broken   bool
	// events were sent before it broke off.
	events int
	// flooded tells that its upstream sent bytes without end, and floodedAt is since when no sound reply is as long;
	// zero for not yet.
	flooded   bool
	floodedAt time.Time
}

type upstream struct {
	Joined
	coldUntil time.Time
	// leftAt is when the store confirmed that it leaves; zero before that.
	leftAt time.Time
	// floodedAt is when its report last had no end; zero for never.
	floodedAt time.Time
	// recent are the arrivals of the last second while cold.
	recent []time.Time
}

type span struct {
	from, to time.Time
	halted   bool
}

type confirmed[T any] struct {
	what T
	at   time.Time
}

// entry is a process that answers callers.
type entry struct {
	startedAt, stoppingAt, hungUpAt, exitedAt time.Time
	// leavingStated is when it handed on an answer whose upstream stated that it leaves, and rests what
	// upstreams asked of it, by upstream.
	leavingStated map[string]time.Time
	rests         map[string][]*rest
	// shown is the least table that its answers prove it to have had, shownAt since when.
	shown   uint64
	shownAt time.Time
}

// rest is the time in which an upstream wants nothing from an entry.
type rest struct {
	asked, until time.Time
	// arrived counts what reached the upstream after what was on its way.
	arrived int
}

// history is what all promises are judged by.
type history struct {
	Bounds
	now       time.Time
	requests  map[string]*request
	upstreams map[string]*upstream
	entries   map[string]*entry
	tables    []confirmed[Table]
	named     []confirmed[uint64]
	drained   map[string]time.Time
	spans     map[string][]span
	fatal     map[string]*fatal
}

func newHistory(b Bounds) *history {
	return &history{
		Bounds: b, requests: map[string]*request{}, upstreams: map[string]*upstream{}, entries: map[string]*entry{},
		drained: map[string]time.Time{}, spans: map[string][]span{}, fatal: map[string]*fatal{},
	}
}

func (h *history) entry(name string) *entry {
	if h.entries[name] == nil {
		h.entries[name] = &entry{}
	}
	return h.entries[name]
}

// note keeps an event. Answers are kept before they are judged.
func (h *history) note(e Event) {
	switch e := e.(type) {
	case Sent:
		h.requests[e.ID] = &request{Sent: e, at: h.now}
		h.noteFatal(e)
	case Crashed:
		h.noteFatal(e)
	case Answered:
		if r := h.requests[e.ID]; r != nil {
			r.answer, r.answeredAt = &e, h.now
			h.noteLeaving(r)
		}
	case Arrived:
		if r := h.requests[e.ID]; r != nil {
			r.arrivals = append(r.arrivals, arrival{e.Upstream, h.now})
		}
	case Rejected:
		h.noteRest(e)
	case Began:
		if r := h.requests[e.ID]; r != nil {
			r.runs = append(r.runs, run{upstream: e.Upstream, at: h.now})
		}
	case Ended:
		h.noteEnd(e)
	case Failed:
		if r := h.requests[e.ID]; r != nil {
			r.failed++
		}
	case Flooded:
		h.noteFlood(e)
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
	case Named:
		h.named = append(h.named, confirmed[uint64]{e.Version, h.now})
	case Drained:
		h.drained[e.FailureDomain] = h.now
	case Returned:
		delete(h.drained, e.FailureDomain)
	case Disturbed:
		h.spans[e.Who] = append(h.spans[e.Who], span{from: h.now, halted: e.Halted})
	case Calmed:
		h.calm(e.Who)
	default:
		h.noteProcess(e)
	}
}

// noteLeaving keeps that an entry handed on what an upstream stated of its leaving.
func (h *history) noteLeaving(r *request) {
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

// noteRest keeps what an upstream asked of an entry. An entry whose caller has left reads no answer.
func (h *history) noteRest(t Rejected) {
	r := h.requests[t.ID]
	if r == nil || r.answer != nil {
		return
	}
	e := h.entry(r.Entry)
	if e.rests == nil {
		e.rests = map[string][]*rest{}
	}
	e.rests[t.Upstream] = append(e.rests[t.Upstream], &rest{asked: h.now, until: h.now.Add(t.Rest)})
}

// noteProcess keeps what happens to processes.
func (h *history) noteProcess(e Event) {
	switch e := e.(type) {
	case Started:
		*h.entry(e.Entry) = entry{startedAt: h.now}
		h.instant(e.Entry)
	case Stopping:
		h.entry(e.Entry).stoppingAt = h.now
	case HungUp:
		h.entry(e.Entry).hungUpAt = h.now
	case Exited:
		h.entry(e.Who).exitedAt = h.now
	}
}

func (h *history) noteEnd(e Ended) {
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

// instant keeps a disturbance without length.
func (h *history) instant(who string) {
	h.spans[who] = append(h.spans[who], span{from: h.now, to: h.now})
}

func (h *history) calm(who string) {
	spans := h.spans[who]
	for i := range spans {
		if spans[i].to.IsZero() {
			spans[i].to = h.now
			return
		}
	}
}

// undisturbed tells whether nothing disturbed someone from a moment until another.
func (h *history) undisturbed(who string, from, to time.Time) bool {
	for _, s := range h.spans[who] {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return false
		}
	}
	return true
}

// halted tells whether someone's process didn't run at some time from a moment until another.
func (h *history) halted(who string, from, to time.Time) bool {
	return slices.ContainsFunc(h.spans[who], func(s span) bool {
		return s.halted && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
	})
}

// calmSince is since when someone is undisturbed at a moment; that moment for one who
// isn't.
func (h *history) calmSince(who string, at time.Time) time.Time {
	var since time.Time
	for _, s := range h.spans[who] {
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

// inTouch tells whether the bounds hold for an entry: it and the store were undisturbed
// for the whole stable window.
func (h *history) inTouch(name string, at time.Time) bool {
	from := at.Add(-h.StableWindow)
	e := h.entry(name)
	stopped := !e.stoppingAt.IsZero() && !e.stoppingAt.After(at)
	return !stopped && h.undisturbed(name, from, at) && h.undisturbed(Core, from, at)
}

// binding is from when on a confirmation binds: one that was given while the store was
// disturbed does so once that is over.
func (h *history) binding(at time.Time) time.Time {
	if since := h.calmSince(Core, h.now); since.After(at) && !h.undisturbed(Core, at.Add(-h.StableWindow), at) {
		return since
	}
	return at
}

// match finds a path's route in a table; nil for none.
func (t *Table) match(path string) *Route {
	var best *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// allows tells whether a table lets a request run at a service; an empty one stands for
// any.
func (t *Table) allows(r *request, service string) bool {
	route := t.match(r.Path)
	if route == nil || service != "" && route.Service != service {
		return false
	}
	_, known := t.Keys[r.Key]
	return route.Public || known
}

// inForce lists the tables that an entry in touch may follow for what was sent at a
// moment: the newest that is older than the bound, and all after it.
func (h *history) inForce(sent time.Time) []Table {
	first := 0
	for i, t := range h.tables {
		if h.binding(t.at).Add(h.ConfigApply).Before(sent) {
			first = i
		}
	}
	return h.tablesFrom(first)
}

func (h *history) tablesFrom(first int) []Table {
	var ts []Table
	for _, t := range h.tables[min(first, len(h.tables)):] {
		ts = append(ts, t.what)
	}
	return ts
}

// route is a request's route in the newest table that has one.
func (h *history) route(r *request) *Route {
	for i := len(h.tables) - 1; i >= 0; i-- {
		if route := h.tables[i].what.match(r.Path); route != nil {
			return route
		}
	}
	return nil
}
