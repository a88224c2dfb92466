package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// minColdSharers is the least number of entries among which a cold upstream's rate is divided:
	// after a loss of all processes, each entry has only its own record at first.
	minColdSharers = 24
	// defaultRetryAfter is the time to come back without a better estimate.
	defaultRetryAfter = time.Second
)

// Job is a request to be placed at an upstream.
type Job struct {
	Request
	Route     *matcher.Route
	Workspace *matcher.Workspace
	Service   string
	// TableVersion is the version of the route table by which the request is served.
	TableVersion uint64
	// Deadline is when the caller's time limit ends.
	Deadline time.Time
	// Arrived is when the request was received.
	Arrived time.Time
	// received is when the whole request was read; zero for as soon as it arrived.
	received time.Time
	// Again is set after an attempt failed or a stream broke off. To preserve what the caller
	// already got, such a request may miss its objective.
	Again bool
	// Returned marks requests whose caller comes back after a refusal, and whose objective has
	// passed therefore.
	Returned bool
	// Tried lists the upstreams that already got the request.
	Tried []string
	// Version is the version of the weights that a stream must continue on; 0 for any.
	Version uint64

	refusals RefusalSummary
	// priority is nil at services whose requests all have the same priority.
	priority *priorityState
	// predicted is set if the end of the reply is predicted.
	predicted bool
	// agentUnresponsive is set once an agent didn't answer this request.
	agentUnresponsive bool
	attemptState
	// rampOverride is why engines should admit the request beyond their slow start's limit.
	rampOverride scheduler.RampBypass
	// callerLeft reports whether the caller has disconnected; nil for one that stays.
	callerLeft func() bool
}

// Placement is the result of a placement: the upstream to which a request may be sent.
type Placement struct {
	Upstream *registrar.UpstreamView
	// Wait is the predicted time until the engine reads the prompt.
	Wait time.Duration
	// First is the predicted time from the grant to the first event, Wait included.
	First time.Duration
	// Ends is the predicted end of the reply; zero if unknown.
	Ends time.Time
	// Active counts the requests with a slot at the engine, this one included; 0 if not stated.
	Active int
	// Version binds the attempt to this version of the weights; 0 for any.
	Version uint64
	// Held is the version that the engine held when the slot was granted; 0 if unknown.
	Held uint64
	// BeginBy is the latest start of the request on these weights, as stated by its agent and by
	// the registrar's clock; zero for any time. An entry that started after an announcement can't
	// determine it by itself.
	BeginBy time.Time

	// eventInterval is the predicted time per further event; 0 if unknown.
	eventInterval time.Duration
	// replyPace is the upstream's momentary pace as stated by the reply.
	replyPace scheduler.MomentaryPace

	onStarted, onReleased func()
	// outcome is what the attempt shows of the upstream, for its slow start.
	outcome attemptOutcome
}

// ReportStarted reports to the agent that the reply has started, so its prompt has been read.
func (p *Placement) ReportStarted() { p.onStarted() }

// Release gives the slot back.
func (p *Placement) Release() { p.onReleased() }

// RefusedError reports that no upstream can take a request at present.
type RefusedError struct {
	Reason string
	// RetryAfter is when a slot may be free; 0 if unknown.
	RetryAfter time.Duration
	// Opens is the time until an engine that loads weights should take requests; 0 if unknown.
	Opens time.Duration
	// Rest is the time until the first upstream ends its backoff, if all those left are backing
	// off; else 0.
	Rest time.Duration
	// TooLate is set if no engine could end the reply within the caller's time limit.
	TooLate bool
	// Met summarizes the refusals that the request encountered.
	Met RefusalSummary
	// Blame is set if the request is refused wherever it is sent; else nil.
	Blame *localizer.Blame
	// Shutdown is set if the request is refused because the entry shuts down; else nil.
	Shutdown *ShutdownError
}

