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
	// regionCost is how much longer, in waiting time, an upstream of another region
	// is taken to need: its link is narrow, and all bytes over it are shared with
	// weights and news.
	regionCost = 40 * time.Millisecond
	// domainCost is the same for another failure domain of the region.
	domainCost = 5 * time.Millisecond
	// jitter spreads choices between upstreams that look alike. Entries would
	// otherwise all ask the first of them.
	jitter = 15 * time.Millisecond
	// fullCost is what a wholly taken batch adds to the wait: steps are longer and a
	// place may be missing by the time of the asking.
	fullCost = 120 * time.Millisecond
	// firstAvoid is how long an upstream is passed over after a failure; it doubles
	// with each further one up to maxAvoid.
	firstAvoid = 500 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// failureWeight is the share that the last outcome has in an upstream's failure
	// rate, and failureCost what a rate of one adds to its wait.
	failureWeight = 0.1
	failureCost   = 400 * time.Millisecond
	// emptyCost is added for an engine without weights. New ones come in numbers, idle as
	// far as anyone knows; asked first, they would each refuse, and the request with
	// them. The word is some hundred milliseconds old, so they are still asked last.
	emptyCost = 400 * time.Millisecond
	// silentCost is added while an upstream's agent does not answer: mostly the whole VM
	// is frozen or cut off, and the engine with it.
	silentCost = 500 * time.Millisecond
)

// Distance is how far an upstream is from this entry.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	ID string
	// StartedAt is its start; zero when unknown.
	StartedAt time.Time
	Distance  Distance
	// Slots is how many requests it runs at once; 0 when not told.
	Slots int
	// Empty engines were last heard to hold no weights.
	Empty bool
	// Agent tells that its load comes from an agent, and not only from its replies.
	Agent bool
	// Cold tells of an upstream without an agent that it has just started.
	Cold bool
}

// Chooser remembers what an entry met at each upstream. It is safe for concurrent
// use. Set the exported fields before use.
type Chooser struct {
	Clock  clock.PassiveClock
	Random *rand.Rand
	// Without are the mechanisms that an experiment switches off.
	Without ablator.Set
	// Sharers is among how many entries an upstream's slots are divided while it ramps; nil for one.
	Sharers func() int

	mu    sync.Mutex
	seen  map[string]*seen
	swept time.Time
	// rampsHeardUntil is the latest of all rampsUntil.
	rampsHeardUntil time.Time
}

// seen is what is known of one upstream.
type seen struct {
	// startedAt is the start that all this was met at; zero when unknown.
	startedAt time.Time
	// wait and active were told at the time heard; closed upstreams took nothing.
	wait   time.Duration
	active float64
	heard  time.Time
	// fullUntil is when there may be a place again at one that had none, and
	// unsparingUntil when it may have one to spare.
	fullUntil, unsparingUntil time.Time
	// closed is why it took nothing at all then; empty when it was full. Opens is when it should take
	// requests; zero when that isn't known.
	closed string
	opens  time.Time
	// running are this entry's own requests there.
	running  int
	failures int
	// stalled tells that it is passed over for a silence only.
	stalled bool
	// failing is the smoothed share of attempts that failed.
	failing    float64
	avoidUntil time.Time
	// silentUntil is how long its agent isn't asked; processGone tells that its VM said that
	// nobody listens there, alive when a reply from the upstream last went on.
	silentUntil time.Time
	processGone bool
	// silences is how often its agent was found silent since its last answer; probing tells that a request asks it
	// again.
	silences int
	probing  bool
	alive    time.Time
	used     time.Time
	pace     enginePace
	cold     rateTurn
	limited  rateTurn
	ramped
}

// forgetAfter is how long nothing may be heard of an upstream before it is
// forgotten.
const forgetAfter = time.Minute

func (c *Chooser) of(id string) *seen { return c.at(id, c.Clock.Now()) }

func (c *Chooser) at(id string, now time.Time) *seen {
	if c.seen == nil {
		c.seen = map[string]*seen{}
	}
	s := c.seen[id]
	if s == nil {
		s = &seen{cold: rateTurn{phase: c.Random.Float64()}}
		s.limited.phase = c.Random.Float64()
		c.seen[id] = s
	}
	s.used = now
	return s
}

