package localizer

import (
	"maps"
	"slices"
	"time"
)

// crash is one crash of an upstream, as all entries saw it.
type crash struct {
	upstream string
	at       time.Time
	reports  map[string]*report
	// counted is how many replies other entries had in the replyWindow before, by their answers.
	counted map[string]int
	// parts and requests join those of the reports.
	parts    map[string]bool
	requests int
}

// report is a Report and when it last changed.
type report struct {
	Report
	sequence uint64
}

// without is how many requests without a part it cut, nearly: reports don't count requests by part.
func (c *crash) without(part string) int {
	if c.parts[part] {
		return c.requests - 1
	}
	return c.requests
}

// crashOf is the crash of an upstream at a time, which is known from now on. An upstream may start again
// under the name that it had.
func (l *Localizer) crashOf(upstream string, at time.Time) *crash {
	for _, c := range slices.Backward(l.crashes) {
		if c.upstream == upstream && c.at.Sub(at).Abs() <= sameCrash {
			if at.Before(c.at) {
				c.at = at
				l.sortCrashes()
			}
			return c
		}
	}
	c := &crash{upstream: upstream, at: at, reports: map[string]*report{}, counted: map[string]int{}, parts: map[string]bool{}}
	l.crashes = append(l.crashes, c)
	l.sortCrashes()
	if n := len(l.crashes) - maxCrashes; n > 0 {
		l.crashes = slices.Delete(l.crashes, 0, n)
	}
	return c
}

func (l *Localizer) sortCrashes() {
	slices.SortStableFunc(l.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// merge takes a report in and tells whether it said anything new.
func (c *crash) merge(r Report, sequence uint64) bool {
	known := c.reports[r.Entry]
	if known == nil {
		if len(c.reports) >= maxReports {
			return false
		}
		known = &report{Report: Report{Upstream: r.Upstream, Entry: r.Entry}}
		c.reports[r.Entry] = known
	} else if r.Requests <= known.Requests {
		return false
	}
	c.requests += r.Requests - known.Requests
	known.Requests, known.Replies = r.Requests, max(known.Replies, r.Replies)
	for _, part := range r.Parts {
		if len(known.Parts) < maxParts && !slices.Contains(known.Parts, part) {
			known.Parts = append(known.Parts, part)
			c.parts[part] = true
		}
	}
	known.sequence = sequence
	return true
}

// forget drops what is too old.
func (l *Localizer) forget(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > crashesKept })
	if len(l.replies) <= maxReplies {
		return
	}
	maps.DeleteFunc(l.replies, func(part string, _ reply) bool { return l.blames[part] == nil && l.lastCrash(part).IsZero() })
}

// crashCounts counts the crashes that cut requests with each part.
func (l *Localizer) crashCounts() map[string]int {
	counts := map[string]int{}
	for _, c := range l.crashes {
		for part := range c.parts {
			counts[part]++
		}
	}
	return counts
}

// suspects are the parts of requests that were cut by at least leastCrashes crashes, sorted.
func (l *Localizer) suspects() []string {
	var parts []string
	for part, n := range l.crashCounts() {
		if n >= leastCrashes {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}
