package limiter

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	// evenPart is the part of a limit that is divided evenly whatever is asked
	// where, so that a workspace's first request at an entry finds something.
	evenPart = 0.2
	// growth is how much of the whole limit an entry's part gains a second. It
	// falls at once but grows slowly, for a crowd that comes to all entries at
	// the same moment is seen by each as its own alone until the next exchange.
	growth = 0.05
)

// demand is what is asked for one workspace, here and at other entries.
type demand struct {
	asked retrier.Rate
	parts Parts
	// part is this entry's part of the limits, as of at.
	part float64
	at   time.Time
}

// reckon brings the part up to date for n live entries.
func (d *demand) reckon(now time.Time, n int) {
	if now.Sub(d.at) < reckonEvery {
		return
	}
	grown := d.part + growth*now.Sub(d.at).Seconds()
	if now.Sub(d.at) > heardFor {
		grown = 1 / float64(n)
	}
	d.parts.Even = evenPart
	d.part, d.at = min(grown, d.parts.Part(d.asked.At(now), n, now)), now
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
		u.demand.parts.Hear(entry, asked[name], now)
	}
}
