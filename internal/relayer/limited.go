package relayer

import (
	"k8s.io/klog/v2"

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

// noteLimit notes whether a reply states a limit on its upstream's requests.
func (l *Relayer) noteLimit(upstream string, r Reply) {
	limit, limited := observer.RateLimit{}, false
	for _, s := range r.Stated {
		if l, ok := s.(observer.RateLimit); ok {
			limit, limited = l, true
		}
	}
	if l.Chooser.NoteLimit(upstream, limited, limit.PerSecond) {
		klog.InfoS("Upstream changed its rate limit", "upstream", upstream, "limited", limited, "perSecond", limit.PerSecond)
	}
}

// statedLimit is what an upstream last said of its limit, for the agent beside it; nil for one that
// never stated any.
func (p *Placer) statedLimit(upstream string) *messenger.RateLimit {
	limit, ok := p.Chooser.Limit(upstream)
	if !ok {
		return nil
	}
	return &messenger.RateLimit{PerSecond: limit.Rate, AgeMS: limit.Age.Milliseconds()}
}

// limitPass returns whether an upstream that states a limit may get one more request now, where no
// agent counts for all entries.
func (p *Placer) limitPass(view *registrar.View, u *registrar.UpstreamView) bool {
	limit, ok := p.Chooser.Limit(u.ID)
	if !ok || limit.Rate == 0 {
		return true
	}
	return p.Chooser.LimitPass(u.ID, scheduler.RateShare{
		Rate: limit.Rate, Bound: limitAtOnce*limit.Rate + limitSlack, Sharers: max(leastLimitSharers, len(view.Members)),
	})
}
