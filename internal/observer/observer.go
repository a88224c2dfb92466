package observer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

const (
	// minLimit is the lowest rate limit, in requests a second over all entries, that is applied. An
	// upstream that gets no request can't state that its limit has ended.
	minLimit = 0.1
	// retention is how long the statements of an unused upstream are kept.
	retention = time.Minute
	// uncertainLeavingFor is how long a statement of leaving holds that may be the upstream's former
	// start's.
	uncertainLeavingFor = 10 * time.Second
	// invalidLogInterval is the least time between two log lines on an upstream's invalid statements, whose
	// values may differ from reply to reply.
	invalidLogInterval = 10 * time.Second
)

// Start identifies one start of an upstream.
type Start struct {
	ID string
	// At is when it started, by its own clock; zero when unknown.
	At time.Time
}

// Limit is a rate limit stated by an upstream.
type Limit struct {
	// Rate is in requests a second from all entries together; 0 for none.
	Rate float64
	// Age is how long ago it was stated.
	Age time.Duration
}

// Terms are the restrictions that an upstream puts on requests to it.
type Terms struct {
	// Leaving upstreams get no more requests.
	Leaving bool
	// Rest is the rest of the upstream's backoff for this process; 0 for no backoff.
	Rest time.Duration
	// Limit is the last stated rate limit; Limited is false if none was ever stated.
	Limit   Limit
	Limited bool
}

// Reasons for which an upstream gets no requests.
const (
	UpstreamLeaving    = "leaving"
	UpstreamBackingOff = "asked for rest"
)

// ClosedReason is why the upstream gets no requests now; empty when it gets them.
func (t Terms) ClosedReason() string {
	switch {
	case t.Leaving:
		return UpstreamLeaving
	case t.Rest > 0:
		return UpstreamBackingOff
	default:
		return ""
	}
}

// Observer keeps the terms of upstreams for one process. It is safe for concurrent use. Set the
// exported fields before use; a nil Observer has no terms.
type Observer struct {
	Clock clock.PassiveClock
	// Metrics counts statements by kind; nil for no count.
	Metrics metrics.Registry

	mu        sync.Mutex
	upstreams map[string]*upstream
	lastSweep time.Time
}

// upstream holds the statements of one upstream. The times of statements are zero for those never made.
type upstream struct {
	startedAt               time.Time
	leavingAt, leavingUntil time.Time
	backoffAt, backoffUntil time.Time
	limit                   float64
	limitedAt               time.Time
	invalid                 Invalid
	invalidLoggedAt         time.Time
	lastUsed                time.Time
}

// Record records the statements of one reply, which may be none, by a start of an upstream.
func (o *Observer) Record(start Start, statements Statements) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.removeUnused(now)
	u := o.lookup(start, now)
	if u == nil {
		if len(statements) == 0 {
			return
		}
		u = &upstream{startedAt: start.At, lastUsed: now}
		if o.upstreams == nil {
			o.upstreams = map[string]*upstream{}
		}
		o.upstreams[start.ID] = u
	}
	if start.At.Before(u.startedAt) && !start.At.IsZero() {
		// A late reply of a former start doesn't apply to the present one.
		return
	}
	limited := false
	for _, s := range statements {
		o.countStatement(s)
		switch s := s.(type) {
		case RateLimit:
			limited = true
			u.setLimit(start.ID, max(s.PerSecond, minLimit), now)
		case Backoff:
			u.setBackoff(start.ID, s.For, now)
		case Leaving:
			u.setLeaving(start.ID, now)
		case Invalid:
			u.handleInvalid(start.ID, s, now)
		}
	}
	if !limited && !u.limitedAt.IsZero() {
		u.setLimit(start.ID, 0, now)
	}
}

// lookup returns the state of an upstream; nil for none. A later start drops the statements of the former
// one, except those since: the record of a start arrives later than its first replies.
func (o *Observer) lookup(start Start, now time.Time) *upstream {
	u := o.upstreams[start.ID]
	if u == nil {
		return nil
	}
	u.lastUsed = now
	if u.startedAt.IsZero() {
		u.startedAt = start.At
	}
	if start.At.After(u.startedAt) {
		u.handleRestart(start.At, now)
	}
	return u
}

