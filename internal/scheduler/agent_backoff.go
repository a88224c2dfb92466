package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

const (
	// initialBackoff is how long an agent that did not answer isn't asked; it doubles each time the agent fails
	// to answer again, up to maxBackoff. Each request to a VM that is gone takes a full timeout.
	initialBackoff = 700 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// probeTimeout is how long an unresponsive agent counts as being asked again by a request, so that no other
	// one asks as well: the time for an answer, and a margin.
	probeTimeout = 60 * time.Millisecond
	// probeOverdueAfter is after what time an unresponsive agent without a new probe is no longer ranked last.
	// At a low load requests find a slot before they reach it, and it would not be used again.
	probeOverdueAfter = time.Second
	// closedLoadValidity is how long an engine ranks as closed after its agent said so without a time at which it
	// opens. At a low load requests find a slot before they reach it, and it would not be used again.
	closedLoadValidity = time.Second
)

// RecordUnresponsive records that an upstream's agent did not answer; it isn't asked for a time. Gone reports
// that its VM refused the connection: this takes no time, and the process mostly restarts soon, so the backoff
// doesn't grow.
func (c *Chooser) RecordUnresponsive(id string, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, now := c.upstream(id), c.Clock.Now()
	u.processGone = gone
	switch {
	case c.Without.Has(ablator.UnresponsiveBackoff):
		return
	case gone:
		u.unansweredCount, u.backoffUntil = 0, now.Add(initialBackoff)
	case u.unansweredCount == 0 || u.probing:
		u.backoffUntil = now.Add(min(initialBackoff<<min(u.unansweredCount, 10), maxBackoff))
		u.unansweredCount++
	}
	// Otherwise several requests asked it before the first of them timed out.
	u.probing = false
}

// RecordAnswer records that an upstream's agent answered, without a load.
func (c *Chooser) RecordAnswer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(id).resetBackoff()
}

func (u *upstreamState) resetBackoff() {
	u.unansweredCount, u.backoffUntil, u.probing, u.processGone = 0, time.Time{}, false, false
}

// MayAsk reports whether an upstream's agent may be asked. An unresponsive one is asked again by one request at
// a time, and only by one that has encountered no other unresponsive agent.
func (c *Chooser) MayAsk(id string, foundUnresponsive bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, now := c.upstream(id), c.Clock.Now()
	if now.Before(u.backoffUntil) {
		return false
	}
	if u.unansweredCount == 0 {
		return true
	}
	if foundUnresponsive {
		return false
	}
	u.probing, u.backoffUntil = true, now.Add(probeTimeout)
	return true
}

// rankedLast reports whether an upstream's agent is unresponsive and to be asked after all others.
func (u *upstreamState) rankedLast(now time.Time) bool {
	return u.unansweredCount > 0 && now.Before(u.backoffUntil.Add(probeOverdueAfter))
}

// loadUnknown reports whether no load of an engine with an agent has been received since this process or the
// engine started, or the last one was that of a closed engine that may have opened since. The last load received from
// an open one counts whatever its age.
func (u *upstreamState) loadUnknown(k Candidate, now time.Time) bool {
	return k.Agent && (u.loadAt.IsZero() || !u.closedLoadUntil.IsZero() && !now.Before(u.closedLoadUntil))
}

// loadAverage averages the known loads of candidates.
type loadAverage struct {
	sum   time.Duration
	count int
}

// add counts a candidate's load, as a cost.
func (l *loadAverage) add(load time.Duration) {
	l.sum += load
	l.count++
}

// mean is the average; 0 if none is known.
func (l *loadAverage) mean() time.Duration { return l.sum / time.Duration(max(1, l.count)) }
