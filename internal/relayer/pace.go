package relayer

import (
	"math"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// hintWeight is how much of an answer's length, in the logarithm, is taken from its hint; the rest is the usual
	// length. Lengths are spread by 0.76 in the logarithm where their standard deviation is 0.9 of the mean, and
	// hints by 0.5 around them, so that long hints mostly belong to shorter answers.
	hintWeight = 0.7
	// leastRest is the part of the expected answer that a stream still has to come at least, however long it is: of
	// answers spread as above that are as long as hinted, or up to twice as long, half have that much left.
	leastRest = 0.4
	// halfFull is the part of an engine's slots that the predictions of an entry assume to be taken.
	halfFull = 0.5
)

// size is a job's size at an engine, in tokens, without what has been delivered of its answer. Expected is 0 if nobody
// knows how long the answer is.
func (j *Job) size(e *matcher.Engine) (prompt, answer, expected int) {
	if !j.predicted {
		return j.Prompt, j.Answer(), 0
	}
	delivered := j.delivered * max(1, e.Stride)
	prompt, answer = j.Prompt+delivered, j.remaining(j.Answer(), delivered)
	if j.Hint > 0 && j.LastEvent == "" {
		expected = j.remaining(j.expected(e), delivered)
	}
	return prompt, answer, expected
}

// expected is how long the whole answer should be by its hint.
func (j *Job) expected(e *matcher.Engine) int {
	expected := float64(j.Hint)
	if e.UsualAnswer > 0 {
		expected = math.Pow(expected, hintWeight) * math.Pow(float64(e.UsualAnswer), 1-hintWeight)
	}
	if j.MaxAnswer > 0 {
		expected = min(expected, float64(j.MaxAnswer))
	}
	return max(1, int(expected))
}

// remaining is how much is still to come of an answer of an expected size.
func (j *Job) remaining(expected, delivered int) int {
	if delivered == 0 {
		return expected
	}
	rest := max(expected-delivered, int(leastRest*float64(expected)))
	if j.MaxAnswer > 0 {
		rest = min(rest, j.MaxAnswer-delivered)
	}
	return max(1, rest)
}

// unevenServices are the services of which an upstream has stated a pace: a momentary one in a reply, or that it works
// slower than its figures. The zero value is ready for use by several goroutines.
type unevenServices struct{ known sync.Map }

func (s *unevenServices) add(service string) {
	if !s.has(service) {
		s.known.Store(service, true)
	}
}

func (s *unevenServices) has(service string) bool {
	_, ok := s.known.Load(service)
	return ok
}

// predicts tells whether the ends of a service's streams are predicted, and acted on. Without priorities and with
// engines that work by their figures, streams are placed by load and distance alone.
func (p *Placer) predicts(s *matcher.Service) bool { return s.Prioritized || p.uneven.has(s.Name) }

// NotePace notes the momentary pace that the reply at a place states; 0 for none.
func (l *Relayer) NotePace(place *Place, factor float64) {
	if factor <= 0 {
		return
	}
	l.Placer.uneven.add(place.Upstream.Service)
	place.pace = scheduler.Momentary{Factor: factor, At: l.Clock.Now()}
	l.Chooser.Paced(place.Upstream.ID, factor)
}

// notePaceOf is NotePace for a reply that comes from the upstream for sure.
func (c *call) notePaceOf(place *Place, r *Reply) {
	if r.Sealed && r.ID == c.ID {
		c.NotePace(place, r.Pace)
	}
}

// statedPace is the pace that the reply at the place stated, for the agent; nil for none.
func (p *Place) statedPace(now time.Time) *messenger.MomentaryPace {
	if p.pace.Factor == 0 {
		return nil
	}
	return &messenger.MomentaryPace{Pace: messenger.InHundredths(p.pace.Factor), AgeMS: now.Sub(p.pace.At).Milliseconds()}
}

// notePace notes the pace of an engine that its agent stated.
func (p *Placer) notePace(u *registrar.UpstreamView, v *messenger.Decision) {
	var m scheduler.Momentary
	if v.Momentary != nil {
		m = scheduler.Momentary{Factor: v.Momentary.Pace.Factor(), At: p.Chooser.Clock.Now().Add(-v.Momentary.Age())}
	}
	if m.Factor > 0 || v.Pace.Factor() > 1 {
		p.uneven.add(u.Service)
	}
	p.Chooser.Reported(u.ID, v.Pace.Factor(), m)
}

// work is what a job needs at an engine of the normal pace.
func (p *Placer) work(e *matcher.Engine, j *Job) scheduler.Work {
	prompt, _, expected := j.size(e)
	writing := max(1, int(halfFull*float64(e.Slots)))
	w := scheduler.Work{
		First: scheduler.ReadTime(e, prompt) + scheduler.PassTime(e, writing),
		Left:  j.Deadline.Sub(p.Clock.Now()),
	}
	if expected > 0 {
		w.Whole = w.First + time.Duration(expected)*scheduler.StepTime(e, writing)
	}
	return w
}

// checkCanEnd refuses a job that no engine could end in time, not even with a short answer and alone at one of the normal
// pace. Errors are *RefusedError.
func (p *Placer) checkCanEnd(e *matcher.Engine, j *Job) error {
	prompt, _, expected := j.size(e)
	if expected == 0 || p.Without.Has(ablator.DeadlineAdmission) {
		return nil
	}
	takes := scheduler.ReadTime(e, prompt) + time.Duration(scheduler.ShortAnswer*float64(expected)*float64(scheduler.StepTime(e, 1)))
	if takes <= j.Deadline.Sub(p.Clock.Now()) {
		return nil
	}
	return p.refuseLate(j)
}

// refuseLate is the refusal of a job that no engine could end within the time its caller has left.
func (p *Placer) refuseLate(j *Job) *RefusedError {
	return &RefusedError{Reason: "no engine could end it in time", RetryAfter: busyRetry, TooLate: true, Met: j.met}
}
