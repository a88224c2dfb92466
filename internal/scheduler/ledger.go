package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/observer"
)

// reservationGrace is how long a slot is held beyond its caller's time limit for a request whose end is never
// reported, for example because its entry was killed.
const reservationGrace = 500 * time.Millisecond

const (
	// OldWeightsMargin is how long after the weights' expiry a granted request may still start. Engines close
	// that much before the bound on old weights, the time that an ordinary granted request needs to start.
	OldWeightsMargin = 700 * time.Millisecond
	// OldWeights is why an engine whose weights have expired accepts nothing.
	OldWeights = "old weights"
	// UnconfirmedWeights is why an engine accepts nothing whose weights may have been superseded by an announcement
	// that its agent has not received.
	UnconfirmedWeights = "unconfirmed weights"
	// startMargin is the time to a granted request's first token beyond its predicted wait and reading. On a
	// recorded day nine in ten took up to 0.24 s; a full engine took 0.45 s, the network included.
	startMargin = 500 * time.Millisecond
)

// Job is a request for a slot.
type Job struct {
	ID string
	// Prompt and Answer are its size in tokens.
	Prompt, Answer int
	// MaxAnswer is the longest answer in tokens; 0 if not stated.
	MaxAnswer int
	// Expected is the expected length of its answer in tokens; 0 if unknown.
	Expected int
	// Spare marks jobs that are too late for their objective. They get a slot only while the engine has some to
	// spare: under overload each would make a job late that could still be in time.
	Spare bool
	// Patience is how long it may wait before its prompt is read, Left how long its
	// caller waits for the whole.
	Patience, Left time.Duration
	// Priority is from 0 for the most urgent to 9; nil at services where all jobs are equally urgent. The
	// fields below are set only with it.
	Priority *int
	// Workspace is the customer, Budget how long the job may wait at any engine.
	Workspace string
	Budget    time.Duration
	// Asked is how many engines were asked before, Refusals how many of the pool had no slot.
	Asked, Refusals int
	// Pause is the longest pause between two events that is on time; 0 for no limit.
	Pause time.Duration
	// Beyond is why the job may exceed the limit of a ramp.
	Beyond RampBypass
}

// Decision is the result of a job's reservation.
type Decision struct {
	Granted bool
	// Closed is why the engine accepts nothing at all; empty if it does.
	Closed string
	// Kept states for which jobs the free slots are kept; empty unless the job is refused for that.
	Kept string
	// Wait is how long the job waits before its prompt is read, if granted.
	Wait time.Duration
	// Takes is the predicted time to the job's end, its wait included.
	Takes time.Duration
	// Free is in how long a slot may be free, for a refused job; 0 for a closed engine that doesn't state when
	// it opens.
	Free time.Duration
	// Active counts the requests that hold slots, of Slots.
	Active, Slots int
	// Unreserved counts those of Active that the engine runs without a known reservation.
	Unreserved int
	// Observed is the age of the engine's last report of what it runs; negative for never.
	Observed time.Duration
	// BeginWithin is for how much longer the engine's weights may start replies, for a granted job; 0 for no
	// limit.
	BeginWithin time.Duration
	// EndsLate reports that the job can't end within the time its caller has left.
	EndsLate bool
	// Pace is the slowdown that the engine reports, Momentary the one that its replies state.
	Pace      float64
	Momentary MomentaryPace
	// Ramp is the state of the engine's slow start; nil outside one.
	Ramp *RampState
}

// Ledger assigns the slots of one engine. It makes bursts safe: without a common count all entries would see a
// free engine and send to it at once, and its prompts are read one after the other. It is safe for concurrent
// use. Set Clock before use.
type Ledger struct {
	Clock clock.PassiveClock
	// Expiry returns the expiry of the engine's weights, after which no job is granted; zero or a nil Expiry
	// means never. It is evaluated for each job because the agent only polls its engine: behind a partition or a
	// narrow link a poll may take long, and an agent that was suspended receives many changes at once. If only
	// a poll closed the engine, old weights would start replies after their expiry. It is called while the
	// ledger is locked.
	Expiry func() time.Time
	// ColdFactor and ColdSlack bound the requests to a cold engine in any second: a multiple of its rate, plus
	// a constant.
	ColdFactor, ColdSlack float64
	// Without lists the mechanisms that an experiment disables.
	Without ablator.Set

	mu           sync.Mutex
	engine       *matcher.Engine
	closedReason string
	// opensAt is when a closed engine is expected to accept jobs; zero if unknown.
	opensAt      time.Time
	reservations map[string]*reservation
	// unreserved is how many requests the engine runs beyond those reserved here.
	unreserved int
	// observedAt is when the engine last reported this number.
	observedAt time.Time
	// readUntil is when all prompts granted so far will have been read.
	readUntil time.Time
	// loadStart is when the engine stops serving to load new weights; zero for never.
	loadStart time.Time
	// coldRate is how many requests per second the engine can take until coldUntil; 0 for no limit.
	coldRate     float64
	coldUntil    time.Time
	recentGrants slidingWindow
	statedLimit  statedLimit
	// coldSince is when SetColdLimit was first called.
	coldSince time.Time
	// pace is the engine's slowdown against its figures; 1 is none.
	pace float64
	// trunk keeps slots for more urgent jobs.
	trunk trunkReservation
	// memoryTokens is how many tokens the engine can hold; 0 for no limit.
	memoryTokens int
	// momentary is the additional slowdown stated by recent replies.
	momentary MomentaryPace
	ramp      ledgerRamp
}

