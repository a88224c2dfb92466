package planner

import (
	"slices"
	"time"
)

// usedSlots is how many fetches occupy a slot. Up to Slots slow ones don't count: with
// every slot at slow peers, an agent would make no progress beside fast ones.
func (t *Transfer) usedSlots(now time.Time) int {
	overrun := 0
	for _, f := range t.fetches {
		if t.isSlowFetch(f, now) {
			overrun++
		}
	}
	return len(t.fetches) - min(overrun, t.Slots)
}

// isSlowFetch reports whether a fetch runs for much longer than usual.
func (t *Transfer) isSlowFetch(f fetch, now time.Time) bool {
	return now.Sub(f.started) > t.waitLimit()/2
}

func (t *Transfer) startFetch(o Order, now time.Time) {
	f := fetch{Order: o, started: now}
	t.inFlight.Set(o.Chunk)
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight++
			f.crossRegion = p.Region != t.Region
		}
	case FromOrigin:
		t.originFetches++
	}
	if f.crossRegion {
		t.crossRegionFetches++
	}
	t.fetches = append(t.fetches, f)
}

// endFetch removes a fetch in progress and returns how long it ran.
func (t *Transfer) endFetch(o Order, now time.Time) time.Duration {
	i := slices.IndexFunc(t.fetches, func(f fetch) bool { return f.Order == o })
	if i < 0 {
		return 0
	}
	took := now.Sub(t.fetches[i].started)
	if t.fetches[i].crossRegion {
		t.crossRegionFetches--
	}
	t.fetches = slices.Delete(t.fetches, i, i+1)
	if !slices.ContainsFunc(t.fetches, func(f fetch) bool { return f.Chunk == o.Chunk }) {
		t.inFlight.Clear(o.Chunk)
	}
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight = max(0, p.inFlight-1)
		}
	case FromOrigin:
		t.originFetches--
	}
	return took
}

// Done records a verified chunk and reports whether it is new: it may have been
// requested from two sources.
func (t *Transfer) Done(o Order, now time.Time) bool {
	took := t.endFetch(o, now)
	source := t.sourceState(o.Source)
	source.slow = took > t.waitLimit()/2
	source.failures = 0
	// A single narrow link would otherwise multiply the wait limit for all other sources.
	t.meanFetchTime += (min(took, t.waitLimit()) - t.meanFetchTime) / 8
	t.lastChunkAt = now
	if t.have.Has(o.Chunk) {
		return false
	}
	t.have.Set(o.Chunk)
	t.count++
	return true
}

// Failed records a failed fetch.
func (t *Transfer) Failed(o Order, cause Cause, now time.Time) {
	t.endFetch(o, now)
	p := t.sourceState(o.Source)
	switch cause {
	case Busy:
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case NotHeld:
		if p.Have.Has(o.Chunk) {
			p.Have = slices.Clone(p.Have)
			p.Have.Clear(o.Chunk)
			t.recountHolders()
		}
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case Unavailable:
		if p == &t.origin {
			t.originFailedAt = now
		}
		t.backOff(p, now)
	case Corrupt:
		p.avoidUntil = now.Add(t.jitter(t.corruptBackoff(o.Source)))
		p.failures++
	}
}

// maxDoublings bounds the exponential backoff, so that a source that recovers
// after a long outage is used again soon.
const maxDoublings = 3

// backOff avoids a source that doesn't answer, longer with each failure.
func (t *Transfer) backOff(p *peer, now time.Time) {
	wait := t.Patience << min(p.failures, maxDoublings)
	if p == &t.origin && t.OriginBackoff > 0 {
		wait = min(wait, t.OriginBackoff)
	}
	p.avoidUntil = now.Add(t.jitter(wait))
	p.failures++
}

// corruptBackoff is how long a source that sent a corrupt chunk is avoided. A
// peer with bad memory sends corrupt chunks repeatedly, while others have the
// same chunk; the origin is the last resort and can't be avoided for long.
func (t *Transfer) corruptBackoff(s Source) time.Duration {
	if _, ok := s.(FromPeer); ok {
		return t.AvoidFor
	}
	return t.BusyBackoff << min(t.origin.failures, maxDoublings)
}

// sourceState is the state of a source; an empty one for a peer that was
// removed.
func (t *Transfer) sourceState(s Source) *peer {
	switch s := s.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			return p
		}
		return new(peer)
	default:
		return &t.origin
	}
}

// jitter returns a random wait from 0.5 to 1.5 times d. Agents fail together,
// as when the origin goes down, and would otherwise retry at the same moment.
func (t *Transfer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.Rand.Int64N(int64(d)+1))
}

func (p *peer) usable(now time.Time) bool {
	return !now.Before(p.avoidUntil) && !now.Before(p.busyUntil)
}
