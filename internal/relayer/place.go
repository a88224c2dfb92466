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
	// leastSharers is among how many entries a cold upstream's rate is divided at least:
	// after a loss of all, each knows only itself at first.
	leastSharers = 24
	// busyRetry is the time to come back when nothing better is known.
	busyRetry = time.Second
)

// Job is a request that looks for an upstream.
type Job struct {
	Request
	Route     *matcher.Route
	Workspace *matcher.Workspace
	Service   string
	// TableVersion is that of the route table by which the request is served.
	TableVersion uint64
	// Deadline is when the caller has waited long enough.
	Deadline time.Time
	// Arrived is when the request came.
	Arrived time.Time
	// Again tells that an attempt failed or a stream broke off. What has been done for
	// the caller would be lost, so it need not be in time.
	Again bool
	// Returned requests were refused before and have come back: their objective has
	// passed meanwhile.
	Returned bool
	// Tried are the upstreams that had it already.
	Tried []string
	// Version is the version of the weights that a stream has to go on with; 0 for
	// any.
	Version uint64

	met Met
	// standing is nil at services whose requests all have the same priority.
	standing *standing
	// predicted tells that the end of its reply is predicted.
	predicted bool
	// metSilence tells that an agent did not answer this request.
	metSilence bool
	tries
	// beyond is why engines should take it in beyond their slow start.
	beyond scheduler.Beyond
	// left tells that the caller is gone; nil for one that stays.
	left func() bool
}

// Place is where a request may go now.
type Place struct {
	Upstream *registrar.UpstreamView
	// Wait is the predicted wait before a prompt is read.
	Wait time.Duration
	// First is how long its first event should take from the grant on, its wait included.
	First time.Duration
	// Ends is when the reply should end; zero if unknown.
	Ends time.Time
	// Active is how many requests held places at the engine after this one got its
	// own; 0 when not told.
	Active int
	// Version binds the attempt to that version of the weights; 0 for any.
	Version uint64
	// Held is the version that the engine held when the place was granted; 0 when unknown.
	Held uint64
	// BeginBy is until when the request may begin on these weights, as its agent says and by the
	// registrar's clock; zero for any time. An entry that started after an announcement doesn't
	// know itself.
	BeginBy time.Time

	// event is how long each further event should take; 0 if unknown.
	event time.Duration
	// pace is what the reply there stated of the upstream's momentary pace.
	pace scheduler.Momentary

	started, ended func()
	// attempt is what the place's upstream did with the request, for its slow start.
	attempt attemptEnd
}

// Started tells the agent that the reply has begun: its prompt has been read.
func (p *Place) Started() { p.started() }

// Ended gives the place back.
func (p *Place) Ended() { p.ended() }

// RefusedError reports that no upstream can take a request now.
type RefusedError struct {
	Reason string
	// RetryAfter is when there may be room; 0 when that is not known.
	RetryAfter time.Duration
	// Opens is in how long an engine that loads weights should take requests; 0 when that isn't known.
	Opens time.Duration
	// Rest is in how long the first upstream that asked for rest takes requests again, if only such
	// are left; else 0.
	Rest time.Duration
	// TooLate tells that no engine could end the reply within the time its caller has left.
	TooLate bool
	// Met is what the request met at the upstreams.
	Met Met
	// Blame is why the request is refused wherever it goes; nil for another reason.
	Blame *localizer.Blame
	// Shutdown is why the request is refused by an entry that leaves; nil for another reason.
	Shutdown *ShutdownError
}

// Met counts what became of a request's questions, for the log: most refusals have no line at
// any agent, as engines known to be full or closed aren't asked.
type Met struct {
	// Full engines had no place when asked, Closed ones took nothing, as WhyClosed says of
	// the last of them; over all rounds.
	Full, Closed int
	WhyClosed    string
	// Kept engines had slots that they keep for others, as WhyKept says; over all rounds.
	Kept    int
	WhyKept string
	// PassedOver engines had no place or were closed shortly before, Unasked ones came too
	// late in the order, and the agents of Silent ones don't answer; at Connections of them
	// this entry had all its connections in use; at EndsLate of them the reply could not have ended
	// before this entry does, at CallerLeaves not before the caller leaves; in the last round.
	PassedOver, Unasked, Silent, Connections, EndsLate, CallerLeaves int
	// Ramping engines kept the request out for their slow start alone, in the last round.
	Ramping int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s, room in %v", e.Reason, e.RetryAfter)
}

// Placer finds upstreams for requests. Set the exported fields before use.
type Placer struct {
	Registrar *registrar.Registrar
	Chooser   *scheduler.Chooser
	// Clock is that of the requests' deadlines; the registrar may have another.
	Clock clock.Clock
	// FailureDomain and Region are this entry's, Regions those of all failure domains.
	FailureDomain, Region string
	Regions               map[string]string
	// AgentPort is where the agent beside an engine listens, on the engine's own
	// address.
	AgentPort uint16
	// Agents are the clients of the agents; their timeout should be AskTimeout.
	Agents *messenger.Clients
	// Reach gives the road to an agent; nil for the network, by Agents.
	Reach func(agent netip.AddrPort) Agent
	// WeightsBound is how long after the naming of a version older weights may begin
	// a reply.
	WeightsBound time.Duration
	// ColdFactor and ColdSlack bound what a cold upstream may get from all entries in a
	// second: so many times its rate, and a number besides.
	ColdFactor, ColdSlack float64
	// Observer keeps what upstreams state of themselves; nil for upstreams that state nothing.
	Observer *observer.Observer
	// Shutdown tells of this entry's end; nil for one that doesn't leave.
	Shutdown Shutdown
	// Metrics counts what became of late requests that looked for a slot; nil for no count.
	Metrics metrics.Registry
	// Without are the mechanisms that an experiment switches off.
	Without ablator.Set

	uneven     unevenServices
	contention scheduler.Contention
	lateWaits  scheduler.LateWaits
	// fullMarks and admission decide at services whose requests have priorities.
	fullMarks scheduler.FullMarks
	admission scheduler.Admission
}