// reservation is a request that holds a slot.
type reservation struct {
	Job
	owner     any
	expiresAt time.Time
	started   bool
	// orphaned reports that the owner's connection has ended.
	orphaned bool
	// goodBy is the latest time at which its first event counts as good during a ramp; zero outside one.
	// evaluated reports that it has counted for the ramp.
	goodBy    time.Time
	evaluated bool
}

// Open admits jobs, by the figures of the engine.
func (l *Ledger) Open(e *matcher.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine, l.closedReason, l.opensAt = e, "", time.Time{}
	l.updateRamp(l.Clock.Now())
}

// Close refuses all jobs; why is stated in the refusals.
func (l *Ledger) Close(why string) { l.CloseUntil(why, time.Time{}) }

// CloseUntil is Close for an engine that is expected to open at a given time; zero if unknown.
func (l *Ledger) CloseUntil(why string, opens time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closedReason == "" {
		l.ramp.closedAt = l.Clock.Now()
	}
	l.closedReason, l.opensAt = why, opens
}

// Closed is why jobs are refused; empty while they are admitted.
func (l *Ledger) Closed() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.engine == nil || l.closedReason != "":
		return l.closeReason()
	case l.expired(l.Clock.Now()):
		return OldWeights
	default:
		return ""
	}
}

// OpenUntil admits only jobs that should end by t; zero admits all. An engine ends all its requests before it
// loads new weights. If it admitted long ones until then, it would run nearly idle while the last of them end.
func (l *Ledger) OpenUntil(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadStart = t
}

// SetColdLimit limits the requests per second until a given time. A cold engine crashes under a full load,
// which loses all its requests. Within a second of the first call the limit is what the bound allows beyond the
// rate: a killed agent may have granted the whole rate just before, and its successor has no record of that.
func (l *Ledger) SetColdLimit(rate float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.coldSince.IsZero() {
		l.coldSince = l.Clock.Now()
	}
	l.coldRate, l.coldUntil = rate, until
}

// SetStatedLimit adopts the engine's stated limit of requests per second. The newest statement counts,
// whichever entry forwards it.
func (l *Ledger) SetStatedLimit(limit observer.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.statedLimit.update(limit.Rate, now.Add(-limit.Age), now)
}

// Reset drops all reservations, as after a restart of the engine.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservations, l.unreserved, l.readUntil = nil, 0, time.Time{}
}

// Observe records the engine's own report: how many requests it runs and queues, and its pace. Requests without
// a reservation count from then on: those of an entry that could not reach this agent, or sent before this
// agent started.
func (l *Ledger) Observe(running int, pace float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.freeExpired(now)
	l.freeOrphans(len(l.reservations) - running)
	l.unreserved, l.observedAt = max(0, running-len(l.reservations)), now
	l.pace = max(1, pace)
}

// Reserve grants a slot or states why not. The owner is the connection on which the job arrived.
func (l *Ledger) Reserve(j Job, owner any) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.freeExpired(now)
	earlier, readUntil := l.reservations[j.ID], l.readUntil
	v := l.reserve(j, owner, now)
	if !v.Granted && earlier != nil && earlier.owner != owner {
		// Messages of different connections arrive in any order: this reservation may be the older one, and its
		// request run in the slot. Entries release slots that they don't use.
		l.reservations[j.ID], l.readUntil = earlier, readUntil
	}
	return v
}

