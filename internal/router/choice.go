package router

import (
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Choice is the replica for one attempt. Its Done or Release must be called when
// the attempt is over.
type Choice struct {
	AgentID, Incarnation string
	Address              netip.AddrPort
	FailureDomain        string
	// Version and EngineStart are what the agent last proved; the reply must be
	// of both.
	Version, EngineStart string
	// Reason says why this replica, for the log line.
	Reason string

	router  *Router
	replica *replica
	pool    *pool
	picked  time.Time
	place   int
	done    bool
}

// Done gives the attempt back with its outcome. A replica that refused or failed
// is passed over for a short, spread time. Further calls do nothing.
func (c *Choice) Done(o retrier.Outcome) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if c.done {
		return
	}
	now := c.router.Clock.Now()
	c.giveBack(o != retrier.NotRun)
	c.router.judge(c.replica, o, now)
	if o == retrier.Ran {
		c.pool.rate.Add(now)
	}
}

// Release gives the attempt back without a judgement of the replica, for one
// that the caller itself cut short. Further calls do nothing.
func (c *Choice) Release() {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if !c.done {
		c.giveBack(true)
	}
}

// giveBack takes the choice out of the replica's own requests; ran tells whether
// the last report can have counted it as running.
func (c *Choice) giveBack(ran bool) {
	c.done = true
	c.pool.inflight--
	p := c.replica
	last := len(p.inflight) - 1
	p.inflight[c.place] = p.inflight[last]
	p.inflight[c.place].place = c.place
	p.inflight[last] = nil
	p.inflight = p.inflight[:last]
	switch {
	case c.picked.After(p.covered):
		p.fresh--
	case ran:
		p.settled++
	}
	p.update()
}

// judge sets how long a replica is passed over after an attempt. Without it the
// emptiest replica, which may be empty because it fails at once, would draw
// every request: seen as one VM taking most attempts and answering none. The
// spread keeps entries from returning to it together.
func (r *Router) judge(p *replica, o retrier.Outcome, now time.Time) {
	switch o {
	case retrier.Ran:
		p.failures = 0
		p.refusedUntil, p.failedUntil = time.Time{}, time.Time{}
	case retrier.NotRun:
		p.refusedUntil = r.until(now, orDuration(r.RefusedFor, DefaultRefusedFor))
	default:
		d := orDuration(r.FailedFor, DefaultFailedFor) << min(p.failures, 2)
		p.failures++
		p.failedUntil = r.until(now, d)
	}
}

func (r *Router) until(now time.Time, d time.Duration) time.Time {
	return now.Add(d + retrier.Jitter(d, r.Random))
}
