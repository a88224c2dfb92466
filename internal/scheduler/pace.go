package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// PaceSpan is for how long a momentary pace says anything of an upstream: those whose pace changes draw a
	// new one about that often.
	PaceSpan = 600 * time.Millisecond
	// maxPace bounds what a single figure does to a prediction.
	maxPace = 10.0
	// reportedSpan is for how long an entry goes by the pace that an agent stated for its engine's report. With 58
	// engines of which one in seven is slow, an entry that asks each slow one again after 30 s spends 3 in 100 of its
	// requests on that; after 5 s it were one in seven, as many as without any figure.
	reportedSpan = 30 * time.Second
	// lateCost ranks an engine at which the answer would end too late behind all that may end it in time.
	lateCost = 400 * time.Millisecond
	// ShortAnswer is the part of the expected answer that a job has to be able to end in time at least. The
	// hint is accurate at the median, with a standard deviation of 0.5 in the logarithm: one answer in six is
	// shorter than this part.
	ShortAnswer = 0.6
	// pauseShare is the part of the pause objective that may be predicted for those who write at an engine of uneven
	// pace. The rest is for prompts that are granted before the pause ends, and for a pace that changes meanwhile. Of 0.45 to
	// 1.0, 0.65 was worth most in experiments/mixedPace.toml, and 0.55 and 0.65 in unevenPace.toml.
	pauseShare = 0.65
)

// Momentary is by what factor an upstream was slower than normal at a moment, as one of its replies stated. The zero
// value is the normal pace.
type Momentary struct {
	Factor float64
	At     time.Time
}

// Stretch is how long work takes that takes d at the normal pace, if it begins now. The factor decays to the normal one
// over PaceSpan, so that a wrong or an old one neither keeps work away nor draws it for longer.
func (m Momentary) Stretch(d time.Duration, now time.Time) time.Duration {
	if m.Factor <= 1 {
		return d
	}
	age := max(0, now.Sub(m.At))
	left := PaceSpan - age
	if left <= 0 {
		return d
	}
	factor := 1 + (min(m.Factor, maxPace)-1)*float64(left)/float64(PaceSpan)
	if slow := time.Duration(factor * float64(d)); slow <= left {
		return slow
	}
	return left + d - time.Duration(float64(left)/factor)
}

// note takes over a pace that was stated later than the one known.
func (m *Momentary) note(factor float64, at time.Time) {
	if factor > 0 && at.After(m.At) {
		*m = Momentary{Factor: factor, At: at}
	}
}

// Paced notes the momentary pace of the engine that a reply stated so long ago.
func (l *Ledger) Paced(factor float64, age time.Duration) {
	if l.Without.Has(ablator.PaceFeedback) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.momentary.note(factor, l.Clock.Now().Add(-max(0, age)))
}

// scaled is how long work takes at the engine's pace that takes d by its figures.
func (l *Ledger) scaled(d time.Duration) time.Duration {
	d = time.Duration(float64(d) * max(1, l.pace))
	if l.momentary.Factor <= 1 {
		return d
	}
	return l.momentary.Stretch(d, l.Clock.Now())
}

// endsLate tells whether a job that gets a slot now is predicted to end after its caller has left: one in six would end in
// time where only a short answer does. Beyond the slots to spare the expected answer has to, as others can use the
// slot better.
func (l *Ledger) endsLate(j Job, v *Verdict) bool {
	if j.Expected <= 0 || l.Without.Has(ablator.DeadlineAdmission) {
		return false
	}
	expected := j.Expected
	j.Answer = max(1, int(ShortAnswer*float64(expected)))
	if v.Wait+l.duration(j, v.Active+1) > j.Left {
		return true
	}
	if v.Active < l.spareSlots() {
		return false
	}
	j.Answer = expected
	return v.Wait+l.duration(j, v.Active+1) > j.Left
}

// pauseExcess is by how much the pause that a job's reading makes for those who write at an engine of uneven pace would be
// too long; 0 if it isn't. At the normal pace the bound on the wait before the reading keeps pauses short. A prompt whose
// reading takes longer than that by itself is let in where it is read at once at the normal pace: the longest prompts
// would find no engine else.
func (l *Ledger) pauseExcess(j Job, v *Verdict) time.Duration {
	uneven := l.pace > 1 || !l.momentary.At.IsZero()
	if !uneven || j.Pause <= 0 || v.Active == 0 || l.Without.Has(ablator.PauseLimit) {
		return 0
	}
	pass := PassTime(l.engine, v.Active)
	reading := l.reading(j) + pass
	limit := max(time.Duration(pauseShare*float64(j.Pause)), reading+pass)
	return max(0, v.Wait+l.scaled(reading)-limit)
}

// spareSlots is up to how many requests the engine has slots to spare.
func (l *Ledger) spareSlots() int { return max(1, int(spareShare*float64(l.engine.Slots))) }

// Work is what a request needs at an upstream that works at the normal pace.
type Work struct {
	// First is how long its first event takes there once its turn has come; 0 when unknown.
	First time.Duration
	// Whole is how long the expected answer takes, 0 when unknown, and Left how long its caller waits.
	Whole, Left time.Duration
}

// enginePace is what an entry knows of the pace of one upstream.
type enginePace struct {
	// reported is the pace that an agent last stated for its engine's report, at reportedAt.
	reported   float64
	reportedAt time.Time
	momentary  Momentary
}

// slowed is how long work takes there that takes d at the normal pace.
func (p *enginePace) slowed(d time.Duration, now time.Time) time.Duration {
	if p.reported > 1 && now.Sub(p.reportedAt) < reportedSpan {
		d = time.Duration(float64(d) * min(p.reported, maxPace))
	}
	return p.momentary.Stretch(d, now)
}

// cost is how much longer a request takes there, as a waiting time.
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
		cost += lateCost
	}
	return cost
}

// Reported notes what an agent stated for its engine: the pace that its report states, 0 for the normal one, and the one
// that replies stated.
func (c *Chooser) Reported(id string, pace float64, m Momentary) {
	if c.Without.Has(ablator.PaceFeedback) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	s := c.at(id, now)
	s.pace.reported, s.pace.reportedAt = pace, now
	s.pace.momentary.note(m.Factor, m.At)
}

// Slowed is how long work takes at an upstream that takes d at the normal pace.
func (c *Chooser) Slowed(id string, d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	return c.at(id, now).pace.slowed(d, now)
}

// Paced notes the momentary pace that an upstream states in a reply.
func (c *Chooser) Paced(id string, factor float64) {
	if c.Without.Has(ablator.PaceFeedback) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.at(id, now).pace.momentary.note(factor, now)
}
