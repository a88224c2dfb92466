package localizer

import "time"

// slidingCounter counts the events of the last few seconds.
type slidingCounter struct {
	// counts is a ring of counts per second; the newest second starts at newestStart.
	counts      [8]int
	newestStart time.Time
	newestIndex int
}

const counterInterval = time.Second

func (c *slidingCounter) add(now time.Time) {
	c.advance(now)
	c.counts[c.newestIndex]++
}

// advance starts a new second for each one that has passed.
func (c *slidingCounter) advance(now time.Time) {
	if c.newestStart.IsZero() || now.Sub(c.newestStart) >= time.Duration(len(c.counts))*counterInterval {
		*c = slidingCounter{newestStart: now}
	}
	for now.Sub(c.newestStart) >= counterInterval {
		c.newestStart = c.newestStart.Add(counterInterval)
		c.newestIndex = (c.newestIndex + 1) % len(c.counts)
		c.counts[c.newestIndex] = 0
	}
}

// countSince counts the events of the last d and of the current second.
func (c *slidingCounter) countSince(now time.Time, d time.Duration) int {
	c.advance(now)
	n := 0
	for i := range int(d/counterInterval) + 1 {
		n += c.counts[(c.newestIndex-i+len(c.counts))%len(c.counts)]
	}
	return n
}
