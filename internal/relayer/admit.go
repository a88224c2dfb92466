package relayer

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

// Admit completes a job whose request, route and workspace are set: with the target service,
// whether its caller was refused before, its priority and its deadline.
func (l *Relayer) Admit(j *Job) {
	l.mu.Lock()
	j.Service = j.Route.Target(l.Random.Float64())
	l.mu.Unlock()
	if v := l.Registrar.View(); v != nil && v.Table != nil {
		j.setPriority(v.Table.Services[j.Service])
	}
	j.Returned = l.isReturned(j)
	j.Deadline = j.Arrived.Add(j.timeLimit() - answerMargin)
}

func (j *Job) timeLimit() time.Duration {
	d := defaultTimeout
	if j.Route.Timeout > 0 {
		d = j.Route.Timeout
	}
	if j.Patience > 0 {
		d = min(d, j.Patience)
	}
	return d
}

// returnedLimitShare is the part of the longest time limit seen on a route below which a caller
// must have waited before: the limits of first attempts differ by some 15 in 100.
const returnedLimitShare = 0.83

// isReturned reports whether the caller comes back after a refusal: callers state the rest of their
// time limit.
func (l *Relayer) isReturned(j *Job) bool {
	if j.Patience <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.longestTimeLimits == nil {
		l.longestTimeLimits = map[string]time.Duration{}
	}
	longest := max(l.longestTimeLimits[j.Route.Name], j.Patience)
	l.longestTimeLimits[j.Route.Name] = longest
	return float64(j.Patience) < returnedLimitShare*float64(longest)
}

// maxRetrySpread bounds the time over which callers that were refused together come back.
const maxRetrySpread = time.Second

// RetryAfter is the time to come back for a refused caller: the estimate plus a random part of up
// to as much, so that callers refused together don't come back together.
func (l *Relayer) RetryAfter(j *Job, e *RefusedError) time.Duration {
	d := e.RetryAfter
	if d <= 0 {
		d = defaultRetryAfter
	}
	if l.Placer.Without.Has(ablator.RetryJitter) {
		return d
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.priority != nil && e.Blame == nil && !l.Placer.Without.Has(ablator.PriorityRetry) {
		return j.priorityRetryAfter(d, j.Deadline.Sub(l.Clock.Now()), l.Random)
	}
	return d + time.Duration(l.Random.Int64N(int64(min(d, maxRetrySpread))+1))
}
