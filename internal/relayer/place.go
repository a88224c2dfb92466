package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// askTimeout bounds a question to an agent. It is several round trips between
	// regions; an agent that takes longer is of no help with an objective of half a
	// second.
	askTimeout = 40 * time.Millisecond
	// silentFor is how long an agent that did not answer isn't asked.
	silentFor = 700 * time.Millisecond
	// goodWait is the wait before the reading of a prompt that is taken at once. A
	// longer one is taken only when no other engine is better.
	goodWait = 40 * time.Millisecond
	// firstAsked is how many engines are asked for a good wait.
	firstAsked = 3
	// firstEventTime is what a first event needs beyond waiting and reading: the pass
	// under way, the pass that writes it, and the way to the caller.
	firstEventTime = 190 * time.Millisecond
	// leastPatience is the wait accepted even when the objective leaves none.
	leastPatience = 60 * time.Millisecond
	// maxPatience bounds the reading ahead of a request: everything read in one pass
	// is a pause for those who write.
	maxPatience = 300 * time.Millisecond
	// heldShare is the part of the objective for which a request is kept back while
	// all engines are full, before it is refused.
	heldShare = 0.11
	// againHeld is how long a place is looked for after a failed attempt: callers leave a
	// stream that pauses for two seconds or more.
	againHeld = 600 * time.Millisecond
	// askedShare is the part of the objective after which no further engine is asked,
	// leastAsked the least time for it: one agent that is silent, and a few that answer.
	askedShare = 0.2
	leastAsked = 60 * time.Millisecond
	// heldPause is the pause between two rounds of questions.
	heldPause = 20 * time.Millisecond
	// unaskedShare is the part of an engine's places that entries divide among them
	// while its agent is silent. The rest is a margin for disagreement.
	unaskedShare = 0.75
	// closedPause, fullPause and sparePause are how long at most an engine isn't asked
	// that takes nothing, has no place, or has none to spare: what it said is soon out
	// of date, and a place that nobody asks for stands empty.
	closedPause = 100 * time.Millisecond
	fullPause   = 25 * time.Millisecond
	sparePause  = 150 * time.Millisecond
	// coldPart is the part of a cold upstream's rate that entries divide among them.
	coldPart = 0.67
	// leastSharers is among how many entries it is divided at least: after a loss of all,
	// each knows only itself at first.
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
}

// Place is where a request may go now.
type Place struct {
	Upstream *registrar.UpstreamView
	// Wait is the predicted wait before a prompt is read.
	Wait time.Duration
	// Active is how many requests held places at the engine after this one got its
	// own; 0 when not told.
	Active int
	// Version binds the attempt to that version of the weights; 0 for any.
	Version uint64

	started, ended func()
}

// RefusedError reports that no upstream can take a request now.
type RefusedError struct {
	Reason string
	// RetryAfter is when there may be room; 0 when that is not known.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s, room in %v", e.Reason, e.RetryAfter)
}

// Placer finds upstreams for requests. Set the exported fields before use.
type Placer struct {
	Registrar *registrar.Registrar
	Chooser   *scheduler.Chooser
	Clock     clock.Clock
	// FailureDomain and Region are this entry's, Regions those of all failure domains.
	FailureDomain, Region string
	Regions               map[string]string
	// AgentPort is where the agent beside an engine listens, on the engine's own
	// address.
	AgentPort uint16
	// Dial makes the client of an agent.
	Dial func(netip.AddrPort) *messenger.Client
	// WeightsBound is how long after the naming of a version older weights may begin
	// a reply.
	WeightsBound time.Duration

	mu     sync.Mutex
	agents map[netip.AddrPort]*messenger.Client
}

// Place finds an upstream. Errors are *RefusedError and the context's.
func (p *Placer) Place(ctx context.Context, j *Job) (*Place, error) {
	view := p.Registrar.View()
	service := view.Table.Services[j.Service]
	if service == nil || service.Origin != nil {
		return nil, &RefusedError{Reason: "service unknown"}
	}
	if service.Engine == nil {
		return p.placeAtService(view, j)
	}
	began := p.Clock.Now()
	held := time.Duration(heldShare * float64(j.Route.Objective))
	if j.Again {
		held = againHeld
	}
	for {
		place, err := p.placeAtEngine(ctx, p.Registrar.View(), service.Engine, j)
		if err == nil || ctx.Err() != nil || p.late(j) || p.Clock.Since(began)+heldPause > held {
			return place, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.Clock.After(heldPause):
		}
	}
}

// eligible lists the upstreams to which the request may go by what is known of
// them and by what route and workspace allow.
func (p *Placer) eligible(view *registrar.View, j *Job) []*registrar.UpstreamView {
	var us []*registrar.UpstreamView
	for _, u := range view.Service(j.Service) {
		if u.Leaving || view.Drained(u.FailureDomain) || slices.Contains(j.Tried, u.ID) || !p.permitted(u, j) {
			continue
		}
		us = append(us, u)
	}
	return us
}

