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
	// AskTimeout bounds a question to an agent. It is several round trips between
	// regions; an agent that takes longer is of no help with an objective of half a
	// second.
	AskTimeout = 40 * time.Millisecond
	// unaskedShare is the part of an engine's places that entries divide among them
	// while its agent is silent. The rest is a margin for disagreement.
	unaskedShare = 0.75
)

// ask asks the agent beside an engine for a place, for a request that is already counted
// there. The verdict is nil when the agent did not answer; the place then is a share of what
// the engine bears.
func (p *Placer) ask(ctx context.Context, view *registrar.View, u *registrar.UpstreamView, j *Job, budget time.Duration) (*Place, *messenger.Decision) {
	if !p.Chooser.MayAsk(u.ID, j.metSilence) {
		return p.unasked(view, u, j), nil
	}
	asked := p.Registrar.Clock.Now()
	e := view.Table.Services[u.Service].Engine
	prompt, answer, expected := j.size(e)
	agent := p.agent(netip.AddrPortFrom(u.Address.Addr(), p.AgentPort))
	q := messenger.Reservation{
		Request: j.ID, Model: j.Model, StartedAt: u.StartedAt, Prompt: prompt, Answer: p.sizeToReserve(j, answer), Expected: expected,
		MaxAnswer: j.MaxAnswer, Spare: p.late(j) || j.mover.looking,
		WaitLimitMS: budget.Milliseconds(), TimeLeftMS: j.Deadline.Sub(p.Clock.Now()).Milliseconds(), Limit: p.statedLimit(u),
	}
	if j.predicted {
		q.PauseMS = j.Route.PauseObjective.Milliseconds()
	}
	q.BeyondRamp = string(j.beyond)
	j.reserveBy(&q)
	v, err := agent.Reserve(ctx, q)
	if ctx.Err() != nil {
		// The agent may have granted a place that nobody waits for.
		agent.Tell(messenger.Progress{Ended: []string{j.ID}})
		return nil, nil
	}
	if err != nil {
		gone := errors.Is(err, syscall.ECONNREFUSED)
		p.Chooser.Silence(u.ID, gone)
		j.metSilence = j.metSilence || !gone
		klog.InfoS("Agent silent", "upstream", u.ID, "request", j.ID, "gone", gone, "err", err)
		if !gone {
			// It may have granted a place since, or do so yet.
			agent.Tell(messenger.Progress{Ended: []string{j.ID}})
		}
		return p.unasked(view, u, j), nil
	}
	if !v.StartedAt.IsZero() && !v.StartedAt.Equal(u.StartedAt) {
		p.Chooser.Answered(u.ID)
		p.noteAnotherEngine(u, asked, &v)
		return nil, &v
	}
	p.Chooser.Heard(u.ID, v.Wait(), load(v))
	p.notePace(u, &v)
	p.Chooser.NoteRamp(u.ID, v.Ramp != nil, v.ClosedReason == "")
	if !v.Granted {
		return nil, &v
	}
	if p.staleGrant(j, &v) {
		klog.InfoS("Grant on old weights not used", "upstream", u.ID, "request", j.ID, "version", v.Version, "revision", view.Revision)
		agent.Tell(messenger.Progress{Ended: []string{j.ID}})
		v.Granted, v.ClosedReason = false, scheduler.OldWeights
		return nil, &v
	}
	if j.Version != 0 && v.Version != j.Version {
		agent.Tell(messenger.Progress{Ended: []string{j.ID}})
		return nil, &v
	}
	place := &Place{
		Upstream: u, Wait: v.Wait(), First: v.Wait() + p.Chooser.Slowed(u.ID, p.work(e, j).First), Ends: p.ends(&v), BeginBy: beginBy(asked, &v), Active: v.Active, Version: j.Version, Held: v.Version,
	}
	place.event = (v.Duration() - place.First) / time.Duration(max(1, answer/max(1, e.Stride)))
	place.started = func() {
		agent.Tell(messenger.Progress{Started: []string{j.ID}, Pace: place.statedPace(p.Chooser.Clock.Now())})
	}
	place.ended = func() {
		p.Chooser.End(u.ID)
		agent.Tell(place.progressAtEnd(j.ID))
	}
	return place, &v
}

// noteAnotherEngine takes an upstream out of use whose agent stands beside another start of the engine.
// An agent that last looked at its engine before the record came may not have seen the start that
// the record states.
func (p *Placer) noteAnotherEngine(u *registrar.UpstreamView, asked time.Time, v *messenger.Decision) {
	if v.StartedAt.After(u.StartedAt) || asked.Add(-v.Observed()).After(u.Learned) {
		p.Registrar.Replaced(u.Upstream)
	}
}

