package localizer

import "time"

// counter counts events of the last seconds.
type counter struct {
	// counts are those of the seconds up to the one that began at last, in a ring.
	counts [8]int
	last   time.Time
	newest int
}

const counterSpan = time.Second

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.counts[c.newest]++
}

// advance begins a new second for each that has passed.
func (c *counter) advance(now time.Time) {
	if c.last.IsZero() || now.Sub(c.last) >= time.Duration(len(c.counts))*counterSpan {
		*c = counter{last: now}
	}
	for now.Sub(c.last) >= counterSpan {
		c.last = c.last.Add(counterSpan)
		c.newest = (c.newest + 1) % len(c.counts)
		c.counts[c.newest] = 0
	}
}

// since counts the events of some last seconds, the one under way besides.
func (c *counter) since(now time.Time, d time.Duration) int {
	c.advance(now)
	n := 0
	for i := range int(d/counterSpan) + 1 {
		n += c.counts[(c.newest-i+len(c.counts))%len(c.counts)]
	}
	return n
}