func (u *upstream) handleRestart(startedAt, now time.Time) {
	u.startedAt = startedAt
	if u.backoffAt.Before(startedAt) {
		u.backoffAt, u.backoffUntil = time.Time{}, time.Time{}
	}
	if u.limitedAt.Before(startedAt) {
		u.limit, u.limitedAt = 0, time.Time{}
	}
	switch {
	case u.leavingAt.Before(startedAt):
		u.leavingAt, u.leavingUntil = time.Time{}, time.Time{}
	case !u.leavingAt.IsZero():
		// The clocks of two VMs may differ, so that the statement may be of either start.
		u.leavingUntil = now.Add(uncertainLeavingFor)
	}
}

func (u *upstream) setLimit(id string, perSecond float64, now time.Time) {
	if perSecond != u.limit {
		klog.InfoS("Upstream changed its rate limit", "upstream", id, "limited", perSecond > 0, "perSecond", perSecond)
	}
	u.limit, u.limitedAt = perSecond, now
}

// setBackoff starts or extends a backoff. A shorter one doesn't end a longer one that was requested earlier.
func (u *upstream) setBackoff(id string, d time.Duration, now time.Time) {
	until := now.Add(d)
	if !until.After(u.backoffUntil) {
		return
	}
	if !now.Before(u.backoffUntil) {
		klog.InfoS("Upstream requested backoff", "upstream", id, "for", d)
	}
	u.backoffAt, u.backoffUntil = now, until
}

func (u *upstream) setLeaving(id string, now time.Time) {
	if u.leavingAt.IsZero() {
		klog.InfoS("Upstream is leaving", "upstream", id)
	}
	u.leavingAt, u.leavingUntil = now, time.Time{}
}

// handleInvalid logs an invalid value, but not each reply that repeats it, and other values at intervals only.
func (u *upstream) handleInvalid(id string, s Invalid, now time.Time) {
	if u.invalid != s && now.Sub(u.invalidLoggedAt) >= invalidLogInterval {
		u.invalidLoggedAt = now
		klog.InfoS("Ignored invalid statement of an upstream", "upstream", id, "header", s.Header, "value", s.Value)
	}
	u.invalid = s
}

func (o *Observer) countStatement(s Statement) {
	if o.Metrics == nil {
		return
	}
	var kind string
	switch s.(type) {
	case RateLimit:
		kind = "rateLimit"
	case Backoff:
		kind = "rest"
	case Leaving:
		kind = "leaving"
	case Invalid:
		kind = "invalid"
	}
	metrics.GetOrRegisterCounter("statements."+kind, o.Metrics).Inc(1)
}

// Terms returns the present terms of a start of an upstream.
func (o *Observer) Terms(start Start) Terms {
	if o == nil {
		return Terms{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	u := o.lookup(start, now)
	if u == nil {
		return Terms{}
	}
	return u.terms(now)
}

func (u *upstream) terms(now time.Time) Terms {
	t := Terms{Rest: max(0, u.backoffUntil.Sub(now))}
	t.Leaving = !u.leavingAt.IsZero() && (u.leavingUntil.IsZero() || now.Before(u.leavingUntil))
	if !u.limitedAt.IsZero() {
		t.Limited, t.Limit = true, Limit{Rate: u.limit, Age: now.Sub(u.limitedAt)}
	}
	return t
}

// UpstreamTerms are the terms of an upstream.
type UpstreamTerms struct {
	ID string
	Terms
}

// All lists the upstreams that restrict requests now, sorted by ID.
func (o *Observer) All() []UpstreamTerms {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	var all []UpstreamTerms
	for id, u := range o.upstreams {
		if t := u.terms(now); t.ClosedReason() != "" || t.Limit.Rate > 0 {
			all = append(all, UpstreamTerms{ID: id, Terms: t})
		}
	}
	slices.SortFunc(all, func(a, b UpstreamTerms) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// removeUnused deletes upstreams that are unused. A backoff is kept to its end.
func (o *Observer) removeUnused(now time.Time) {
	if now.Sub(o.lastSweep) < retention {
		return
	}
	o.lastSweep = now
	for id, u := range o.upstreams {
		if now.Sub(u.lastUsed) > retention && now.After(u.backoffUntil) {
			delete(o.upstreams, id)
		}
	}
}