// RefusalSummary counts the results of a request's reservations, for the log. Most refusals are in
// no agent's log, as engines already marked full or closed aren't asked.
type RefusalSummary struct {
	// Full counts engines without a free slot, Closed those that take no requests, with the reason
	// of the last one in WhyClosed; over all rounds.
	Full, Closed int
	WhyClosed    string
	// Kept counts engines whose free slots are kept for others, for the reason in WhyKept; over all
	// rounds.
	Kept    int
	WhyKept string
	// PassedOver counts engines recently found full or closed, Unasked those not asked in time,
	// Silent those with unresponsive agents, Connections those at which this entry has all its
	// connections in use, EndsLate those where the reply could not end before this entry does,
	// CallerLeaves those where it could not end before the caller leaves; in the last round.
	PassedOver, Unasked, Silent, Connections, EndsLate, CallerLeaves int
	// Ramping counts engines that refused the request only because of their slow start, in the last
	// round.
	Ramping int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s, room in %v", e.Reason, e.RetryAfter)
}

// Placer places requests at upstreams. Set the exported fields before use.
type Placer struct {
	Registrar *registrar.Registrar
	Chooser   *scheduler.Chooser
	// Clock is the clock of the requests' deadlines; the registrar may have another.
	Clock clock.Clock
	// FailureDomain and Region are this entry's, Regions maps all failure domains to theirs.
	FailureDomain, Region string
	Regions               map[string]string
	// AgentPort is the port of the agent beside an engine, at the engine's address.
	AgentPort uint16
	// Agents are the clients of the agents; their timeout should be ReserveTimeout.
	Agents *messenger.Clients
	// Reach returns the connection to an agent; nil for Agents over the network.
	Reach func(agent netip.AddrPort) Agent
	// WeightsBound is how long after the announcement of a version a reply may still start on older
	// weights; zero without a bound on weights that nothing confirms.
	WeightsBound time.Duration
	// ColdFactor and ColdSlack bound the requests per second from all entries to a cold upstream: a
	// multiple of its rate, plus a constant.
	ColdFactor, ColdSlack float64
	// Observer keeps the statements of upstreams; nil if they make none.
	Observer *observer.Observer
	// Shutdown states this entry's shutdown; nil for one that doesn't shut down.
	Shutdown Shutdown
	// Metrics counts the outcomes of late requests that waited for a slot; nil for no count.
	Metrics metrics.Registry
	// Without lists the mechanisms that an experiment disables.
	Without ablator.Set

	paced      pacedServices
	contention scheduler.Contention
	lateWaits  scheduler.LateWaits
	// fullMarks and admission apply to services whose requests have priorities.
	fullMarks scheduler.FullMarks
	admission scheduler.Admission
}

// placeOnce places a request without waiting. Errors are *RefusedError and the context's.
func (p *Placer) placeOnce(ctx context.Context, j *Job) (*Placement, error) {
	view := p.Registrar.View()
	service := view.Table.Services[j.Service]
	switch {
	case service == nil || service.Origin != nil:
		return nil, &RefusedError{Reason: "service unknown"}
	case service.Engine == nil:
		return p.placeAtService(view, j)
	default:
		j.predicted = p.predictsEnds(service)
		return p.placeAtEngine(ctx, view, service, j)
	}
}

// eligible lists the upstreams that the request may use by their own statements and by its route
// and workspace. The error is a *RefusedError if there is none.
func (p *Placer) eligible(view *registrar.View, j *Job) ([]*registrar.UpstreamView, error) {
	all := view.Service(j.Service)
	us := make([]*registrar.UpstreamView, 0, len(all))
	var backoff time.Duration
	for _, u := range all {
		if slices.Contains(j.Tried, u.ID) || !p.mayUse(view, u, j) {
			continue
		}
		switch t := p.terms(u); {
		case t.Leaving:
		case t.Rest > 0:
			backoff = minNonZero(backoff, t.Rest)
		default:
			us = append(us, u)
		}
	}
	switch {
	case len(us) > 0:
		return us, nil
	case backoff > 0:
		return nil, &RefusedError{Reason: "all upstreams asked for rest", RetryAfter: defaultRetryAfter, Rest: backoff}
	default:
		return nil, &RefusedError{Reason: "no upstream", RetryAfter: defaultRetryAfter}
	}
}

// mayUse reports whether a request may use an upstream by its route, its workspace and the
// operators' drains.
func (p *Placer) mayUse(view *registrar.View, u *registrar.UpstreamView, j *Job) bool {
	return !view.Drained(u.FailureDomain) && p.regionPermitted(u, j)
}

func (p *Placer) regionPermitted(u *registrar.UpstreamView, j *Job) bool {
	if len(j.Route.Regions) == 0 && (j.Workspace == nil || len(j.Workspace.Regions) == 0) {
		return true
	}
	region := p.Regions[u.FailureDomain]
	return matcher.Permits(j.Route.Regions, region) && (j.Workspace == nil || matcher.Permits(j.Workspace.Regions, region))
}

