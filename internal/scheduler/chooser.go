package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// regionCost is the penalty, as waiting time, of an upstream in another region: the link is narrow and also
	// carries weights and updates.
	regionCost = 40 * time.Millisecond
	// domainCost is the penalty of another failure domain of the region.
	domainCost = 5 * time.Millisecond
	// jitter spreads choices among upstreams that look alike. Without it all entries would ask the first one.
	jitter = 15 * time.Millisecond
	// fullCost is the penalty of a full batch: steps are longer, and no slot may be left when the reservation
	// arrives.
	fullCost = 120 * time.Millisecond
	// initialAvoid is how long an upstream is avoided after a failure; each further failure doubles it, up to
	// maxAvoid.
	initialAvoid = 500 * time.Millisecond
	maxAvoid     = 4 * time.Second
	// failureWeight is the weight of the last outcome in an upstream's failure rate, and failureCost the
	// penalty of a rate of one.
	failureWeight = 0.1
	failureCost   = 400 * time.Millisecond
	// emptyCost is the penalty of an engine without weights. New engines start in groups and look idle; if
	// ranked first, each would refuse in turn until the request itself is refused. The state is some hundred
	// milliseconds old, so they are still asked last.
	emptyCost = 400 * time.Millisecond
	// unresponsiveCost is the penalty while an upstream's agent doesn't respond: mostly the whole VM is
	// suspended or partitioned, and the engine with it.
	unresponsiveCost = 500 * time.Millisecond
)

// Distance is the network distance of an upstream from this entry.
type Distance int

// Distances in ascending order.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	ID string
	// StartedAt is when the upstream started; zero if unknown.
	StartedAt time.Time
	Distance  Distance
	// Slots is how many requests it runs at once; 0 if unknown.
	Slots int
	// Empty reports that the engine held no weights by its last report.
	Empty bool
	// Agent reports that its load is stated by an agent, not only by its replies.
	Agent bool
	// Cold reports that an upstream without an agent has just started.
	Cold bool
}

// Chooser keeps an entry's observations of each upstream and ranks candidates by them. It is safe for
// concurrent use. Set the exported fields before use.
type Chooser struct {
	Clock  clock.PassiveClock
	Random *rand.Rand
	// Without lists the mechanisms that an experiment disables.
	Without ablator.Set
	// Sharers returns the number of entries that share an upstream's slots while it ramps; nil means one.
	Sharers func() int

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	evictedAt time.Time
	// anyRampingUntil is the latest rampingUntil of all upstreams.
	anyRampingUntil time.Time
}

// upstreamState is an entry's state for one upstream.
type upstreamState struct {
	// startedAt is the start to which the state belongs; zero if unknown.
	startedAt time.Time
	// wait and active are the load received at loadAt; closed upstreams accepted nothing then.
	wait   time.Duration
	active float64
	loadAt time.Time
	// fullUntil is when a full upstream may have a free slot, spareFullUntil when it may have one to spare.
	fullUntil, spareFullUntil time.Time
	// closedReason is why it accepted nothing at all; empty if it was only full. opensAt is when it should
	// accept requests; zero if unknown.
	closedReason string
	opensAt      time.Time
	// closedLoadUntil is until when the load of a closed upstream counts; zero for one that was open.
	closedLoadUntil time.Time
	// running counts this entry's own requests there.
	running  int
	failures int
	// stalled reports that it is avoided only because a reply stalled.
	stalled bool
	// failureRate is the smoothed share of failed attempts.
	failureRate float64
	avoidUntil  time.Time
	// backoffUntil is until when its agent isn't asked. processGone reports that its VM refused the connection
	// because no process listens. progressAt is when a reply from the upstream last progressed.
	backoffUntil time.Time
	processGone  bool
	// unansweredCount is how often its agent failed to respond since its last answer; probing reports that a
	// request is asking it again.
	unansweredCount int
	probing         bool
	progressAt      time.Time
	usedAt          time.Time
	pace            enginePace
	cold            rateGate
	limited         rateGate
	upstreamRamp
}

// evictAfter is how long the state of an unused upstream is kept.
const evictAfter = time.Minute

func (c *Chooser) upstream(id string) *upstreamState { return c.upstreamAt(id, c.Clock.Now()) }

func (c *Chooser) upstreamAt(id string, now time.Time) *upstreamState {
	if c.upstreams == nil {
		c.upstreams = map[string]*upstreamState{}
	}
	u := c.upstreams[id]
	if u == nil {
		u = &upstreamState{cold: rateGate{phase: c.Random.Float64()}}
		u.limited.phase = c.Random.Float64()
		c.upstreams[id] = u
	}
	u.usedAt = now
	return u
}

