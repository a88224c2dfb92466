// Package limiter holds each workspace to its limits over all entries without
// any agreement between them, and shares an entry that is saturated fairly
// between workspaces.
package limiter

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Limiter enforces this entry's share of each workspace's limits. Set the fields
// before use. It is safe for concurrent use.
type Limiter struct {
	Clock clock.PassiveClock
	// Entries is the number of live entries, this one included.
	Entries func() int
	// Borrow is how far an entry may go beyond its even share, as a part of the
	// share; 0 means 0.5. The deployment as a whole stays within 1+Borrow times
	// each limit, plus one request per entry.
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
	requests bucket
	tokens   bucket
	running  int
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
		t.usage.running--
	})
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
	if err := l.check(workspace, u, tokens); err != nil {
		return nil, err
	}
	u.requests.take(1)
	u.tokens.take(float64(tokens))
	u.running++
	return &Ticket{limiter: l, usage: u}, nil
}

// check fills the buckets up and reports the first limit reached.
func (l *Limiter) check(workspace string, u *usage, tokens int) error {
	now := l.Clock.Now()
	u.requests.fill(now, l.share(u.limits.RequestsPerSecond))
	u.tokens.fill(now, l.share(u.limits.TokensPerSecond))
	if most := u.limits.Concurrent; most > 0 && u.running >= l.places(most) {
		return &LimitedError{Workspace: workspace, Limit: "concurrent", RetryAfter: l.spread(time.Second)}
	}
	if wait := u.requests.wait(1); wait > 0 {
		return &LimitedError{Workspace: workspace, Limit: "requestsPerSecond", RetryAfter: l.spread(wait)}
	}
	if wait := u.tokens.wait(float64(tokens)); wait > 0 {
		return &LimitedError{Workspace: workspace, Limit: "tokensPerSecond", RetryAfter: l.spread(wait)}
	}
	return nil
}
