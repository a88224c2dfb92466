package localizer

import (
	"maps"
	"slices"
	"time"
)

// crash is one crash of an upstream, merged from the reports of all entries.
type crash struct {
	upstream string
	at       time.Time
	reports  map[string]*report
	// replyCounts holds the replies that other entries acknowledged for the replyWindow before, by entry.
	replyCounts map[string]int
	// parts and requests combine those of all reports.
	parts    map[string]bool
	requests int
}

// report is a Report and the sequence number of its last change.
type report struct {
	Report
	sequence uint64
}

// requestsWithout estimates how many interrupted requests lacked a part: reports don't count requests by part.
func (c *crash) requestsWithout(part string) int {
	if c.parts[part] {
		return c.requests - 1
	}
	return c.requests
}

// findOrAddCrash returns the crash of an upstream at a time and records it if it is new. The time distinguishes
// crashes, as an upstream may restart under the same name.
func (l *Localizer) findOrAddCrash(upstream string, at time.Time) *crash {
	for _, c := range slices.Backward(l.crashes) {
		if c.upstream == upstream && c.at.Sub(at).Abs() <= sameCrashWindow {
			if at.Before(c.at) {
				c.at = at
				l.sortCrashes()
			}
			return c
		}
	}
	c := &crash{upstream: upstream, at: at, reports: map[string]*report{}, replyCounts: map[string]int{}, parts: map[string]bool{}}
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

// merge merges a report and reports whether it added anything new.
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

// dropExpired drops old crashes, and replies to unsuspected parts when there are too many.
func (l *Localizer) dropExpired(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	if len(l.replies) <= maxReplies {
		return
	}
	maps.DeleteFunc(l.replies, func(part string, _ reply) bool { return l.blames[part] == nil && l.lastCrashTime(part).IsZero() })
}

// crashesPerPart counts the crashes that interrupted requests with each part.
func (l *Localizer) crashesPerPart() map[string]int {
	counts := map[string]int{}
	for _, c := range l.crashes {
		for part := range c.parts {
			counts[part]++
		}
	}
	return counts
}

// suspectParts lists, sorted, the parts whose requests were interrupted by at least minCrashes crashes.
func (l *Localizer) suspectParts() []string {
	var parts []string
	for part, n := range l.crashesPerPart() {
		if n >= minCrashes {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}
