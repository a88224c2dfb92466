// Package limiter enforces each workspace's limits over all entries without any
// agreement between them, and divides a saturated entry fairly between
// workspaces.
package limiter

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// DefaultBorrow is the default of Limiter.Borrow.
const DefaultBorrow = 0.1

// Limiter enforces this entry's share of each workspace's limits. Set the fields
// before use. It is safe for concurrent use.
type Limiter struct {
	Clock clock.PassiveClock
	// Entries is the number of live entries, including this one.
	Entries func() int
	// Borrow is how far an entry may exceed its share of a limit, as a fraction
	// of that share; 0 means DefaultBorrow, below 0 none.
	Borrow float64
	// Random spreads retry times; nil means the process's own source.
	Random *rand.Rand

	mu         sync.Mutex
	revision   uint64
	workspaces map[string]*usage
}

// usage is one workspace's usage of this entry.
type usage struct {
	limits   bundler.Limits
	demand   demand
	requests bucket
	tokens   bucket
	slots    slots
	// completions is the rate at which requests end; retryTimes assigns retry
	// times to refused callers.
	completions retrier.Rate
	retryTimes  retrier.RetryTimes
}

// SetBundle applies the limits of a bundle; an older one is ignored. Running
// requests and bucket levels are kept.
func (l *Limiter) SetBundle(b *bundler.Bundle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.Revision < l.revision {
		return
	}
	l.revision = b.Revision
	next := make(map[string]*usage, len(b.Workspaces))
	for _, w := range b.Workspaces {
		u := l.workspaces[w.Name]
		if u == nil {
			u = new(usage)
		}
		u.limits = w.Limits
		next[w.Name] = u
	}
	l.workspaces = next
}

// Ticket is one admitted request.
type Ticket struct {
	limiter *Limiter
	usage   *usage
	once    sync.Once
}

// Done releases the request's slot. Further calls do nothing.
func (t *Ticket) Done() {
	t.once.Do(func() {
		t.limiter.mu.Lock()
		defer t.limiter.mu.Unlock()
		t.limiter.release(t.usage)
	})
}

func (l *Limiter) release(u *usage) {
	now := l.Clock.Now()
	u.slots.advance(now, l.limitShare(u, now)*float64(u.limits.Concurrent))
	u.slots.running--
	u.completions.Add(now)
}

// limitShare is this entry's share of each of a workspace's limits.
func (l *Limiter) limitShare(u *usage, now time.Time) float64 {
	n := l.entries()
	u.demand.update(now, n)
	if n == 1 {
		return 1
	}
	return min(1, u.demand.share*(1+l.borrow()))
}

func (l *Limiter) entries() int {
	if l.Entries == nil {
		return 1
	}
	return max(1, l.Entries())
}

func (l *Limiter) borrow() float64 {
	if l.Borrow == 0 {
		return DefaultBorrow
	}
	return max(0, l.Borrow)
}

// Admit counts a request of the given tokens against its workspace's limits. A
// refusal is a *LimitedError or *UnknownWorkspaceError and counts nothing.
func (l *Limiter) Admit(workspace string, tokens int, _ int) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.workspaces[workspace]
	if u == nil {
		return nil, &UnknownWorkspaceError{Workspace: workspace}
	}
	now := l.Clock.Now()
	u.demand.requests.Add(now)
	if err := l.check(workspace, u, tokens, now); err != nil {
		return nil, err
	}
	u.requests.take(1)
	u.tokens.take(float64(tokens))
	u.slots.running++
	return &Ticket{limiter: l, usage: u}, nil
}

// check fills the buckets and returns an error for the first limit exceeded.
func (l *Limiter) check(workspace string, u *usage, tokens int, now time.Time) error {
	share := l.limitShare(u, now)
	maxRunning := share * float64(u.limits.Concurrent)
	u.slots.advance(now, maxRunning)
	u.requests.fill(now, share*u.limits.RequestsPerSecond)
	u.tokens.fill(now, share*u.limits.TokensPerSecond)
	if maxRunning > 0 && !u.slots.hasFree(maxRunning) {
		return l.limitedError(workspace, u, "concurrent", u.completions.Gap(now))
	}
	if wait := u.requests.wait(1); wait > 0 {
		return l.limitedError(workspace, u, "requestsPerSecond", wait)
	}
	if wait := u.tokens.wait(float64(tokens)); wait > 0 {
		return l.limitedError(workspace, u, "tokensPerSecond", wait)
	}
	return nil
}

// limitedError builds the refusal. gap is the time until the limit admits one
// more request, which is also the interval between the retry times of refused
// callers.
func (l *Limiter) limitedError(workspace string, u *usage, limit string, gap time.Duration) error {
	after := u.retryTimes.Next(l.Clock.Now(), gap, gap, l.Random)
	return &LimitedError{Workspace: workspace, Limit: limit, RetryAfter: after}
}
