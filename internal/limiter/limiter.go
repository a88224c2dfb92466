// Package limiter holds each workspace to its limits over all entries without
// any agreement between them, and shares an entry that is saturated fairly
// between workspaces.
package limiter

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// DefaultBorrow is the default of Limiter's Borrow.
const DefaultBorrow = 0.1

// Limiter enforces this entry's share of each workspace's limits. Set the fields
// before use. It is safe for concurrent use.
type Limiter struct {
	Clock clock.PassiveClock
	// Entries is the number of live entries, this one included.
	Entries func() int
	// Borrow is how far an entry may go beyond its part of a limit, as a share of
	// that part; 0 means DefaultBorrow, below 0 none.
	Borrow float64
	// Random spreads the times to come back; nil means the process's own source.
	Random *rand.Rand

	mu         sync.Mutex
	revision   uint64
	workspaces map[string]*usage
}

// usage is what one workspace uses of this entry.
type usage struct {
	limits   bundler.Limits
	demand   demand
	requests bucket
	tokens   bucket
	places   places
	// done is the rate at which requests end, returns when refused callers were
	// told to come back.
	done    retrier.Rate
	returns retrier.Returns
}

// SetBundle takes over the limits of a bundle; an older one is ignored. What
// runs and what buckets hold stays counted.
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

// Done gives the request's place back. Further calls do nothing.
func (t *Ticket) Done() {
	t.once.Do(func() {
		t.limiter.mu.Lock()
		defer t.limiter.mu.Unlock()
		t.limiter.end(t.usage)
	})
}

func (l *Limiter) end(u *usage) {
	now := l.Clock.Now()
	u.places.pass(now, l.share(u, now)*float64(u.limits.Concurrent))
	u.places.running--
	u.done.Add(now)
}

// share is this entry's part of each of a workspace's limits.
func (l *Limiter) share(u *usage, now time.Time) float64 {
	n := l.entries()
	u.demand.reckon(now, n)
	if n == 1 {
		return 1
	}
	return min(1, u.demand.part*(1+l.borrow()))
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

// Admit counts a request of so many tokens against its workspace's limits. A
// refusal is a *LimitedError or *UnknownWorkspaceError and counts nothing.
func (l *Limiter) Admit(workspace string, tokens int, _ int) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.workspaces[workspace]
	if u == nil {
		return nil, &UnknownWorkspaceError{Workspace: workspace}
	}
	now := l.Clock.Now()
	u.demand.asked.Add(now)
	if err := l.check(workspace, u, tokens, now); err != nil {
		return nil, err
	}
	u.requests.take(1)
	u.tokens.take(float64(tokens))
	u.places.running++
	return &Ticket{limiter: l, usage: u}, nil
}

// check fills the buckets up and reports the first limit reached.
func (l *Limiter) check(workspace string, u *usage, tokens int, now time.Time) error {
	share := l.share(u, now)
	most := share * float64(u.limits.Concurrent)
	u.places.pass(now, most)
	u.requests.fill(now, share*u.limits.RequestsPerSecond)
	u.tokens.fill(now, share*u.limits.TokensPerSecond)
	if most > 0 && !u.places.free(most) {
		return l.limited(workspace, u, "concurrent", u.done.Gap(now))
	}
	if wait := u.requests.wait(1); wait > 0 {
		return l.limited(workspace, u, "requestsPerSecond", wait)
	}
	if wait := u.tokens.wait(float64(tokens)); wait > 0 {
		return l.limited(workspace, u, "tokensPerSecond", wait)
	}
	return nil
}

// limited makes the refusal; gap is how long until the limit has room for one
// more, which is also the time between those who are told to come back.
func (l *Limiter) limited(workspace string, u *usage, limit string, gap time.Duration) error {
	after := u.returns.Next(l.Clock.Now(), gap, gap, l.Random)
	return &LimitedError{Workspace: workspace, Limit: limit, RetryAfter: after}
}