func (p *Placer) permitted(u *registrar.UpstreamView, j *Job) bool {
	region := p.Regions[u.FailureDomain]
	return matcher.Permits(j.Route.Regions, region) && (j.Workspace == nil || matcher.Permits(j.Workspace.Regions, region))
}

// order sorts upstreams by promise. The model is that which engines should hold; empty
// for plain services.
func (p *Placer) order(us []*registrar.UpstreamView, model string) []*registrar.UpstreamView {
	byID := make(map[string]*registrar.UpstreamView, len(us))
	candidates := make([]scheduler.Candidate, 0, len(us))
	for _, u := range us {
		byID[u.ID] = u
		candidates = append(candidates, scheduler.Candidate{
			ID: u.ID, Distance: p.distance(u), Slots: u.Slots, Empty: model != "" && u.Holds(model) == 0,
		})
	}
	ordered := make([]*registrar.UpstreamView, 0, len(us))
	for _, c := range p.Chooser.Order(candidates) {
		ordered = append(ordered, byID[c.ID])
	}
	return ordered
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
	us := p.order(p.eligible(view, j), "")
	if len(us) == 0 {
		return nil, &RefusedError{Reason: "no upstream", RetryAfter: busyRetry}
	}
	for _, u := range us {
		if !p.coldPass(view, u) {
			continue
		}
		p.Chooser.Begin(u.ID)
		return &Place{Upstream: u, started: func() {}, ended: func() { p.Chooser.End(u.ID) }}, nil
	}
	return nil, &RefusedError{Reason: "all upstreams cold", RetryAfter: busyRetry}
}

// coldPass tells whether an upstream without an agent may get one more request now. A
// cold one bears only so many a second from all entries together; each takes its part,
// and leaves a third for those that it does not know of.
func (p *Placer) coldPass(view *registrar.View, u *registrar.UpstreamView) bool {
	service := view.Table.Services[u.Service]
	if service == nil || service.ColdRate <= 0 || !p.Clock.Now().Before(u.ColdUntil) {
		return true
	}
	return p.Chooser.ColdPass(u.ID, coldPart*service.ColdRate/float64(max(leastSharers, len(view.Members))))
}

