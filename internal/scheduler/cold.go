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

// add counts one that was let through whatever the limit, and forgets those that no longer
// matter for it: warm engines have no limit, and all that they ever got would be kept.
func (r *rateLimit) add(now time.Time, limit float64) {
	r.room(now, limit)
	r.passed = append(r.passed, now)
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

const (
	// coldPart is the part of a cold upstream's rate that entries divide among them; the
	// rest is for those that they do not know of.
	coldPart = 0.67
	// knownPart is how many of the entries each is taken to know at least. The division
	// holds while nobody counts fewer.
	knownPart = 2.0 / 3
	// windowPart takes the place of coldPart where entries send by windows: these bound
	// the mean, and the rest is a margin for chance.
	windowPart = 0.5
	// coldWindow is how long a window is. Within it an entry may send at once, so a burst
	// at all entries meets only those whose window is open.
	coldWindow = 100 * time.Millisecond
)

// RateShare is what an entry knows of an upstream's limit, such as a cold one's, which holds
// over all entries.
type RateShare struct {
	// Rate is how many requests a second the upstream bears, Bound how many may reach it
	// in a single second.
	Rate, Bound float64
	// Sharers is among how many entries that is divided.
	Sharers int
}

// few tells whether each entry may take its part whenever it likes. That holds while one
// request from everybody in the same second is within the bound, those included that this
// entry does not know.
func (s RateShare) few() bool { return float64(s.Sharers) <= s.Bound*knownPart }

// limit is how many requests a second each of few entries may send.
func (s RateShare) limit() float64 {
	limit := coldPart * s.Rate / float64(s.Sharers)
	if limit > 1 {
		// A part of a request would count as a whole one, at each entry.
		limit = float64(int(limit))
	}
	return limit
}

// window counts the windows of one of many entries, and tells whether one is open.
//
// Where there are many entries, one request from each would be more than the upstream bears.
// It would fall over just when all of them have requests for it, as after the return of a
// failure domain, and be cold again; one notices that it is told anew every few seconds. So
// each entry sends one request in each of its windows, which come once in a round. The phase
// is drawn by each entry for each upstream, so that windows lie spread over the round
// without anybody's word.
func (s RateShare) window(now time.Time, phase float64) (n int64, open bool) {
	round := int64(float64(time.Second) * float64(s.Sharers) / (windowPart * s.Rate))
	at := now.UnixNano() + int64(phase*float64(round))
	return at / round, at%round < int64(coldWindow)
}

// rateTurn is what an entry keeps on one such upstream.
type rateTurn struct {
	recent rateLimit
	// phase places the windows, as a part of a round, and last is the last one used.
	phase float64
	last  int64
	// sent is when a request last went out, and many when there were last many entries.
	sent, many time.Time
}

// pass tells whether one more may go out now.
//
// Entries that come and go make few of many and many of few. Were each to begin the new way
// at once, all that entries sent in the one way and in the other would meet in the same
// second, and be more than either allows. Hence the second's wait in both directions.
func (t *rateTurn) pass(now time.Time, share RateShare) bool {
	if share.few() {
		if now.Sub(t.many) < coldSecond {
			return false
		}
		if _, ok := t.recent.pass(now, share.limit()); !ok {
			return false
		}
		t.sent = now
		return true
	}
	t.many = now
	n, open := share.window(now, t.phase)
	if !open || n == t.last || now.Sub(t.sent) < coldSecond {
		return false
	}
	t.last, t.sent = n, now
	return true
}
