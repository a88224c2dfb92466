package relayer

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

// Admit completes a job of which request, route and workspace are known: the service that
// may serve it, whether its caller was refused before, and its deadline.
func (l *Relayer) Admit(j *Job) {
	l.mu.Lock()
	j.Service = j.Route.Target(l.Random.Float64())
	l.mu.Unlock()
	if v := l.Registrar.View(); v != nil && v.Table != nil {
		j.setPriority(v.Table.Services[j.Service])
	}
	j.Returned = l.returned(j)
	j.Deadline = j.Arrived.Add(j.limit() - answerMargin)
}

func (j *Job) limit() time.Duration {
	d := defaultTimeout
	if j.Route.Timeout > 0 {
		d = j.Route.Timeout
	}
	if j.Patience > 0 {
		d = min(d, j.Patience)
	}
	return d
}

// leastPatienceShare is below which part of the longest patience seen on a route a
// caller must have been waiting before: first attempts differ by some 15 in 100.
const leastPatienceShare = 0.83

// returned tells whether the caller comes back after a refusal: callers tell what is
// left of their patience.
func (l *Relayer) returned(j *Job) bool {
	if j.Patience <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.longestTimeLimits == nil {
		l.longestTimeLimits = map[string]time.Duration{}
	}
	most := max(l.longestTimeLimits[j.Route.Name], j.Patience)
	l.longestTimeLimits[j.Route.Name] = most
	return float64(j.Patience) < leastPatienceShare*float64(most)
}

// mostSpread is over how long callers that were refused together come back at most.
const mostSpread = time.Second

// RetryAfter is the time to come back that a refused caller is told: the estimate, and up to as much
// again so that those refused together don't come back together.
func (l *Relayer) RetryAfter(j *Job, e *RefusedError) time.Duration {
	d := e.RetryAfter
	if d <= 0 {
		d = busyRetry
	}
	if l.Placer.Without.Has(ablator.RetryJitter) {
		return d
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.standing != nil && e.Blame == nil && !l.Placer.Without.Has(ablator.PriorityRetry) {
		return j.retryAfter(d, j.Deadline.Sub(l.Clock.Now()), l.Random)
	}
	return d + time.Duration(l.Random.Int64N(int64(min(d, mostSpread))+1))
}
