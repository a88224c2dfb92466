package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// PaceValidity is how long a momentary pace is valid: upstreams whose pace changes draw a new one about
	// that often.
	PaceValidity = 600 * time.Millisecond
	// maxPace bounds the effect of a single figure on a prediction.
	maxPace = 10.0
	// reportedPaceValidity is how long an entry relies on the pace that an agent stated for its engine's
	// report. With 58 engines of which one in seven is slow, an entry that asks each slow one again after 30 s
	// spends 3 in 100 of its requests on that; after 5 s it would be one in seven, as many as without any
	// figure.
	reportedPaceValidity = 30 * time.Second
	// endsLateCost ranks an engine at which the answer would end too late behind all that can end it in time.
	endsLateCost = 400 * time.Millisecond
	// ShortAnswerShare is the least part of the expected answer that a job must be able to end in time. The
	// hint is accurate at the median, with a standard deviation of 0.5 in the logarithm: one answer in six is
	// shorter than this part.
	ShortAnswerShare = 0.6
	// pauseShare is the part of the pause objective that may be predicted for running streams at an engine of
	// uneven pace. The rest is for prompts granted before the pause ends, and for a pace that changes
	// meanwhile. Of 0.45 to 1.0, 0.65 scores best in experiments/mixedPace.toml, and 0.55 and 0.65 in
	// unevenPace.toml.
	pauseShare = 0.65
)

// MomentaryPace is an upstream's slowdown at a moment, as one of its replies stated it. The zero value is the
// normal pace.
type MomentaryPace struct {
	Factor float64
	At     time.Time
}

// Stretch converts a duration d of work at the normal pace that starts at now. The factor decays to the normal
// pace over PaceValidity, so that a wrong or old one neither repels nor attracts requests for longer.
func (m MomentaryPace) Stretch(d time.Duration, now time.Time) time.Duration {
	if m.Factor <= 1 {
		return d
	}
	age := max(0, now.Sub(m.At))
	left := PaceValidity - age
	if left <= 0 {
		return d
	}
	factor := 1 + (min(m.Factor, maxPace)-1)*float64(left)/float64(PaceValidity)
	if slow := time.Duration(factor * float64(d)); slow <= left {
		return slow
	}
	return left + d - time.Duration(float64(left)/factor)
}

// update adopts a pace that was stated later than the current one.
func (m *MomentaryPace) update(factor float64, statedAt time.Time) {
	if factor > 0 && statedAt.After(m.At) {
		*m = MomentaryPace{Factor: factor, At: statedAt}
	}
}

// RecordPace records the engine's momentary pace that a reply stated; age is the age of the statement.
func (l *Ledger) RecordPace(factor float64, age time.Duration) {
	if l.Without.Has(ablator.PaceFeedback) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.momentary.update(factor, l.Clock.Now().Add(-max(0, age)))
}

// atCurrentPace scales a duration by the engine's figures to its current pace.
func (l *Ledger) atCurrentPace(d time.Duration) time.Duration {
	d = time.Duration(float64(d) * max(1, l.pace))
	if l.momentary.Factor <= 1 {
		return d
	}
	return l.momentary.Stretch(d, l.Clock.Now())
}

// endsLate reports whether a job that gets a slot is predicted to end after its caller has left, even with a
// short answer, which one answer in six has. Beyond the spare slots the expected answer has to end in time, as
// other jobs can use the slot better.
func (l *Ledger) endsLate(j Job, v *Decision) bool {
	if j.Expected <= 0 || l.Without.Has(ablator.DeadlineAdmission) {
		return false
	}
	expected := j.Expected
	j.Answer = max(1, int(ShortAnswerShare*float64(expected)))
	if v.Wait+l.duration(j, v.Active+1) > j.Left {
		return true
	}
	if v.Active < l.spareSlots() {
		return false
	}
	j.Answer = expected
	return v.Wait+l.duration(j, v.Active+1) > j.Left
}

// pauseExcess is by how much the reading of a job's prompt would exceed the pause limit of the streams at an
// engine of uneven pace; 0 if it doesn't. At the normal pace the bound on the wait before the reading keeps
// pauses short. A prompt whose reading alone exceeds the limit is admitted where it would be read at once at
// the normal pace: otherwise every engine would refuse the longest prompts.
func (l *Ledger) pauseExcess(j Job, v *Decision) time.Duration {
	uneven := l.pace > 1 || !l.momentary.At.IsZero()
	if !uneven || j.Pause <= 0 || v.Active == 0 || l.Without.Has(ablator.PauseLimit) {
		return 0
	}
	pass := PassTime(l.engine, v.Active)
	reading := l.nominalReadTime(j) + pass
	limit := max(time.Duration(pauseShare*float64(j.Pause)), reading+pass)
	return max(0, v.Wait+l.atCurrentPace(reading)-limit)
}

// spareSlots is how many of the engine's slots may be in use before it has none to spare.
func (l *Ledger) spareSlots() int { return max(1, int(spareShare*float64(l.engine.Slots))) }

// Work is a request's work at an upstream of normal pace.
type Work struct {
	// First is how long its first event takes without a wait; 0 if unknown.
	First time.Duration
	// Whole is how long the expected answer takes, 0 if unknown, and Left how long its caller waits.
	Whole, Left time.Duration
}

// enginePace is an entry's view of the pace of one upstream.
type enginePace struct {
	// reported is the pace that the agent last stated for its engine's report, at reportedAt.
	reported   float64
	reportedAt time.Time
	momentary  MomentaryPace
}

// slowed converts a duration d of work at the normal pace to the upstream's pace.
func (p *enginePace) slowed(d time.Duration, now time.Time) time.Duration {
	if p.reported > 1 && now.Sub(p.reportedAt) < reportedPaceValidity {
		d = time.Duration(float64(d) * min(p.reported, maxPace))
	}
	return p.momentary.Stretch(d, now)
}

// cost is the penalty of the pace as waiting time.
func (p *enginePace) cost(w *Work, now time.Time) time.Duration {
	if p.reported <= 1 && p.momentary.Factor <= 1 {
		return 0
	}
	first := w.First
	if first == 0 {
		// An upstream twice as slow counts as one whose slots are all taken.
		first = fullCost
	}
	cost := p.slowed(first, now) - first
	if w.Left > 0 && w.Whole <= w.Left && p.slowed(w.Whole, now) > w.Left {
		cost += endsLateCost
	}
	return cost
}

// RecordReportedPace records what an agent stated for its engine: the pace that its report states, 0 for the
// normal one, and the one that replies stated.
func (c *Chooser) RecordReportedPace(id string, pace float64, m MomentaryPace) {
	if c.Without.Has(ablator.PaceFeedback) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	u := c.upstreamAt(id, now)
	u.pace.reported, u.pace.reportedAt = pace, now
	u.pace.momentary.update(m.Factor, m.At)
}

// Slowed converts a duration d of work at the normal pace to an upstream's pace.
func (c *Chooser) Slowed(id string, d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	return c.upstreamAt(id, now).pace.slowed(d, now)
}

// RecordPace records the momentary pace that an upstream states in a reply.
func (c *Chooser) RecordPace(id string, factor float64) {
	if c.Without.Has(ablator.PaceFeedback) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.upstreamAt(id, now).pace.momentary.update(factor, now)
}
