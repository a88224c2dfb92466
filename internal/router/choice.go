package router

import (
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Choice is the replica for one attempt. Done or Release must be called when the
// attempt is over.
type Choice struct {
	AgentID, Incarnation string
	Address              netip.AddrPort
	FailureDomain        string
	// Version and EngineStart are what the agent last proved; the reply must match
	// both.
	Version, EngineStart string
	// Reason is why this replica was chosen, for the log line.
	Reason string

	router  *Router
	replica *replica
	pool    *pool
	picked  time.Time
	index   int
	done    bool
}

// Done ends the attempt with its outcome. A replica that refused or failed is
// skipped for a short, randomized time. Further calls do nothing.
func (c *Choice) Done(o retrier.Outcome) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if c.done {
		return
	}
	now := c.router.Clock.Now()
	c.finish(o != retrier.NotRun)
	c.router.recordOutcome(c.replica, o, now)
	if o == retrier.Ran {
		c.pool.rate.Add(now)
	}
}

// Release ends the attempt without an outcome for the replica, for one that the
// caller cancelled. Further calls do nothing.
func (c *Choice) Release() {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if !c.done {
		c.finish(true)
	}
}

// finish removes the choice from the replica's own requests; ran reports whether
// the last report can include it as running.
func (c *Choice) finish(ran bool) {
	c.done = true
	c.pool.inflight--
	p := c.replica
	last := len(p.inflight) - 1
	p.inflight[c.index] = p.inflight[last]
	p.inflight[c.index].index = c.index
	p.inflight[last] = nil
	p.inflight = p.inflight[:last]
	switch {
	case c.picked.After(p.coveredUntil):
		p.uncovered--
	case ran:
		p.coveredDone++
	}
	p.updateTier()
}

// recordOutcome sets how long a replica is skipped after an attempt. Without it
// the emptiest replica, which may be empty because it fails at once, would
// receive every request: one VM takes most attempts and answers none. The
// randomized duration keeps entries from returning to it together.
func (r *Router) recordOutcome(p *replica, o retrier.Outcome, now time.Time) {
	switch o {
	case retrier.Ran:
		p.failures = 0
		p.refusedUntil, p.failedUntil = time.Time{}, time.Time{}
	case retrier.NotRun:
		p.refusedUntil = r.backoffUntil(now, orDuration(r.RefusedFor, DefaultRefusedFor))
	default:
		d := orDuration(r.FailedFor, DefaultFailedFor) << min(p.failures, 2)
		p.failures++
		p.failedUntil = r.backoffUntil(now, d)
	}
}

func (r *Router) backoffUntil(now time.Time, d time.Duration) time.Time {
	return now.Add(d + retrier.Jitter(d, r.Random))
}