// placeNow finds an upstream that takes a request at once. Errors are *RefusedError and the
// context's.
func (p *Placer) placeNow(ctx context.Context, j *Job) (*Place, error) {
	view := p.Registrar.View()
	service := view.Table.Services[j.Service]
	switch {
	case service == nil || service.Origin != nil:
		return nil, &RefusedError{Reason: "service unknown"}
	case service.Engine == nil:
		return p.placeAtService(view, j)
	default:
		j.predicted = p.predicts(service)
		return p.placeAtEngine(ctx, view, service, j)
	}
}

// eligible lists the upstreams to which the request may go by what they state of themselves and by
// what route and workspace allow. Errors are *RefusedError: there is none.
func (p *Placer) eligible(view *registrar.View, j *Job) ([]*registrar.UpstreamView, error) {
	all := view.Service(j.Service)
	us := make([]*registrar.UpstreamView, 0, len(all))
	var rest time.Duration
	for _, u := range all {
		if slices.Contains(j.Tried, u.ID) || !p.reachable(view, u, j) {
			continue
		}
		switch t := p.terms(u); {
		case t.Leaving:
		case t.Rest > 0:
			rest = least(rest, t.Rest)
		default:
			us = append(us, u)
		}
	}
	switch {
	case len(us) > 0:
		return us, nil
	case rest > 0:
		return nil, &RefusedError{Reason: "all upstreams asked for rest", RetryAfter: busyRetry, Rest: rest}
	default:
		return nil, &RefusedError{Reason: "no upstream", RetryAfter: busyRetry}
	}
}

// reachable tells whether a request may go to an upstream by what its route, its workspace and the
// operators allow.
func (p *Placer) reachable(view *registrar.View, u *registrar.UpstreamView, j *Job) bool {
	return !view.Drained(u.FailureDomain) && p.permitted(u, j)
}

func (p *Placer) permitted(u *registrar.UpstreamView, j *Job) bool {
	if len(j.Route.Regions) == 0 && (j.Workspace == nil || len(j.Workspace.Regions) == 0) {
		return true
	}
	region := p.Regions[u.FailureDomain]
	return matcher.Permits(j.Route.Regions, region) && (j.Workspace == nil || matcher.Permits(j.Workspace.Regions, region))
}

// order ranks upstreams by promise. The model is that which engines should hold; empty
// for plain services.
func (p *Placer) order(us []*registrar.UpstreamView, model string, w scheduler.Work) *scheduler.Ranking {
	candidates := make([]scheduler.Candidate, 0, len(us))
	for _, u := range us {
		candidates = append(candidates, scheduler.Candidate{
			ID: u.ID, StartedAt: u.StartedAt, Distance: p.distance(u), Slots: u.Slots, Empty: model != "" && u.Holds(model) == 0, Agent: model != "",
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

// placeAtService places a request at a plain service. These have no agent: the own
// count and the load on their replies must do.
func (p *Placer) placeAtService(view *registrar.View, j *Job) (*Place, error) {
	us, err := p.eligible(view, j)
	if err != nil {
		return nil, err
	}
	if !p.admitPlain(j) {
		return nil, &RefusedError{Reason: scheduler.KeptForUrgent, RetryAfter: busyRetry}
	}
	reason := "all upstreams cold"
	order := p.order(us, "", scheduler.Work{})
	for i, ok := order.Next(); ok; i, ok = order.Next() {
		u := us[i]
		if limit := p.connections(u); limit > 0 && p.Chooser.Running(u.ID) >= limit {
			reason = "all upstreams have all connections in use"
			continue
		}
		if !p.coldPass(view, u) {
			continue
		}
		if !p.limitPass(view, u) {
			reason = "all upstreams at their rate limit"
			continue
		}
		p.Chooser.Begin(u.ID)
		return &Place{Upstream: u, started: func() {}, ended: func() { p.Chooser.End(u.ID) }}, nil
	}
	return nil, &RefusedError{Reason: reason, RetryAfter: busyRetry}
}

// coldPass tells whether an upstream without an agent may get one more request now. A
// cold one bears only so many a second from all entries together; each takes its part.
func (p *Placer) coldPass(view *registrar.View, u *registrar.UpstreamView) bool {
	service := view.Table.Services[u.Service]
	if service == nil || service.ColdRate <= 0 || u.ColdFor() == 0 {
		return true
	}
	return p.Chooser.ColdPass(u.ID, scheduler.RateShare{
		Rate: service.ColdRate, Bound: max(1, p.ColdFactor)*service.ColdRate + p.ColdSlack,
		Sharers: max(leastSharers, len(view.Members)),
	})
}

const (
	// connectionsPart is the part of an upstream's connections that entries divide among
	// them. The rest is for entries that are not known, and for connections that are closed
	// here and still count there.
	connectionsPart = 0.8
	// leastConnectionSharers is among how many entries they are divided at least.
	leastConnectionSharers = 6
)

// connections is how many this entry may have at an upstream; 0 for any.
func (p *Placer) connections(u *registrar.UpstreamView) int {
	view := p.Registrar.View()
	service := view.Table.Services[u.Service]
	if service == nil || service.Connections <= 0 {
		return 0
	}
	return scheduler.Part(service.Connections, connectionsPart, max(leastConnectionSharers, len(view.Members)))
}

// Sweep closes the connections to agents whose engines are gone.
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
