package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// ReserveTimeout bounds a reservation at an agent. It covers several round trips between
	// regions; a slower agent can't help with an objective of 0.5 s.
	ReserveTimeout = 40 * time.Millisecond
	// ungrantedShare is the part of an engine's slots that entries divide while its agent is
	// unresponsive. The rest is a margin for differing views.
	ungrantedShare = 0.75
)

// reserve asks the agent beside an engine for a slot, for a request that is already counted there.
// The decision is nil if the agent didn't respond; the request then may get a slot without a grant.
func (p *Placer) reserve(ctx context.Context, view *registrar.View, u *registrar.UpstreamView, j *Job, budget time.Duration) (*Placement, *messenger.Decision) {
	if !p.Chooser.MayAsk(u.ID, j.agentUnresponsive) {
		return p.placeUngranted(view, u, j), nil
	}
	askedAt := p.Registrar.Clock.Now()
	e := view.Table.Services[u.Service].Engine
	prompt, answer, expected := j.tokenCounts(e)
	agent := p.agent(netip.AddrPortFrom(u.Address.Addr(), p.AgentPort))
	q := messenger.Reservation{
		Request: j.ID, Model: j.Model, StartedAt: u.StartedAt, Prompt: prompt, Answer: p.tokensToReserve(j, answer), Expected: expected,
		MaxAnswer: j.MaxAnswer, Spare: p.missesObjective(j) || j.mover.placing,
		WaitLimitMS: budget.Milliseconds(), TimeLeftMS: j.Deadline.Sub(p.Clock.Now()).Milliseconds(), Limit: p.statedLimit(u),
	}
	if j.predicted {
		q.PauseMS = j.Route.PauseObjective.Milliseconds()
	}
	q.BeyondRamp = string(j.rampOverride)
	j.addPriority(&q)
	v, err := agent.Reserve(ctx, q)
	if ctx.Err() != nil {
		// The agent may have granted a slot that will not be used.
		agent.SendProgress(messenger.Progress{Ended: []string{j.ID}})
		return nil, nil
	}
	if err != nil {
		gone := errors.Is(err, syscall.ECONNREFUSED)
		p.Chooser.RecordUnresponsive(u.ID, gone)
		j.agentUnresponsive = j.agentUnresponsive || !gone
		klog.InfoS("Agent silent", "upstream", u.ID, "request", j.ID, "gone", gone, "err", err)
		if !gone {
			// The agent may have granted a slot meanwhile, or may still do so.
			agent.SendProgress(messenger.Progress{Ended: []string{j.ID}})
		}
		return p.placeUngranted(view, u, j), nil
	}
	if !v.StartedAt.IsZero() && !v.StartedAt.Equal(u.StartedAt) {
		p.Chooser.RecordAnswer(u.ID)
		p.handleReplacedEngine(u, askedAt, &v)
		return nil, &v
	}
	p.Chooser.RecordLoad(u.ID, v.Wait(), engineLoad(v))
	p.recordAgentPace(u, &v)
	p.Chooser.RecordRamp(u.ID, v.Ramp != nil, v.ClosedReason == "")
	if !v.Granted {
		return nil, &v
	}
	if p.isStaleGrant(j, &v) {
		klog.InfoS("Ignored grant on expired weights", "upstream", u.ID, "request", j.ID, "version", v.Version, "revision", view.Revision)
		agent.SendProgress(messenger.Progress{Ended: []string{j.ID}})
		v.Granted, v.ClosedReason = false, scheduler.OldWeights
		return nil, &v
	}
	if j.Version != 0 && v.Version != j.Version {
		agent.SendProgress(messenger.Progress{Ended: []string{j.ID}})
		return nil, &v
	}
	place := &Placement{
		Upstream: u, Wait: v.Wait(), First: v.Wait() + p.Chooser.Slowed(u.ID, p.workFor(e, j).First), Ends: p.predictedEnd(&v), BeginBy: startDeadline(askedAt, &v), Active: v.Active, Version: j.Version, Held: v.Version,
	}
	place.eventInterval = (v.Duration() - place.First) / time.Duration(max(1, answer/max(1, e.Stride)))
	place.onStarted = func() {
		agent.SendProgress(messenger.Progress{Started: []string{j.ID}, Pace: place.paceMessage(p.Chooser.Clock.Now())})
	}
	place.onReleased = func() {
		p.Chooser.End(u.ID)
		agent.SendProgress(place.endProgress(j.ID))
	}
	return place, &v
}

// handleReplacedEngine marks an upstream as replaced if its agent reports another start of the
// engine. An agent that last checked its engine before the record arrived may not have seen the
// start in the record yet.
func (p *Placer) handleReplacedEngine(u *registrar.UpstreamView, askedAt time.Time, v *messenger.Decision) {
	if v.StartedAt.After(u.StartedAt) || askedAt.Add(-v.Observed()).After(u.Learned) {
		p.Registrar.MarkReplaced(u.Upstream)
	}
}

