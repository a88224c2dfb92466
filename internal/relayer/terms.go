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

// An upstream that states a limit may get limitFactor times as many requests in limitWindow, in
// seconds, and limitSlack besides, before it counts as overrun.
const (
	limitWindow = 4.0
	limitFactor = 1.5
	limitSlack  = 5.0
	// limitAtOnce is what entries may send at once, in seconds of the limit: with what they send in
	// the rest of limitWindow they stay below that.
	limitAtOnce = limitWindow*limitFactor - 1
	// leastLimitSharers is among how many entries a limit is divided at least.
	leastLimitSharers = 6
)

// WithheldError reports a request that was not sent, as its upstream asked for nothing more after it
// had been placed there.
type WithheldError struct{ Reason string }

func (e *WithheldError) Error() string { return fmt.Sprintf("withheld, upstream %s", e.Reason) }

// noteStatements notes what an upstream states of itself in a reply. A reply from another upstream at its
// address, or one that doesn't come from an upstream for sure, states nothing.
func (c *call) noteStatements(u registrar.Upstream, x *exchange) {
	if x.reply.Upstream != "" && x.reply.Upstream != u.ID {
		c.Registrar.Replaced(u)
		return
	}
	status := x.response.StatusCode
	if status == http.StatusMisdirectedRequest && x.reply.Upstream == "" {
		return
	}
	if !x.reply.Sealed && !x.reply.NotRun && status != http.StatusServiceUnavailable {
		return
	}
	c.Placer.NoteStatements(u, x.reply.Stated)
}

// NoteStatements notes what an upstream states of itself in a reply.
func (p *Placer) NoteStatements(u registrar.Upstream, stated observer.Statements) {
	if !p.Without.Has(ablator.UpstreamTerms) {
		p.Observer.Record(startOf(u), stated)
	}
}

func startOf(u registrar.Upstream) observer.Start { return observer.Start{ID: u.ID, At: u.StartedAt} }

// terms are what an upstream asks for, in its record and in its replies.
func (p *Placer) terms(u *registrar.UpstreamView) observer.Terms {
	t := p.Observer.Terms(startOf(u.Upstream))
	t.Leaving = t.Leaving || u.Leaving
	return t
}

// withhold tells whether a request that has a place must not be sent any more. Errors are
// *WithheldError.
func (p *Placer) withhold(u *registrar.UpstreamView) error {
	if reason := p.terms(u).ClosedReason(); reason != "" {
		return &WithheldError{Reason: reason}
	}
	return nil
}

// rest is for how long all upstreams that a request may use want nothing from this entry; 0 if one of
// them takes requests, or none is left.
func (p *Placer) rest(j *Job) time.Duration {
	view := p.Registrar.View()
	var shortest time.Duration
	for _, u := range view.Service(j.Service) {
		t := p.terms(u)
		if t.Leaving || !p.reachable(view, u, j) {
			continue
		}
		if t.Rest == 0 {
			return 0
		}
		shortest = least(shortest, t.Rest)
	}
	return shortest
}

// statedLimit is what an upstream last said of its rate limit, for the agent beside it; nil for one
// that never stated any.
func (p *Placer) statedLimit(u *registrar.UpstreamView) *messenger.RateLimit {
	t := p.terms(u)
	if !t.Limited {
		return nil
	}
	return &messenger.RateLimit{PerSecond: t.Limit.Rate, AgeMS: t.Limit.Age.Milliseconds()}
}

// limitPass returns whether an upstream that states a limit may get one more request now, where no
// agent counts for all entries.
func (p *Placer) limitPass(view *registrar.View, u *registrar.UpstreamView) bool {
	limit := p.terms(u).Limit
	if limit.Rate == 0 {
		return true
	}
	return p.Chooser.LimitPass(u.ID, scheduler.RateShare{
		Rate: limit.Rate, Bound: limitAtOnce*limit.Rate + limitSlack, Sharers: max(leastLimitSharers, len(view.Members)),
	})
}
