package relayer

import (
	"fmt"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// An upstream that states a limit counts as overloaded beyond limitFactor times as many requests in
// limitWindow, in seconds, plus limitSlack.
const (
	limitWindow = 4.0
	limitFactor = 1.5
	limitSlack  = 5.0
	// limitBurst is what entries may send at once, in seconds of the limit: together with what they
	// send in the rest of limitWindow, it stays below that bound.
	limitBurst = limitWindow*limitFactor - 1
	// minLimitSharers is the least number of entries among which a limit is divided.
	minLimitSharers = 6
)

// WithheldError reports a request that was not sent because its upstream started to drain or back
// off after the placement.
type WithheldError struct{ Reason string }

func (e *WithheldError) Error() string { return fmt.Sprintf("withheld, upstream %s", e.Reason) }

// recordStatements records what an upstream states about itself in a reply. A reply from another
// upstream at its address, or of unproved origin, states nothing.
func (c *call) recordStatements(u registrar.Upstream, x *exchange) {
	if x.reply.Upstream != "" && x.reply.Upstream != u.ID {
		c.Registrar.MarkReplaced(u)
		return
	}
	status := x.response.StatusCode
	if status == http.StatusMisdirectedRequest && x.reply.Upstream == "" {
		return
	}
	if !x.reply.Sealed && !x.reply.NotRun && status != http.StatusServiceUnavailable {
		return
	}
	c.Placer.RecordStatements(u, x.reply.Stated)
}

// RecordStatements records what an upstream states about itself in a reply.
func (p *Placer) RecordStatements(u registrar.Upstream, stated observer.Statements) {
	if !p.Without.Has(ablator.UpstreamTerms) {
		p.Observer.Record(upstreamStart(u), stated)
	}
}

func upstreamStart(u registrar.Upstream) observer.Start {
	return observer.Start{ID: u.ID, At: u.StartedAt}
}

// terms returns what an upstream asks for in its record and its replies.
func (p *Placer) terms(u *registrar.UpstreamView) observer.Terms {
	t := p.Observer.Terms(upstreamStart(u.Upstream))
	t.Leaving = t.Leaving || u.Leaving
	return t
}

// checkWithheld reports whether a placed request must not be sent after all. Errors are
// *WithheldError.
func (p *Placer) checkWithheld(u *registrar.UpstreamView) error {
	if reason := p.terms(u).ClosedReason(); reason != "" {
		return &WithheldError{Reason: reason}
	}
	return nil
}

// backoffLeft is the time until the first of the upstreams that a request may use ends its backoff;
// 0 if one of them takes requests, or none is left.
func (p *Placer) backoffLeft(j *Job) time.Duration {
	view := p.Registrar.View()
	var shortest time.Duration
	for _, u := range view.Service(j.Service) {
		t := p.terms(u)
		if t.Leaving || !p.mayUse(view, u, j) {
			continue
		}
		if t.Rest == 0 {
			return 0
		}
		shortest = minNonZero(shortest, t.Rest)
	}
	return shortest
}

// statedLimit is the last rate limit stated by an upstream, for its agent; nil if it never stated
// any.
func (p *Placer) statedLimit(u *registrar.UpstreamView) *messenger.RateLimit {
	t := p.terms(u)
	if !t.Limited {
		return nil
	}
	return &messenger.RateLimit{PerSecond: t.Limit.Rate, AgeMS: t.Limit.Age.Milliseconds()}
}

// admitByLimit reports whether an upstream that states a limit may get one more request, where no
// agent counts for all entries.
func (p *Placer) admitByLimit(view *registrar.View, u *registrar.UpstreamView) bool {
	limit := p.terms(u).Limit
	if limit.Rate == 0 {
		return true
	}
	return p.Chooser.AllowLimited(u.ID, scheduler.RateShare{
		Rate: limit.Rate, Bound: limitBurst*limit.Rate + limitSlack, Sharers: max(minLimitSharers, len(view.Members)),
	})
}