// Order sorts candidates, the most promising first. Those that failed recently come last, as no others may be
// left.
func (c *Chooser) Order(candidates []Candidate) []Candidate {
	ordered := make([]Candidate, 0, len(candidates))
	r := c.Rank(candidates)
	for i, ok := r.Next(); ok; i, ok = r.Next() {
		ordered = append(ordered, candidates[i])
	}
	return ordered
}

// Rank is RankFor with an unknown request.
func (c *Chooser) Rank(candidates []Candidate) *Ranking { return c.RankFor(candidates, Work{}) }

// RankFor prepares the ranking of candidates. Mostly only the first is used, so the rest isn't sorted in
// advance.
func (c *Chooser) RankFor(candidates []Candidate, w Work) *Ranking {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	r := &Ranking{remaining: make([]rankedCandidate, 0, len(candidates))}
	var known loadAverage
	unknown, ramps := 0, false
	for i, k := range candidates {
		u := c.upstreamAt(k.ID, now)
		c.resetIfRestarted(u, k.StartedAt)
		load := c.load(u, k, now)
		at := rankedCandidate{index: i, avoided: now.Before(u.avoidUntil) || u.rankedLast(now), unknown: u.loadUnknown(k, now)}
		if at.unknown {
			unknown++
		} else {
			known.add(load)
		}
		at.cost = load + c.cost(u, k, now) + u.pace.cost(&w, now)
		r.remaining = append(r.remaining, at)
		ramps = ramps || u.rampDue(k, now)
	}
	if unknown > 0 {
		r.setUnknownLoads(known.mean())
	}
	if ramps {
		c.rankRampingLast(r.remaining, candidates, now)
	}
	heap.Init(&r.remaining)
	c.evictIdle(now)
	return r
}

// resetIfRestarted discards the state of an earlier start of an upstream that keeps its ID. Requests that run
// there still end, so they remain counted.
func (c *Chooser) resetIfRestarted(u *upstreamState, startedAt time.Time) {
	if u.startedAt.Equal(startedAt) {
		return
	}
	if !u.startedAt.IsZero() {
		*u = upstreamState{running: u.running, usedAt: u.usedAt, cold: rateGate{phase: u.cold.phase}}
		u.limited.phase = c.Random.Float64()
	}
	u.startedAt = startedAt
}

// load is how long a request would wait behind others, by what this entry has received; if the load is unknown,
// behind this entry's own requests.
func (c *Chooser) load(u *upstreamState, k Candidate, now time.Time) time.Duration {
	cost, active := time.Duration(0), 0.0
	if !c.Without.Has(ablator.LoadFeedback) && !u.loadUnknown(k, now) {
		cost, active = max(0, u.wait-now.Sub(u.loadAt)), u.active
	}
	if k.Slots > 0 {
		active = max(active, float64(u.running)/float64(k.Slots))
	}
	return cost + time.Duration(active*float64(fullCost))
}

// cost is the penalty of an upstream apart from its load.
func (c *Chooser) cost(u *upstreamState, k Candidate, now time.Time) time.Duration {
	cost := time.Duration(u.failureRate * c.failureDecay(u, k, now) * float64(failureCost))
	if k.Empty {
		cost += emptyCost
	}
	if now.Before(u.backoffUntil) {
		cost += unresponsiveCost
	}
	if !c.Without.Has(ablator.Locality) {
		cost += k.Distance.cost()
	}
	if c.Without.Has(ablator.TieBreaking) {
		return cost
	}
	return cost + time.Duration(c.Random.Int64N(int64(jitter)))
}

// cost is the penalty of a distance as waiting time.
func (d Distance) cost() time.Duration {
	switch d {
	case SameRegion:
		return domainCost
	case OtherRegion:
		return regionCost
	default:
		return 0
	}
}

// sweepInterval is the time between evictions of unused upstreams. An eviction visits all upstreams, which
// costs as much as ranking them.
const sweepInterval = time.Second

func (c *Chooser) evictIdle(now time.Time) {
	if now.Sub(c.evictedAt) < sweepInterval {
		return
	}
	c.evictedAt = now
	for id, u := range c.upstreams {
		if u.running == 0 && now.Sub(u.usedAt) > evictAfter {
			delete(c.upstreams, id)
		}
	}
}

// RecordLoad records an upstream's load and that its agent answered: the wait before a prompt is read, and the
// share of its slots in use.
func (c *Chooser) RecordLoad(id string, wait time.Duration, active float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.wait, u.active, u.loadAt, u.closedLoadUntil = wait, active, c.Clock.Now(), time.Time{}
	u.resetBackoff()
}

// RecordFull records that an upstream has no slot, or none to spare, for a time. Until then it isn't asked:
// under overload each refusal would otherwise cost a request to every engine, and the caller's time.
func (c *Chooser) RecordFull(id string, spare bool, free time.Duration) {
	if c.Without.Has(ablator.FullBackoff) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.Clock.Now().Add(free)
	if spare {
		c.upstream(id).spareFullUntil = until
		return
	}
	u := c.upstream(id)
	u.fullUntil, u.closedReason, u.opensAt = until, "", time.Time{}
}

