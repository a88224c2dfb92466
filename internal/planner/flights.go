package planner

import (
	"slices"
	"time"
)

// slotsTaken is how many fetches hold a slot. Some that run for too long give theirs up:
// with every slot at slow peers, an agent would stand still beside quick ones.
func (t *Transfer) slotsTaken(now time.Time) int {
	overrun := 0
	for _, f := range t.flights {
		if t.slow(f, now) {
			overrun++
		}
	}
	return len(t.flights) - min(overrun, t.Slots)
}

// slow tells whether a fetch runs for much longer than is usual.
func (t *Transfer) slow(f flight, now time.Time) bool {
	return now.Sub(f.since) > t.patience()/2
}

func (t *Transfer) begin(o Order, now time.Time) {
	f := flight{Order: o, since: now}
	t.inFlight.Set(o.Chunk)
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight++
			f.across = p.Region != t.Region
		}
	case FromOrigin:
		t.drawing++
	}
	if f.across {
		t.bringing++
	}
	t.flights = append(t.flights, f)
}

// end takes a fetch out of the flights and gives how long it ran.
func (t *Transfer) end(o Order, now time.Time) time.Duration {
	i := slices.IndexFunc(t.flights, func(f flight) bool { return f.Order == o })
	if i < 0 {
		return 0
	}
	took := now.Sub(t.flights[i].since)
	if t.flights[i].across {
		t.bringing--
	}
	t.flights = slices.Delete(t.flights, i, i+1)
	if !slices.ContainsFunc(t.flights, func(f flight) bool { return f.Chunk == o.Chunk }) {
		t.inFlight.Clear(o.Chunk)
	}
	switch s := o.Source.(type) {
	case FromPeer:
		if p := t.peer(s.ID); p != nil {
			p.inFlight = max(0, p.inFlight-1)
		}
	case FromOrigin:
		t.drawing--
	}
	return took
}

// Done notes a verified chunk. It tells whether the chunk is new: two sources
// may have been asked for it.
func (t *Transfer) Done(o Order, now time.Time) bool {
	took := t.end(o, now)
	source := t.met(o.Source)
	source.slow = took > t.patience()/2
	source.failures = 0
	// One narrow link would else make the patience with all others several times as long.
	t.pace += (min(took, t.patience()) - t.pace) / 8
	t.lastGain = now
	if t.have.Has(o.Chunk) {
		return false
	}
	t.have.Set(o.Chunk)
	t.count++
	return true
}

// Failed notes a fetch that gave nothing.
func (t *Transfer) Failed(o Order, cause Cause, now time.Time) {
	t.end(o, now)
	p := t.met(o.Source)
	switch cause {
	case Busy:
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case NotHeld:
		if p.Have.Has(o.Chunk) {
			p.Have = slices.Clone(p.Have)
			p.Have.Clear(o.Chunk)
			t.recount()
		}
		p.busyUntil = now.Add(t.jitter(t.BusyBackoff))
	case Unavailable:
		if p == &t.origin {
			t.originDown = now
		}
		t.shun(p, now)
	case Corrupt:
		p.avoidUntil = now.Add(t.jitter(t.distrust(o.Source)))
		p.failures++
	}
}

// mostDoublings bounds the exponential backoff, so that a source which comes back
// after a long outage is noticed soon.
const mostDoublings = 3

// shun leaves a source that doesn't answer alone, longer with each failure.
func (t *Transfer) shun(p *peer, now time.Time) {
	wait := t.Patience << min(p.failures, mostDoublings)
	if p == &t.origin && t.OriginBackoff > 0 {
		wait = min(wait, t.OriginBackoff)
	}
	p.avoidUntil = now.Add(t.jitter(wait))
	p.failures++
}

// distrust is how long a source that sent a corrupt chunk is avoided. A peer
// with bad memory sends bad chunks again and again, while others have the same
// chunk; the origin is the last resort and can't be left for long.
func (t *Transfer) distrust(s Source) time.Duration {
	if _, ok := s.(FromPeer); ok {
		return t.AvoidFor
	}
	return t.BusyBackoff << min(t.origin.failures, mostDoublings)
}

// met is what was met with a source; for a peer no longer known, a blank.
func (t *Transfer) met(s Source) *peer {
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

// jitter spreads a wait over half to one and a half of d. Agents fail together,
// as when the origin goes down, and would all come back at the same moment.
func (t *Transfer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.Rand.Int64N(int64(d)+1))
}

func (p *peer) usable(now time.Time) bool {
	return !now.Before(p.avoidUntil) && !now.Before(p.busyUntil)
}