// isStaleGrant reports whether a grant is for expired weights. An agent that was suspended or is
// partitioned grants by its last update, so the entry checks its own state, or callers would get
// replies from stale weights. An entry that started after the announcement may not have its time
// and relies on an agent that states a time limit.
func (p *Placer) isStaleGrant(j *Job, v *messenger.Decision) bool {
	bound := p.WeightsBound - scheduler.OldWeightsMargin
	if v.StartWithinMS > 0 {
		return p.Registrar.KnownOutdated(j.Model, v.Version, bound)
	}
	return p.mayBeOutdated(j.Model, v.Version, bound)
}

// mayBeOutdated reports whether a version may have been superseded longer ago than a bound.
func (p *Placer) mayBeOutdated(model string, version uint64, bound time.Duration) bool {
	return p.WeightsBound > 0 && p.Registrar.Outdated(model, version, bound)
}

// startDeadline is the latest start of a granted request as stated by its agent; zero for any time.
// It counts from before the reservation was sent, as the reply may have been delayed.
func startDeadline(askedAt time.Time, v *messenger.Decision) time.Time {
	if v.StartWithinMS <= 0 {
		return time.Time{}
	}
	return askedAt.Add(time.Duration(v.StartWithinMS) * time.Millisecond)
}

// predictedEnd is when the reply to a granted request should end; zero if its agent doesn't state
// it.
func (p *Placer) predictedEnd(v *messenger.Decision) time.Time {
	if v.DurationMS <= 0 {
		return time.Time{}
	}
	return p.Clock.Now().Add(v.Duration())
}

// engineLoad is the share of an engine's slots in use; a closed engine has none.
func engineLoad(v messenger.Decision) float64 {
	if v.Slots == 0 {
		return closedLoad
	}
	if v.Ramp != nil {
		return float64(v.Active) / float64(min(v.Slots, max(1, v.Ramp.Limit)))
	}
	return float64(v.Active) / float64(v.Slots)
}

// closedLoad ranks engines that take no requests behind all others.
const closedLoad = 3

// placeUngranted places a request at an engine whose agent is unresponsive, within this entry's
// share of the engine's slots, the request itself counted. A cold engine gets none: its agent may
// grant its whole capacity to other entries, and more would crash it. Nor does an engine without
// other signs of life, as its whole VM is mostly suspended or partitioned: the request would stay
// unread until its caller has left, and run for nothing after the VM resumes.
func (p *Placer) placeUngranted(view *registrar.View, u *registrar.UpstreamView, j *Job) *Placement {
	held := u.HeldVersion(j.Model)
	if p.Without.Has(ablator.UngrantedSends) || held == 0 || j.Version != 0 && held != j.Version || p.mayBeOutdated(j.Model, held, p.WeightsBound/2) {
		return nil
	}
	version := j.Version
	if announced, ok := view.Weights(j.Model); ok && held == announced.Version {
		// The record may be outdated; an engine that holds another version refuses.
		version = held
	}
	share := scheduler.EntryQuota(u.Slots, ungrantedShare, len(view.Members))
	if p.Chooser.Running(u.ID) > share || p.Chooser.Avoided(u.ID) || !p.Chooser.RecentlyAlive(u.ID) || u.ColdFor() > 0 || !p.admitByLimit(view, u) {
		return nil
	}
	return &Placement{Upstream: u, Version: version, Held: held, onStarted: func() {}, onReleased: func() { p.Chooser.End(u.ID) }}
}

// Agent is a connection to the agent beside an engine, for one reservation.
type Agent interface {
	Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error)
	// SendProgress sends progress without delaying the caller's reply. If it is lost, the engine's
	// own count corrects the agent's.
	SendProgress(p messenger.Progress)
}

func (p *Placer) agent(a netip.AddrPort) Agent {
	if p.Reach != nil {
		return p.Reach(a)
	}
	return networkAgent{p.Agents.Get(a), rand.Uint32()}
}

// networkAgent is an agent on its own VM. The number distinguishes this reservation from others for
// the same request: if the connection was replaced, its progress may arrive after the next
// reservation is granted. It is random, as a caller may retry through another entry.
type networkAgent struct {
	*messenger.Client
	number uint32
}

// Reserve implements Agent.
func (a networkAgent) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	r.Request = messenger.ReservationName(r.Request, a.number)
	return a.Client.Reserve(ctx, r)
}

// SendProgress implements Agent.
func (a networkAgent) SendProgress(p messenger.Progress) {
	p.Started, p.Ended = a.numbered(p.Started), a.numbered(p.Ended)
	p.Failed, p.Refused = a.numbered(p.Failed), a.numbered(p.Refused)
	go func() {
		if err := a.Client.SendProgress(context.Background(), p); err != nil {
			klog.V(1).InfoS("Failed to send progress", "agent", a.Address, "err", err)
		}
	}()
}

func (a networkAgent) numbered(requests []string) []string {
	var names []string
	for _, r := range requests {
		names = append(names, messenger.ReservationName(r, a.number))
	}
	return names
}