// Order sorts candidates, the most promising first. Those that failed just now come
// last, as nothing else may be left.
func (c *Chooser) Order(candidates []Candidate) []Candidate {
	ordered := make([]Candidate, 0, len(candidates))
	r := c.Rank(candidates)
	for i, ok := r.Next(); ok; i, ok = r.Next() {
		ordered = append(ordered, candidates[i])
	}
	return ordered
}

// Rank is RankFor a request of which nothing is known.
func (c *Chooser) Rank(candidates []Candidate) *Ranking { return c.RankFor(candidates, Work{}) }

// RankFor prepares the order of candidates. Mostly the first is taken, and the rest need not be
// sorted.
func (c *Chooser) RankFor(candidates []Candidate, w Work) *Ranking {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	r := &Ranking{left: make([]scored, 0, len(candidates))}
	var known loads
	unknown, ramps := 0, false
	for i, k := range candidates {
		s := c.at(k.ID, now)
		c.restart(s, k.StartedAt)
		load := c.load(s, k, now)
		at := scored{index: i, avoided: now.Before(s.avoidUntil) || s.suspect(now), unknown: s.loadUnknown(k)}
		if at.unknown {
			unknown++
		} else {
			known.add(load)
		}
		at.cost = load + c.cost(s, k, now) + s.pace.cost(&w, now)
		r.left = append(r.left, at)
		ramps = ramps || s.rampDue(k, now)
	}
	if unknown > 0 {
		r.addUnknown(known.mean())
	}
	if ramps {
		c.holdBack(r.left, candidates, now)
	}
	heap.Init(&r.left)
	c.sweep(now)
	return r
}

// restart forgets what was met at an earlier start of an upstream that keeps its ID. Requests that run
// there still end, and count until then.
func (c *Chooser) restart(s *seen, startedAt time.Time) {
	if s.startedAt.Equal(startedAt) {
		return
	}
	if !s.startedAt.IsZero() {
		*s = seen{running: s.running, used: s.used, cold: rateTurn{phase: s.cold.phase}}
		s.limited.phase = c.Random.Float64()
	}
	s.startedAt = startedAt
}

// load is how long a request would wait there for others, as far as this entry can tell; for an unknown load, for this
// entry's own.
func (c *Chooser) load(s *seen, k Candidate, now time.Time) time.Duration {
	cost, active := time.Duration(0), 0.0
	if !c.Without.Has(ablator.LoadFeedback) && !s.loadUnknown(k) {
		cost, active = max(0, s.wait-now.Sub(s.heard)), s.active
	}
	if k.Slots > 0 {
		active = max(active, float64(s.running)/float64(k.Slots))
	}
	return cost + time.Duration(active*float64(fullCost))
}

// cost is how much longer than by its load a request would wait there.
func (c *Chooser) cost(s *seen, k Candidate, now time.Time) time.Duration {
	cost := time.Duration(s.failing * c.failureDecay(s, k, now) * float64(failureCost))
	if k.Empty {
		cost += emptyCost
	}
	if now.Before(s.silentUntil) {
		cost += silentCost
	}
	if !c.Without.Has(ablator.Locality) {
		cost += k.Distance.cost()
	}
	if c.Without.Has(ablator.TieBreaking) {
		return cost
	}
	return cost + time.Duration(c.Random.Int64N(int64(jitter)))
}

// cost is the distance in waiting time.
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

// sweepEvery is how often upstreams to forget are looked for. Each look goes over all that
// are known, which would cost a decision as much as ranking them.
const sweepEvery = time.Second

func (c *Chooser) sweep(now time.Time) {
	if now.Sub(c.swept) < sweepEvery {
		return
	}
	c.swept = now
	for id, s := range c.seen {
		if s.running == 0 && now.Sub(s.used) > forgetAfter {
			delete(c.seen, id)
		}
	}
}

// Heard notes an upstream's load, and that it answered: the wait before a prompt is read, and the share
// of its places that are taken.
func (c *Chooser) Heard(id string, wait time.Duration, active float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	s.wait, s.active, s.heard = wait, active, c.Clock.Now()
	s.answered()
}

// Full notes that an upstream has no place for so long, or none to spare. Until then
// it isn't asked: under more load than all can bear, each refusal would otherwise
// cost a question to every engine, and the caller's time.
func (c *Chooser) Full(id string, spare bool, free time.Duration) {
	if c.Without.Has(ablator.FullBackoff) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.Clock.Now().Add(free)
	if spare {
		c.of(id).unsparingUntil = until
		return
	}
	s := c.of(id)
	s.fullUntil, s.closed, s.opens = until, "", time.Time{}
}