// reserve is Reserve without the restoration of an earlier reservation after a refusal.
func (l *Ledger) reserve(j Job, owner any, now time.Time) Decision {
	if l.engine == nil || l.closedReason != "" {
		return Decision{Closed: l.closeReason(), Free: l.opensIn(now)}
	}
	if l.expired(now) {
		return Decision{Closed: OldWeights}
	}
	if l.reservations[j.ID] != nil {
		// The reply to an earlier reservation was lost, and its conditions may have changed since.
		delete(l.reservations, j.ID)
		l.lowerReadUntil()
	}
	v := Decision{
		Active: len(l.reservations) + l.unreserved, Slots: l.engine.Slots, Wait: max(0, l.readUntil.Sub(now)),
		Unreserved: l.unreserved, Observed: l.observedAgo(now), Pace: l.pace, Momentary: l.momentary,
	}
	v.Takes = v.Wait + l.duration(j, v.Active+1)
	l.trunk.recordArrival(&j, now)
	if wait, ok := l.queueWait(&j, &v); ok {
		v.Takes += wait - v.Wait
		v.Wait = wait
	} else if limit := l.slotLimit(j); v.Active >= limit {
		l.trunk.recordRefusal(&j, now)
		v.Free = l.atCurrentPace(SlotTurnaround(l.engine)) * time.Duration(v.Active-limit+1)
		return v
	}
	if !l.fitsMemory(j) {
		v.Free = l.atCurrentPace(SlotTurnaround(l.engine))
		return v
	}
	if v.EndsLate = l.endsLate(j, &v); v.EndsLate {
		return v
	}
	if !l.loadStart.IsZero() && now.Add(v.Takes).After(l.loadStart) {
		v.Free = max(0, l.loadStart.Sub(now)) + l.engine.Load
		return v
	}
	expiry := l.expiry()
	if starts := now.Add(v.Wait + l.firstTokenTime(j, v.Active+1)); !expiry.IsZero() && starts.After(expiry.Add(OldWeightsMargin)) {
		v.Free = max(0, expiry.Sub(now)) + l.engine.Load
		return v
	}
	if v.Free = l.pauseExcess(j, &v); v.Free > 0 {
		return v
	}
	if v.Wait > j.Patience && !l.Without.Has(ablator.QueueingBudget) {
		v.Free = v.Wait - j.Patience
		return v
	}
	if v.Kept = l.keptReason(&j, &v, now); v.Kept != "" {
		v.Free = l.atCurrentPace(SlotTurnaround(l.engine))
		return v
	}
	if l.rampRefuses(j, &v, now) {
		return v
	}
	if v.Free = l.coldWait(now); v.Free > 0 {
		return v
	}
	if !l.statedLimit.allow(now) {
		return Decision{Closed: RateLimited}
	}
	l.grant(j, owner, now)
	l.setGoodBy(l.reservations[j.ID], v.Wait, v.Active+1, now)
	v.Granted = true
	if !expiry.IsZero() {
		v.BeginWithin = expiry.Add(OldWeightsMargin).Sub(now)
	}
	v.Active++
	return v
}

// minOpensIn is stated for an engine that should have opened already.
const minOpensIn = 20 * time.Millisecond

// opensIn is in how long a closed engine should open; 0 if unknown.
func (l *Ledger) opensIn(now time.Time) time.Duration {
	if l.opensAt.IsZero() {
		return 0
	}
	return max(minOpensIn, l.opensAt.Sub(now))
}

// observedAgo is the age of the engine's last report; negative for never.
func (l *Ledger) observedAgo(now time.Time) time.Duration {
	if l.observedAt.IsZero() {
		return -1
	}
	return now.Sub(l.observedAt)
}

// coldWait is how long until a cold engine may get one more request; 0 for no wait.
func (l *Ledger) coldWait(now time.Time) time.Duration {
	if l.coldRate <= 0 || !now.Before(l.coldUntil) || l.Without.Has(ablator.ColdLimit) {
		return 0
	}
	rate := l.coldRate
	if now.Sub(l.coldSince) < rateWindow {
		rate = min(rate, (max(1, l.ColdFactor)-1)*rate+l.ColdSlack)
		if rate < 1 {
			return l.coldSince.Add(rateWindow).Sub(now)
		}
	}
	if wait, ok := l.recentGrants.check(now, rate); !ok {
		return wait
	}
	return 0
}

func (l *Ledger) expired(now time.Time) bool {
	t := l.expiry()
	return !t.IsZero() && now.After(t)
}

func (l *Ledger) expiry() time.Time {
	if l.Expiry == nil {
		return time.Time{}
	}
	return l.Expiry()
}

// firstTokenTime is how long after its wait a job's first token follows: its prompt is read, and a reply starts
// with its first token. A long prompt granted just before the weights' expiry would start after it.
func (l *Ledger) firstTokenTime(j Job, active int) time.Duration {
	return startMargin + l.atCurrentPace(l.nominalReadTime(j)+PassTime(l.engine, active))
}

