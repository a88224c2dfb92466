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
	// leastLimit is the lowest rate limit, in requests a second over all entries, that is kept to. An
	// upstream that gets no request can't state that its limit is over.
	leastLimit = 0.1
	// forgetAfter is how long an upstream may go unused before what it stated is forgotten.
	forgetAfter = time.Minute
	// doubtedFor is for how long a leaving holds of which it isn't certain whether the upstream's
	// present start stated it.
	doubtedFor = 10 * time.Second
	// invalidPause is the pause between two log lines on an upstream's invalid statements, whose values may
	// differ from reply to reply.
	invalidPause = 10 * time.Second
)

// Start is one start of an upstream.
type Start struct {
	ID string
	// At is when it started, by its own clock; zero when unknown.
	At time.Time
}

// Limit is a rate that an upstream states of itself.
type Limit struct {
	// Rate is in requests a second from all entries together; 0 for none.
	Rate float64
	// Age is how long ago it was stated.
	Age time.Duration
}

// Terms are what an upstream asks of those who send to it.
type Terms struct {
	// Leaving upstreams get nothing more.
	Leaving bool
	// Rest is for how much longer the upstream wants nothing from this process; 0 for no rest.
	Rest time.Duration
	// Limit is what it last said of its rate limit; Limited is false if it never stated any.
	Limit   Limit
	Limited bool
}

// Reasons for which an upstream gets nothing.
const (
	LeavingUpstream = "leaving"
	RestingUpstream = "asked for rest"
)

// Closed is why the upstream gets nothing now; empty when it may.
func (t Terms) Closed() string {
	switch {
	case t.Leaving:
		return LeavingUpstream
	case t.Rest > 0:
		return RestingUpstream
	default:
		return ""
	}
}

// Observer keeps the terms of upstreams for one process. It is safe for concurrent use. Set the
// exported fields before use; a nil Observer knows of none.
type Observer struct {
	Clock clock.PassiveClock
	// Metrics counts statements by kind; nil for no count.
	Metrics metrics.Registry

	mu    sync.Mutex
	known map[string]*upstream
	swept time.Time
}

// upstream is what one upstream has stated. The times of statements are zero for those never made.
type upstream struct {
	startedAt            time.Time
	leftAt, leavingUntil time.Time
	restedAt, restUntil  time.Time
	limit                float64
	limitedAt            time.Time
	invalid              Invalid
	invalidLoggedAt      time.Time
	used                 time.Time
}

// Note takes in what a start of an upstream stated in a reply, nothing included.
func (o *Observer) Note(of Start, statements Statements) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.sweep(now)
	u := o.of(of, now)
	if u == nil {
		if len(statements) == 0 {
			return
		}
		u = &upstream{startedAt: of.At, used: now}
		if o.known == nil {
			o.known = map[string]*upstream{}
		}
		o.known[of.ID] = u
	}
	if of.At.Before(u.startedAt) && !of.At.IsZero() {
		// A late reply of a former start says nothing of the present one.
		return
	}
	limited := false
	for _, s := range statements {
		o.count(s)
		switch s := s.(type) {
		case RateLimit:
			limited = true
			u.limitTo(of.ID, max(s.PerSecond, leastLimit), now)
		case Rest:
			u.rest(of.ID, s.For, now)
		case Leaving:
			u.leave(of.ID, now)
		case Invalid:
			u.ignore(of.ID, s, now)
		}
	}
	if !limited && !u.limitedAt.IsZero() {
		u.limitTo(of.ID, 0, now)
	}
}

// of is what is known of an upstream; nil for nothing. A later start than the one that stated it ends
// that, but for what was stated since: the record of a start is learned later than its replies.
func (o *Observer) of(s Start, now time.Time) *upstream {
	u := o.known[s.ID]
	if u == nil {
		return nil
	}
	u.used = now
	if u.startedAt.IsZero() {
		u.startedAt = s.At
	}
	if s.At.After(u.startedAt) {
		u.restart(s.At, now)
	}
	return u
}

func (u *upstream) restart(at, now time.Time) {
	u.startedAt = at
	if u.restedAt.Before(at) {
		u.restedAt, u.restUntil = time.Time{}, time.Time{}
	}
	if u.limitedAt.Before(at) {
		u.limit, u.limitedAt = 0, time.Time{}
	}
	switch {
	case u.leftAt.Before(at):
		u.leftAt, u.leavingUntil = time.Time{}, time.Time{}
	case !u.leftAt.IsZero():
		// The clocks of two VMs may differ.
		u.leavingUntil = now.Add(doubtedFor)
	}
}

func (u *upstream) limitTo(id string, perSecond float64, now time.Time) {
	if perSecond != u.limit {
		klog.InfoS("Upstream changed its rate limit", "upstream", id, "limited", perSecond > 0, "perSecond", perSecond)
	}
	u.limit, u.limitedAt = perSecond, now
}

// rest begins or extends a rest. A shorter one doesn't end a longer one that was asked for before.
func (u *upstream) rest(id string, d time.Duration, now time.Time) {
	until := now.Add(d)
	if !until.After(u.restUntil) {
		return
	}
	if !now.Before(u.restUntil) {
		klog.InfoS("Upstream asked for rest", "upstream", id, "for", d)
	}
	u.restedAt, u.restUntil = now, until
}

func (u *upstream) leave(id string, now time.Time) {
	if u.leftAt.IsZero() {
		klog.InfoS("Upstream stated that it leaves", "upstream", id)
	}
	u.leftAt, u.leavingUntil = now, time.Time{}
}

// ignore logs a value without sense once, and not with each reply that repeats it or has another one.
func (u *upstream) ignore(id string, s Invalid, now time.Time) {
	if u.invalid != s && now.Sub(u.invalidLoggedAt) >= invalidPause {
		u.invalidLoggedAt = now
		klog.InfoS("Statement of an upstream ignored", "upstream", id, "header", s.Header, "value", s.Value)
	}
	u.invalid = s
}

func (o *Observer) count(s Statement) {
	if o.Metrics == nil {
		return
	}
	var kind string
	switch s.(type) {
	case RateLimit:
		kind = "rateLimit"
	case Rest:
		kind = "rest"
	case Leaving:
		kind = "leaving"
	case Invalid:
		kind = "invalid"
	}
	metrics.GetOrRegisterCounter("statements."+kind, o.Metrics).Inc(1)
}

// Terms are what a start of an upstream asks for now.
func (o *Observer) Terms(of Start) Terms {
	if o == nil {
		return Terms{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	u := o.of(of, now)
	if u == nil {
		return Terms{}
	}
	return u.terms(now)
}

func (u *upstream) terms(now time.Time) Terms {
	t := Terms{Rest: max(0, u.restUntil.Sub(now))}
	t.Leaving = !u.leftAt.IsZero() && (u.leavingUntil.IsZero() || now.Before(u.leavingUntil))
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

// All lists the upstreams that ask for anything now, sorted by ID.
func (o *Observer) All() []UpstreamTerms {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	var all []UpstreamTerms
	for id, u := range o.known {
		if t := u.terms(now); t.Closed() != "" || t.Limit.Rate > 0 {
			all = append(all, UpstreamTerms{ID: id, Terms: t})
		}
	}
	slices.SortFunc(all, func(a, b UpstreamTerms) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// sweep forgets upstreams that are gone. A rest is kept to its end.
func (o *Observer) sweep(now time.Time) {
	if now.Sub(o.swept) < forgetAfter {
		return
	}
	o.swept = now
	for id, u := range o.known {
		if now.Sub(u.used) > forgetAfter && now.After(u.restUntil) {
			delete(o.known, id)
		}
	}
}