// Closed notes that an upstream takes nothing, and why; it isn't asked for so long. Opens is in how
// long it should take requests; 0 when that isn't known.
func (c *Chooser) Closed(id, why string, d, opens time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.of(id), c.Clock.Now()
	s.fullUntil, s.closed, s.opens = now.Add(d), why, time.Time{}
	if opens > 0 {
		s.opens = now.Add(opens)
	}
}

// Opens is in how long a closed upstream should take requests; 0 when that isn't known.
func (c *Chooser) Opens(id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.of(id).opens.Sub(c.Clock.Now()))
}

// WhyClosed is why an upstream took nothing when it last had no place; empty when it was
// only full.
func (c *Chooser) WhyClosed(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).closed
}

// FullFor is how long an upstream is still taken to have no place, or none to spare.
func (c *Chooser) FullFor(id string, spare bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	until := s.fullUntil
	if spare && s.unsparingUntil.After(until) {
		until = s.unsparingUntil
	}
	return max(0, until.Sub(c.Clock.Now()))
}

// Begin and End count this entry's own requests at an upstream.
func (c *Chooser) Begin(id string) { c.add(id, 1) }

// BeginWithin counts one more of this entry's own requests at an upstream, unless that makes
// more than limit; 0 is none. Looked at and counted in two steps, requests of the same moment
// would all find room.
func (c *Chooser) BeginWithin(id string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	if limit > 0 && s.running >= limit {
		return false
	}
	s.running++
	return true
}

// End takes back what Begin counted.
func (c *Chooser) End(id string) { c.add(id, -1) }

func (c *Chooser) add(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(id).running += n
}

// Running is how many of this entry's requests are at an upstream.
func (c *Chooser) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).running
}

// Failed notes an attempt that the upstream did not answer well. Dead ones are
// passed over at once.
func (c *Chooser) Failed(id string, dead bool) {
	if c.Without.Has(ablator.FailureEjection) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	s.failing += failureWeight * (1 - s.failing)
	s.failedAt = c.Clock.Now()
	if s.ramp != nil {
		s.ramp.Bad(c.Clock.Now())
	}
	if !dead {
		return
	}
	s.stalled = false
	s.avoid(c.Clock.Now())
}

// Stalled notes that nothing more comes of a reply. Its upstream is passed over like one that failed, until it goes
// on with a reply.
func (c *Chooser) Stalled(id string) {
	if c.Without.Has(ablator.FailureEjection) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.of(id), c.Clock.Now()
	s.stalled = s.stalled || !now.Before(s.avoidUntil)
	s.avoid(now)
}

// avoid passes an upstream over, for longer each time.
func (s *seen) avoid(now time.Time) {
	s.avoidUntil = now.Add(min(firstAvoid<<min(s.failures, 10), maxAvoid))
	s.failures++
	s.ejected, s.ejectedAt = s.failures >= trialFailures, now
}

// resume notes that a reply went on.
func (s *seen) resume() {
	if s.stalled {
		s.stalled, s.failures, s.avoidUntil, s.ejected = false, 0, time.Time{}, false
	}
}

// Served notes an attempt that the upstream answered well.
func (c *Chooser) Served(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	s.failing -= failureWeight * s.failing
	s.resume()
	s.failures = 0
}

// ColdPass lets a request through to a cold upstream without an agent, within this
// entry's part of what it bears.
func (c *Chooser) ColdPass(id string, share RateShare) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).cold.pass(c.Clock.Now(), share)
}

// Avoid passes an upstream over for a while, such as one that said to be full.
func (c *Chooser) Avoid(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	s.stalled = false
	s.avoidUntil = c.Clock.Now().Add(d)
}

// aliveFor is for how long a sign of life counts: an engine at work sends each reply on
// every 0.05 to 0.1 s.
const aliveFor = 300 * time.Millisecond

// Alive notes that a reply of an upstream went on.
func (c *Chooser) Alive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	s.alive = c.Clock.Now()
	s.resume()
	s.judgeAlive()
}

// Lives tells whether an upstream whose agent is silent showed life just now.
func (c *Chooser) Lives(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(id)
	return s.processGone || c.Clock.Since(s.alive) < aliveFor
}

// Avoided tells whether an upstream is passed over now.
func (c *Chooser) Avoided(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Before(c.of(id).avoidUntil)
}