// RecordClosed records that an upstream accepts nothing, and why; it isn't asked for the time d. Opens is in
// how long it should accept requests; 0 if unknown.
func (c *Chooser) RecordClosed(id, why string, d, opens time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, now := c.upstream(id), c.Clock.Now()
	u.fullUntil, u.closedReason, u.opensAt = now.Add(d), why, time.Time{}
	u.closedLoadUntil = now.Add(closedLoadValidity)
	if opens > 0 {
		u.opensAt = now.Add(opens)
		u.closedLoadUntil = u.opensAt
	}
}

// OpensIn is in how long a closed upstream should accept requests; 0 if unknown.
func (c *Chooser) OpensIn(id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.upstream(id).opensAt.Sub(c.Clock.Now()))
}

// ClosedReason is why an upstream accepted nothing when it last had no slot; empty if it was only full.
func (c *Chooser) ClosedReason(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream(id).closedReason
}

// FullFor is how long an upstream remains marked as having no slot, or none to spare.
func (c *Chooser) FullFor(id string, spare bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	until := u.fullUntil
	if spare && u.spareFullUntil.After(until) {
		until = u.spareFullUntil
	}
	return max(0, until.Sub(c.Clock.Now()))
}

// Begin counts one of this entry's own requests at an upstream.
func (c *Chooser) Begin(id string) { c.addRunning(id, 1) }

// TryBegin counts one more of this entry's own requests at an upstream unless that exceeds limit; 0 is no
// limit. With a separate check, concurrent requests would all find a free slot.
func (c *Chooser) TryBegin(id string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	if limit > 0 && u.running >= limit {
		return false
	}
	u.running++
	return true
}

// End reverses Begin.
func (c *Chooser) End(id string) { c.addRunning(id, -1) }

func (c *Chooser) addRunning(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(id).running += n
}

// Running is how many of this entry's requests run at an upstream.
func (c *Chooser) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream(id).running
}

// RecordFailure records a failed attempt. Dead upstreams are avoided at once.
func (c *Chooser) RecordFailure(id string, dead bool) {
	if c.Without.Has(ablator.FailureEjection) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.failureRate += failureWeight * (1 - u.failureRate)
	u.failedAt = c.Clock.Now()
	if u.ramp != nil {
		u.ramp.RecordBad(c.Clock.Now())
	}
	if !dead {
		return
	}
	u.stalled = false
	u.extendAvoidance(c.Clock.Now())
}

// RecordStall records that a reply makes no progress. Its upstream is avoided like a failed one until one of
// its replies progresses.
func (c *Chooser) RecordStall(id string) {
	if c.Without.Has(ablator.FailureEjection) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u, now := c.upstream(id), c.Clock.Now()
	u.stalled = u.stalled || !now.Before(u.avoidUntil)
	u.extendAvoidance(now)
}

// extendAvoidance avoids an upstream, longer with each failure.
func (u *upstreamState) extendAvoidance(now time.Time) {
	u.avoidUntil = now.Add(min(initialAvoid<<min(u.failures, 10), maxAvoid))
	u.failures++
	u.ejected, u.ejectedAt = u.failures >= failuresBeforeTrial, now
}

// endStall ends an avoidance that was due to a stall.
func (u *upstreamState) endStall() {
	if u.stalled {
		u.stalled, u.failures, u.avoidUntil, u.ejected = false, 0, time.Time{}, false
	}
}

// RecordSuccess records an attempt that the upstream answered well.
func (c *Chooser) RecordSuccess(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.failureRate -= failureWeight * u.failureRate
	u.endStall()
	u.failures = 0
}

// AllowCold reports whether a request may go to a cold upstream without an agent, within this entry's share of
// its rate.
func (c *Chooser) AllowCold(id string, share RateShare) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream(id).cold.allow(c.Clock.Now(), share)
}

// Avoid avoids an upstream for a time, such as one that reported to be full.
func (c *Chooser) Avoid(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.stalled = false
	u.avoidUntil = c.Clock.Now().Add(d)
}

// progressValidity is how long progress shows that an upstream is alive: a working engine sends part of each
// reply every 0.05 to 0.1 s.
const progressValidity = 300 * time.Millisecond

// RecordProgress records that a reply of an upstream progressed.
func (c *Chooser) RecordProgress(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.progressAt = c.Clock.Now()
	u.endStall()
	u.completeTrial()
}

// RecentlyAlive reports whether an upstream whose agent is unresponsive showed progress recently.
func (c *Chooser) RecentlyAlive(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	return u.processGone || c.Clock.Since(u.progressAt) < progressValidity
}

// Avoided reports whether an upstream is being avoided.
func (c *Chooser) Avoided(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Before(c.upstream(id).avoidUntil)
}