// rank orders upstreams by preference. The model is the one that the engines should hold; empty for
// plain services.
func (p *Placer) rank(us []*registrar.UpstreamView, model string, w scheduler.Work) *scheduler.Ranking {
	candidates := make([]scheduler.Candidate, 0, len(us))
	for _, u := range us {
		candidates = append(candidates, scheduler.Candidate{
			ID: u.ID, StartedAt: u.StartedAt, Distance: p.distance(u), Slots: u.Slots, Empty: model != "" && u.HeldVersion(model) == 0, Agent: model != "",
			Cold: model == "" && u.Cold > 0 && u.ColdFor() > 0,
		})
	}
	return p.Chooser.RankFor(candidates, w)
}

func (p *Placer) distance(u *registrar.UpstreamView) scheduler.Distance {
	switch {
	case u.FailureDomain == p.FailureDomain:
		return scheduler.SameDomain
	case p.Regions[u.FailureDomain] == p.Region:
		return scheduler.SameRegion
	default:
		return scheduler.OtherRegion
	}
}

// placeAtService places a request at a plain service. Without an agent, it relies on this entry's
// own count and the load stated in replies.
func (p *Placer) placeAtService(view *registrar.View, j *Job) (*Placement, error) {
	us, err := p.eligible(view, j)
	if err != nil {
		return nil, err
	}
	if late := p.checkLeastTime(j); late != nil {
		return nil, p.shutdownRefusal(j, late)
	}
	if !p.admitPlain(j) {
		return nil, &RefusedError{Reason: scheduler.KeptForUrgent, RetryAfter: defaultRetryAfter}
	}
	reason := "all upstreams cold"
	ranking := p.rank(us, "", scheduler.Work{})
	for i, ok := ranking.Next(); ok; i, ok = ranking.Next() {
		u := us[i]
		if limit := p.connectionLimit(u); limit > 0 && p.Chooser.Running(u.ID) >= limit {
			reason = "all upstreams have all connections in use"
			continue
		}
		if !p.admitCold(view, u) {
			continue
		}
		if !p.admitByLimit(view, u) {
			reason = "all upstreams at their rate limit"
			continue
		}
		p.Chooser.Begin(u.ID)
		return &Placement{Upstream: u, onStarted: func() {}, onReleased: func() { p.Chooser.End(u.ID) }}, nil
	}
	return nil, &RefusedError{Reason: reason, RetryAfter: defaultRetryAfter}
}

// admitCold reports whether an upstream without an agent may get one more request. A cold one can
// serve only a limited rate from all entries together, and each uses its share.
func (p *Placer) admitCold(view *registrar.View, u *registrar.UpstreamView) bool {
	service := view.Table.Services[u.Service]
	if service == nil || service.ColdRate <= 0 || u.ColdFor() == 0 {
		return true
	}
	return p.Chooser.AllowCold(u.ID, scheduler.RateShare{
		Rate: service.ColdRate, Bound: max(1, p.ColdFactor)*service.ColdRate + p.ColdSlack,
		Sharers: max(minColdSharers, len(view.Members)),
	})
}

const (
	// connectionsShare is the part of an upstream's connections that the known entries divide. The
	// rest is for unknown entries and for connections closed here that still count there.
	connectionsShare = 0.8
	// minConnectionSharers is the least number of entries among which they are divided.
	minConnectionSharers = 6
)

// connectionLimit is how many connections this entry may have to an upstream; 0 for any.
func (p *Placer) connectionLimit(u *registrar.UpstreamView) int {
	view := p.Registrar.View()
	service := view.Table.Services[u.Service]
	if service == nil || service.Connections <= 0 {
		return 0
	}
	return scheduler.EntryQuota(service.Connections, connectionsShare, max(minConnectionSharers, len(view.Members)))
}

// Sweep closes the connections to agents whose engines have left.
func (p *Placer) Sweep() {
	view := p.Registrar.View()
	if view == nil {
		return
	}
	used := map[netip.AddrPort]bool{}
	for _, u := range view.Upstreams {
		used[netip.AddrPortFrom(u.Address.Addr(), p.AgentPort)] = true
	}
	p.Agents.CloseUnused(used)
}
