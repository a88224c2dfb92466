package scheduler

import "time"

// coldSecond is the span over which a cold upstream's requests are counted.
const coldSecond = time.Second

// rateLimit counts what was let through within the last second. A sliding count, and
// not tokens that are saved up: a cold upstream falls over under a burst after a pause.
type rateLimit struct{ passed []time.Time }

// pass lets one more through if fewer than limit were within the last second; else it
// tells how long until one may be.
func (r *rateLimit) pass(now time.Time, limit float64) (wait time.Duration, ok bool) {
	wait, ok = r.room(now, limit)
	if ok {
		r.passed = append(r.passed, now)
	}
	return wait, ok
}

// room tells whether one more may pass, without counting it.
func (r *rateLimit) room(now time.Time, limit float64) (wait time.Duration, ok bool) {
	span := coldSecond
	if limit > 0 && limit < 1 {
		// A part of one request a second is one in so many seconds.
		span, limit = time.Duration(float64(coldSecond)/limit), 1
	}
	kept := r.passed[:0]
	for _, t := range r.passed {
		if now.Sub(t) < span {
			kept = append(kept, t)
		}
	}
	r.passed = kept
	if float64(len(kept)) < limit || limit == 0 {
		return 0, true
	}
	return kept[0].Add(span).Sub(now), false
}
