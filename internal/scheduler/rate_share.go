package scheduler

import "time"

// rateWindow is the span over which requests to an upstream are counted.
const rateWindow = time.Second

// slidingWindow counts the requests of the last second. It is no token bucket: a cold upstream crashes under a
// burst after a pause.
type slidingWindow struct{ sentAt []time.Time }

// allow records one more request if fewer than limit were sent within the last second; otherwise it returns how
// long to wait.
func (w *slidingWindow) allow(now time.Time, limit float64) (wait time.Duration, ok bool) {
	wait, ok = w.check(now, limit)
	if ok {
		w.sentAt = append(w.sentAt, now)
	}
	return wait, ok
}

// record counts a request regardless of the limit and drops entries that no longer matter: a warm engine has no
// limit, so its list would grow without bound.
func (w *slidingWindow) record(now time.Time, limit float64) {
	w.check(now, limit)
	w.sentAt = append(w.sentAt, now)
}

// check reports whether one more request is allowed, without counting it.
func (w *slidingWindow) check(now time.Time, limit float64) (wait time.Duration, ok bool) {
	span := rateWindow
	if limit > 0 && limit < 1 {
		// A fraction of one request per second is one request per longer span.
		span, limit = time.Duration(float64(rateWindow)/limit), 1
	}
	kept := w.sentAt[:0]
	for _, t := range w.sentAt {
		if now.Sub(t) < span {
			kept = append(kept, t)
		}
	}
	w.sentAt = kept
	if float64(len(kept)) < limit || limit == 0 {
		return 0, true
	}
	return kept[0].Add(span).Sub(now), false
}

const (
	// directShare is the part of a cold upstream's rate that entries divide among them; the rest is for unknown
	// entries.
	directShare = 0.67
	// knownEntriesShare is the least share of the entries that each entry is assumed to count. The division
	// holds unless an entry counts fewer.
	knownEntriesShare = 2.0 / 3
	// turnShare replaces directShare where entries send in turns: turns bound the mean, and the rest is a
	// margin for random overlap.
	turnShare = 0.5
	// turnLength is how long a turn lasts. Within it an entry may send at once, so of a burst at all entries
	// only those whose turn it is send.
	turnLength = 100 * time.Millisecond
)

// RateShare is an upstream's rate limit, such as that of a cold one, and the number of entries that share it.
type RateShare struct {
	// Rate is how many requests per second the upstream can take, Bound how many may reach it within any single
	// second.
	Rate, Bound float64
	// Sharers is the number of entries that divide the limit.
	Sharers int
}

// fewSharers reports whether each entry may use its share at any time. That holds while one request from every
// entry within the same second stays within the bound, including entries unknown here.
func (s RateShare) fewSharers() bool { return float64(s.Sharers) <= s.Bound*knownEntriesShare }

// perEntryLimit is the requests per second of each entry while there are few.
func (s RateShare) perEntryLimit() float64 {
	limit := directShare * s.Rate / float64(s.Sharers)
	if limit > 1 {
		// A fractional request would count as a whole one at each entry.
		limit = float64(int(limit))
	}
	return limit
}

// turnAt numbers the turns of one of many entries, and reports whether one is open.
//
// With many entries, one request from each exceeds what the upstream can take. It would crash just when all
// entries have requests for it, as after the return of a failure domain, and be cold again, which shows as a
// cold start every few seconds. So each entry sends one request per turn, and has one turn per round. Each
// entry draws a random phase for each upstream, which spreads the turns over the round without coordination.
func (s RateShare) turnAt(now time.Time, phase float64) (n int64, open bool) {
	round := int64(float64(time.Second) * float64(s.Sharers) / (turnShare * s.Rate))
	elapsed := now.UnixNano() + int64(phase*float64(round))
	return elapsed / round, elapsed%round < int64(turnLength)
}

// rateGate is an entry's state for one rate-limited upstream.
type rateGate struct {
	recent slidingWindow
	// phase is the turn's offset as a share of a round, and lastTurn the last turn used.
	phase    float64
	lastTurn int64
	// lastSent is when a request was last sent, lastManySharers when there were last many entries.
	lastSent, lastManySharers time.Time
}

// allow reports whether one more request may be sent, and records it.
//
// Entries that join and leave turn many into few and few into many. If each switched at once, the requests sent
// under both rules could fall within the same second and exceed the limit, so a switch in either direction
// takes a second.
func (g *rateGate) allow(now time.Time, share RateShare) bool {
	if share.fewSharers() {
		if now.Sub(g.lastManySharers) < rateWindow {
			return false
		}
		if _, ok := g.recent.allow(now, share.perEntryLimit()); !ok {
			return false
		}
		g.lastSent = now
		return true
	}
	g.lastManySharers = now
	n, open := share.turnAt(now, g.phase)
	if !open || n == g.lastTurn || now.Sub(g.lastSent) < rateWindow {
		return false
	}
	g.lastTurn, g.lastSent = n, now
	return true
}
