package limiter

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	// heardFor is how long another entry's word on what it is asked counts.
	heardFor = 5 * time.Second
	// evenPart is the part of a limit that is divided evenly whatever is asked
	// where, so that a workspace's first request at an entry finds something.
	evenPart = 0.2
	// growth is how much of the whole limit an entry's part gains a second. It
	// falls at once but grows slowly, for a crowd that comes to all entries at
	// the same moment is seen by each as its own alone until the next exchange.
	growth = 0.05
	// reckonEvery is how often the part is worked out anew.
	reckonEvery = 100 * time.Millisecond
)

// demand is what is asked for one workspace, here and at other entries.
type demand struct {
	asked retrier.Rate
	heard map[string]heardRate
	// part is this entry's part of the limits, as of at.
	part float64
	at   time.Time
}

// heardRate is another entry's word.
type heardRate struct {
	rate float64
	at   time.Time
}

// reckon brings the part up to date for n live entries.
func (d *demand) reckon(now time.Time, n int) {
	if now.Sub(d.at) < reckonEvery {
		return
	}
	even := 1 / float64(n)
	grown := d.part + growth*now.Sub(d.at).Seconds()
	if now.Sub(d.at) > heardFor {
		grown = even
	}
	d.part, d.at = min(grown, d.wanted(now, n, even)), now
}

// wanted is the part in proportion to what is asked here, taking an entry that
// said nothing to be asked as much as this one.
func (d *demand) wanted(now time.Time, n int, even float64) float64 {
	own := d.asked.At(now)
	others, silent := 0.0, n-1
	for e, h := range d.heard {
		if now.Sub(h.at) > heardFor {
			delete(d.heard, e)
			continue
		}
		others += h.rate
		silent--
	}
	sum := own + others + own*float64(max(0, silent))
	if sum == 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/sum
}

// Asked is what is asked of this entry for each workspace with limits, in
// requests a second, for other entries to Hear; workspaces without requests are
// left out.
func (l *Limiter) Asked() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	asked := map[string]float64{}
	for name, u := range l.workspaces {
		if v := u.demand.asked.At(now); u.limits != (bundler.Limits{}) && v > negligible {
			asked[name] = v
		}
	}
	return asked
}

// negligible is a rate, in requests a second, not worth a word.
const negligible = 0.01

// Hear takes another entry's Asked. It may be late or missing: the limits are
// then divided a little wrong for as long.
func (l *Limiter) Hear(entry string, asked map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for name, u := range l.workspaces {
		if u.demand.heard == nil {
			u.demand.heard = map[string]heardRate{}
		}
		u.demand.heard[entry] = heardRate{rate: asked[name], at: now}
	}
}