// staleGrant tells whether a grant is for weights whose time is over. An agent that stood still or is
// cut off grants by what it last learned. Without this look at what the entry knows, callers would get
// replies from stale weights until the news reaches the agent. An entry that has started since the
// announcement may not know when it was, and leaves it to an agent that states a time.
func (p *Placer) staleGrant(j *Job, v *messenger.Decision) bool {
	bound := p.WeightsBound - scheduler.OldWeightsMargin
	if v.StartWithinMS > 0 {
		return p.Registrar.SurelyOutdated(j.Model, v.Version, bound)
	}
	return p.Registrar.Outdated(j.Model, v.Version, bound)
}

// beginBy is until when a granted request may begin, as its agent states; zero for any time. It counts from
// before the question: the answer may have been on its way for long.
func beginBy(asked time.Time, v *messenger.Decision) time.Time {
	if v.StartWithinMS <= 0 {
		return time.Time{}
	}
	return asked.Add(time.Duration(v.StartWithinMS) * time.Millisecond)
}

// ends is when the reply to a granted request should end; zero when its agent doesn't tell.
func (p *Placer) ends(v *messenger.Decision) time.Time {
	if v.DurationMS <= 0 {
		return time.Time{}
	}
	return p.Clock.Now().Add(v.Duration())
}

// load is the share of an engine's places that are taken; a closed one has none.
func load(v messenger.Decision) float64 {
	if v.Slots == 0 {
		return closedLoad
	}
	if v.Ramp != nil {
		return float64(v.Active) / float64(min(v.Slots, max(1, v.Ramp.Limit)))
	}
	return float64(v.Active) / float64(v.Slots)
}

// closedLoad puts engines that take nothing behind all others.
const closedLoad = 3

// unasked gives a place at an engine whose agent is silent, within this entry's share of what
// the engine bears, the request itself counted. A cold engine gets none: the agent may well
// grant others all that it bears, and under more it falls over. Neither does one that shows no
// life: mostly its whole VM is frozen or cut off. The request would lie there unread until its
// caller has left, and run in vain when the VM wakes.
func (p *Placer) unasked(view *registrar.View, u *registrar.UpstreamView, j *Job) *Place {
	held := u.Holds(j.Model)
	if p.Without.Has(ablator.UngrantedSends) || held == 0 || j.Version != 0 && held != j.Version || p.Registrar.Outdated(j.Model, held, p.WeightsBound/2) {
		return nil
	}
	version := j.Version
	if named, ok := view.Weights(j.Model); ok && held == named.Version {
		// The record may be out of date; an engine that holds something else refuses.
		version = held
	}
	share := scheduler.Part(u.Slots, unaskedShare, len(view.Members))
	if p.Chooser.Running(u.ID) > share || p.Chooser.Avoided(u.ID) || !p.Chooser.Lives(u.ID) || u.ColdFor() > 0 || !p.limitPass(view, u) {
		return nil
	}
	return &Place{Upstream: u, Version: version, Held: held, started: func() {}, ended: func() { p.Chooser.End(u.ID) }}
}

// Agent is the road to the agent beside an engine, for one reservation.
type Agent interface {
	Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error)
	// Tell sends progress without holding up the caller's reply. It may be lost; the engine's
	// own count then shows what runs.
	Tell(p messenger.Progress)
}

func (p *Placer) agent(a netip.AddrPort) Agent {
	if p.Reach != nil {
		return p.Reach(a)
	}
	return networkAgent{p.Agents.Get(a), rand.Uint32()}
}

// networkAgent is an agent on its own VM. The number distinguishes this reservation from others for
// the same request: its progress may arrive after the next one is granted, if the connection was
// replaced meanwhile. It is random, as a caller may retry through another entry.
type networkAgent struct {
	*messenger.Client
	number uint32
}

// Reserve implements Agent.
func (a networkAgent) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	r.Request = messenger.ReservationName(r.Request, a.number)
	return a.Client.Reserve(ctx, r)
}

// Tell implements Agent.
func (a networkAgent) Tell(p messenger.Progress) {
	p.Started, p.Ended = a.numbered(p.Started), a.numbered(p.Ended)
	p.Failed, p.Refused = a.numbered(p.Failed), a.numbered(p.Refused)
	go func() {
		if err := a.Client.SendProgress(context.Background(), p); err != nil {
			klog.V(1).InfoS("Progress not told", "agent", a.Address, "err", err)
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
