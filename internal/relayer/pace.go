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
	// hintWeight is the weight of the hint in the logarithm of an answer's expected length; the
	// rest is that of the usual length. Lengths have a logarithmic spread of 0.76 where their
	// standard deviation is 0.9 of the mean, and hints one of 0.5 around them, so long hints mostly
	// belong to shorter answers.
	hintWeight = 0.7
	// minRemainingShare is the least part of the expected answer assumed to remain of a stream,
	// whatever its length: of answers spread as above that are as long as hinted, or up to twice as
	// long, half have that much left.
	minRemainingShare = 0.4
	// assumedOccupancy is the part of an engine's slots that an entry's predictions assume to be in
	// use.
	assumedOccupancy = 0.5
)

// tokenCounts returns a job's tokens at an engine, without the delivered part of its answer.
// Expected is 0 if the answer's length is unknown.
func (j *Job) tokenCounts(e *matcher.Engine) (prompt, answer, expected int) {
	if !j.predicted {
		return j.Prompt, j.ExpectedAnswer(), 0
	}
	delivered := j.delivered * max(1, e.Stride)
	prompt, answer = j.Prompt+delivered, j.remainingTokens(j.ExpectedAnswer(), delivered)
	if j.Hint > 0 && j.LastEvent == "" {
		expected = j.remainingTokens(j.expectedAnswer(e), delivered)
	}
	return prompt, answer, expected
}

// expectedAnswer is the expected length of the whole answer by its hint.
func (j *Job) expectedAnswer(e *matcher.Engine) int {
	expected := float64(j.Hint)
	if e.UsualAnswer > 0 {
		expected = math.Pow(expected, hintWeight) * math.Pow(float64(e.UsualAnswer), 1-hintWeight)
	}
	if j.MaxAnswer > 0 {
		expected = min(expected, float64(j.MaxAnswer))
	}
	return max(1, int(expected))
}

// remainingTokens is the part of an answer of an expected length that is still to be generated.
func (j *Job) remainingTokens(expected, delivered int) int {
	if delivered == 0 {
		return expected
	}
	remaining := max(expected-delivered, int(minRemainingShare*float64(expected)))
	if j.MaxAnswer > 0 {
		remaining = min(remaining, j.MaxAnswer-delivered)
	}
	return max(1, remaining)
}

// pacedServices are the services with an upstream that stated a pace: a momentary one in a reply,
// or one slower than its configured figures. The zero value is ready for use by several goroutines.
type pacedServices struct{ known sync.Map }

func (s *pacedServices) add(service string) {
	if !s.has(service) {
		s.known.Store(service, true)
	}
}

func (s *pacedServices) has(service string) bool {
	_, ok := s.known.Load(service)
	return ok
}

// predictsEnds reports whether the ends of a service's streams are predicted and acted on. Without
// priorities and with engines that work at their configured pace, load and distance alone place
// streams.
func (p *Placer) predictsEnds(s *matcher.Service) bool { return s.Prioritized || p.paced.has(s.Name) }

// RecordPace records the momentary pace stated by the reply at a place; 0 for none.
func (l *Relayer) RecordPace(place *Placement, factor float64) {
	if factor <= 0 {
		return
	}
	l.Placer.paced.add(place.Upstream.Service)
	place.replyPace = scheduler.MomentaryPace{Factor: factor, At: l.Clock.Now()}
	l.Chooser.RecordPace(place.Upstream.ID, factor)
}

// recordReplyPace is RecordPace for a reply that certainly comes from the upstream.
func (c *call) recordReplyPace(place *Placement, r *Reply) {
	if r.Sealed && r.ID == c.ID {
		c.RecordPace(place, r.Pace)
	}
}

// paceMessage returns the pace stated by the reply, for the agent; nil for none.
func (p *Placement) paceMessage(now time.Time) *messenger.MomentaryPace {
	if p.replyPace.Factor == 0 {
		return nil
	}
	return &messenger.MomentaryPace{Pace: messenger.InHundredths(p.replyPace.Factor), AgeMS: now.Sub(p.replyPace.At).Milliseconds()}
}

// recordAgentPace records the pace of an engine as stated by its agent.
func (p *Placer) recordAgentPace(u *registrar.UpstreamView, v *messenger.Decision) {
	var m scheduler.MomentaryPace
	if v.Momentary != nil {
		m = scheduler.MomentaryPace{Factor: v.Momentary.Pace.Factor(), At: p.Chooser.Clock.Now().Add(-v.Momentary.Age())}
	}
	if m.Factor > 0 || v.Pace.Factor() > 1 {
		p.paced.add(u.Service)
	}
	p.Chooser.RecordReportedPace(u.ID, v.Pace.Factor(), m)
}

// workFor estimates the time that a job needs at an engine of normal pace.
func (p *Placer) workFor(e *matcher.Engine, j *Job) scheduler.Work {
	prompt, _, expected := j.tokenCounts(e)
	active := max(1, int(assumedOccupancy*float64(e.Slots)))
	w := scheduler.Work{
		First: scheduler.ReadTime(e, prompt) + scheduler.PassTime(e, active),
		Left:  j.Deadline.Sub(p.Clock.Now()),
	}
	if expected > 0 {
		w.Whole = w.First + time.Duration(expected)*scheduler.StepTime(e, active)
	}
	return w
}

// checkCanEnd refuses a job that no engine could end in time, even with a short answer and alone at
// an engine of normal pace. Errors are *RefusedError.
func (p *Placer) checkCanEnd(e *matcher.Engine, j *Job) error {
	prompt, _, expected := j.tokenCounts(e)
	if expected == 0 || p.Without.Has(ablator.DeadlineAdmission) {
		return nil
	}
	needed := scheduler.ReadTime(e, prompt) + time.Duration(scheduler.ShortAnswerShare*float64(expected)*float64(scheduler.StepTime(e, 1)))
	if needed <= j.Deadline.Sub(p.Clock.Now()) {
		return nil
	}
	return p.refuseLate(j)
}

// refuseLate refuses a job that no engine could end within its caller's time limit.
func (p *Placer) refuseLate(j *Job) *RefusedError {
	return &RefusedError{Reason: "no engine could end it in time", RetryAfter: defaultRetryAfter, TooLate: true, Met: j.refusals}
}