// placeAtEngine asks the agents of the most promising engines: first for a short
// wait, then for any that the objective allows.
func (p *Placer) placeAtEngine(ctx context.Context, view *registrar.View, e *matcher.Engine, j *Job) (*Place, error) {
	us := p.order(p.eligible(view, j), j.Model)
	if len(us) == 0 {
		return nil, &RefusedError{Reason: "no upstream", RetryAfter: busyRetry}
	}
	began := p.Clock.Now()
	patience := p.patience(e, j)
	free := time.Duration(0)
	var waits []engineWait
	for i, u := range us {
		if p.askedLongEnough(j, began) {
			break
		}
		if full := p.Chooser.FullFor(u.ID, p.late(j)); full > 0 {
			free = least(free, full)
			continue
		}
		limit := patience
		if i < firstAsked {
			limit = min(goodWait, patience)
		}
		place, v := p.ask(ctx, view, u, j, limit)
		if place != nil {
			return place, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if v == nil {
			continue
		}
		if v.Closed != "" {
			p.Chooser.Full(u.ID, false, closedPause)
			continue
		}
		free = least(free, v.Free())
		room := v.Wait() <= patience && v.Active < v.Slots
		if !room || limit == patience {
			p.noteFull(u.ID, j, v.Free())
			continue
		}
		waits = append(waits, engineWait{u, v.Wait()})
	}
	slices.SortFunc(waits, func(a, b engineWait) int { return int(a.wait - b.wait) })
	for _, w := range waits {
		place, v := p.ask(ctx, view, w.upstream, j, patience)
		if place != nil {
			return place, nil
		}
		if v != nil && v.Closed == "" {
			p.noteFull(w.upstream.ID, j, v.Free())
		}
	}
	return nil, &RefusedError{Reason: "all engines full", RetryAfter: max(free, busyRetry)}
}

// askedLongEnough tells whether a request should be refused rather than ask on. Agents
// that are dead or behind a full link each take askTimeout; a caller that waits for
// several of them in turn only hears later that there is no place.
func (p *Placer) askedLongEnough(j *Job, began time.Time) bool {
	limit := time.Duration(askedShare * float64(j.Route.Objective))
	return limit > 0 && p.Clock.Since(began) > max(limit, leastAsked)
}

// engineWait is an engine that would have had the request wait.
type engineWait struct {
	upstream *registrar.UpstreamView
	wait     time.Duration
}

// noteFull keeps that an engine has no place, or none to spare.
func (p *Placer) noteFull(id string, j *Job, free time.Duration) {
	if p.late(j) {
		p.Chooser.Full(id, true, min(free, sparePause))
		return
	}
	p.Chooser.Full(id, false, min(free, fullPause))
}

// least is the shorter of two times; 0 is none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// late tells whether a request can't be answered within its objective any more.
func (p *Placer) late(j *Job) bool {
	if j.Again {
		return false
	}
	return j.Returned || j.Route.Objective > 0 && p.Clock.Since(j.Arrived)+firstEventTime > j.Route.Objective
}

// patience is how long a request may wait before its prompt is read and still be
// answered within its objective. Its own reading is not taken off in full: long
// prompts would never be served under load.
func (p *Placer) patience(e *matcher.Engine, j *Job) time.Duration {
	if j.Again {
		return maxPatience
	}
	if p.late(j) {
		return goodWait
	}
	left := j.Route.Objective - p.Clock.Since(j.Arrived) - firstEventTime - scheduler.ReadTime(e, min(j.Prompt, e.UsualPrompt))
	return min(max(left, leastPatience), maxPatience)
}

// ask asks the agent beside an engine for a place. The verdict is nil when the agent
// did not answer; the place then is a share of what the engine bears.
func (p *Placer) ask(ctx context.Context, view *registrar.View, u *registrar.UpstreamView, j *Job, patience time.Duration) (*Place, *messenger.Verdict) {
	if p.Chooser.Silent(u.ID) {
		return p.unasked(view, u, j), nil
	}
	a := netip.AddrPortFrom(u.Address.Addr(), p.AgentPort)
	c := p.agent(a)
	v, err := c.Reserve(ctx, messenger.Reservation{
		Request: j.ID, Upstream: u.ID, Model: j.Model, Prompt: j.Prompt, Answer: j.Answer(), Spare: p.late(j),
		PatienceMS: patience.Milliseconds(), LeftMS: j.Deadline.Sub(p.Clock.Now()).Milliseconds(),
	})
	if ctx.Err() != nil {
		return nil, nil
	}
	if err != nil {
		p.Chooser.Silence(u.ID, silentFor)
		klog.InfoS("Agent silent", "upstream", u.ID, "request", j.ID, "err", err)
		return p.unasked(view, u, j), nil
	}
	p.Chooser.Heard(u.ID, v.Wait(), load(v))
	if !v.Granted {
		return nil, &v
	}
	if j.Version != 0 && v.Version != j.Version {
		p.tell(c, messenger.Progress{Ended: []string{j.ID}})
		return nil, &v
	}
	p.Chooser.Begin(u.ID)
	return &Place{
		Upstream: u, Wait: v.Wait(), Active: v.Active, Version: j.Version,
		started: func() { p.tell(c, messenger.Progress{Started: []string{j.ID}}) },
		ended: func() {
			p.Chooser.End(u.ID)
			p.tell(c, messenger.Progress{Ended: []string{j.ID}})
		},
	}, &v
}

// load is the share of an engine's places that are taken; a closed one has none.
func load(v messenger.Verdict) float64 {
	if v.Slots == 0 {
		return closedLoad
	}
	return float64(v.Active) / float64(v.Slots)
}

// closedLoad puts engines that take nothing behind all others.
const closedLoad = 3

// unasked gives a place at an engine whose agent is silent, within this entry's
// share of what the engine bears.
func (p *Placer) unasked(view *registrar.View, u *registrar.UpstreamView, j *Job) *Place {
	named, ok := view.Weights(j.Model)
	version := j.Version
	if ok && p.Clock.Since(named.Learned) > p.WeightsBound/2 {
		version = named.Version
	}
	if held := u.Holds(j.Model); held == 0 || version != 0 && held != version {
		return nil
	}
	share := max(1, int(unaskedShare*float64(u.Slots)/float64(max(1, len(view.Members)))))
	if p.Chooser.Running(u.ID) >= share || p.Chooser.Avoided(u.ID) || !p.coldPass(view, u) {
		return nil
	}
	p.Chooser.Begin(u.ID)
	return &Place{Upstream: u, Version: version, started: func() {}, ended: func() { p.Chooser.End(u.ID) }}
}

func (p *Placer) agent(a netip.AddrPort) *messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agents == nil {
		p.agents = map[netip.AddrPort]*messenger.Client{}
	}
	c := p.agents[a]
	if c == nil {
		c = p.Dial(a)
		c.Timeout = askTimeout
		p.agents[a] = c
	}
	return c
}

// tell sends progress without holding up the caller's reply. It is lost when the
// agent can't be reached; the engine's own count then shows what runs.
func (p *Placer) tell(c *messenger.Client, progress messenger.Progress) {
	go func() {
		if err := c.Tell(context.Background(), progress); err != nil {
			klog.V(1).InfoS("Progress not told", "agent", c.Address, "err", err)
		}
	}()
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
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.agents {
		if !used[a] {
			c.Close()
			delete(p.agents, a)
		}
	}
}