// spareShare is the part of an engine's slots that spare jobs may fill. Beyond it steps are longer, and little
// is left for a burst.
const spareShare = 0.85

// slotLimit is how many requests may hold slots, the job included.
func (l *Ledger) slotLimit(j Job) int {
	if l.Without.Has(ablator.SlotLimit) {
		return math.MaxInt
	}
	if j.Spare && !l.Without.Has(ablator.LateShare) {
		return l.spareSlots()
	}
	return l.engine.Slots
}

func (l *Ledger) closeReason() string {
	if l.closedReason == "" {
		return "not ready"
	}
	return l.closedReason
}

func (l *Ledger) grant(j Job, owner any, now time.Time) {
	if l.reservations == nil {
		l.reservations = map[string]*reservation{}
	}
	l.recentGrants.record(now, l.coldRate)
	l.reservations[j.ID] = &reservation{Job: j, owner: owner, expiresAt: now.Add(j.Left + reservationGrace)}
	if l.readUntil.Before(now) {
		l.readUntil = now
	}
	l.readUntil = l.readUntil.Add(l.readDelay(j))
}

// readingShare is the part of an engine's time that reading takes from generation at a usual load.
const readingShare = 0.3

// duration is how long a job takes once its prompt is being read.
func (l *Ledger) duration(j Job, active int) time.Duration {
	answer := j.Answer
	if answer == 0 {
		answer = l.engine.UsualAnswer
	}
	write := time.Duration(float64(answer)*float64(StepTime(l.engine, active))/(1-readingShare)) + PassTime(l.engine, active)
	return l.atCurrentPace(l.nominalReadTime(j) + write)
}

// readDelay is by how much a job delays the reading of all prompts behind it.
func (l *Ledger) readDelay(j Job) time.Duration { return l.atCurrentPace(l.nominalReadTime(j)) }

// nominalReadTime is readDelay by the engine's figures. While other requests generate, each pass reads one
// chunk and takes its steps besides.
func (l *Ledger) nominalReadTime(j Job) time.Duration {
	read := ReadTime(l.engine, j.Prompt)
	if writing := len(l.reservations) + l.unreserved; writing > 0 && l.engine.Chunk > 0 {
		passes := float64(j.Prompt) / float64(l.engine.Chunk)
		read += time.Duration(passes * float64(PassTime(l.engine, min(writing, l.engine.Slots))))
	}
	return read
}

// Started records a request's first event: its prompt has been read.
func (l *Ledger) Started(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.reservations[id]; r != nil && !r.started {
		r.started = true
		l.evaluateStart(r, l.Clock.Now())
		l.lowerReadUntil()
	}
}

// Ended frees a request's slot.
func (l *Ledger) Ended(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[id] != nil {
		delete(l.reservations, id)
		l.lowerReadUntil()
	}
}

// ConnectionLost records that an owner's connection has ended, and returns how many slots were granted over it.
// Its requests may still run, as when only the connection failed, so the slots stay taken until the engine runs
// fewer requests: if freed at once, they would go to jobs that wait for longer than predicted and start after
// their weights' expiry.
func (l *Ledger) ConnectionLost(owner any) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	orphaned := 0
	for _, r := range l.reservations {
		if r.owner == owner {
			r.orphaned = true
			orphaned++
		}
	}
	return orphaned
}

// freeOrphans frees up to limit slots whose owner's connection has ended, those whose callers have the least
// time left first.
func (l *Ledger) freeOrphans(limit int) {
	var orphans []*reservation
	for _, r := range l.reservations {
		if r.orphaned {
			orphans = append(orphans, r)
		}
	}
	if limit <= 0 || len(orphans) == 0 {
		return
	}
	slices.SortFunc(orphans, func(a, b *reservation) int {
		return cmp.Or(a.expiresAt.Compare(b.expiresAt), strings.Compare(a.ID, b.ID))
	})
	for _, r := range orphans[:min(limit, len(orphans))] {
		delete(l.reservations, r.ID)
	}
	l.lowerReadUntil()
}

// lowerReadUntil lowers readUntil to what is still unread. Overestimates would otherwise accumulate and close
// an engine that has capacity.
func (l *Ledger) lowerReadUntil() {
	if l.engine == nil {
		return
	}
	unread := l.Clock.Now()
	for _, r := range l.reservations {
		if !r.started {
			unread = unread.Add(l.readDelay(r.Job))
		}
	}
	if unread.Before(l.readUntil) {
		l.readUntil = unread
	}
}

// freeExpired frees slots whose callers' time limits have passed.
func (l *Ledger) freeExpired(now time.Time) {
	for id, r := range l.reservations {
		if now.After(r.expiresAt) {
			delete(l.reservations, id)
		}
	}
}
