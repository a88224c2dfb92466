package limiter

import "time"

const (
	// heardFor is how long another entry's word counts.
	heardFor = 5 * time.Second
	// reckonEvery is how often parts are worked out anew.
	reckonEvery = 100 * time.Millisecond
)

// Parts divides something between entries by the demand at each, as far as they
// have told each other. Words may be late or missing: an entry that said nothing
// is taken to have as much as this one, which with no word at all gives even
// parts. The zero value is ready. It is not safe for concurrent use.
type Parts struct {
	// Even is how much is divided evenly whatever the demand, as a part of one.
	Even float64

	heard  map[string]word
	others float64
	at     time.Time
}

// word is what another entry said.
type word struct {
	demand float64
	at     time.Time
}

// Hear takes another entry's demand.
func (p *Parts) Hear(entry string, demand float64, now time.Time) {
	if p.heard == nil {
		p.heard = map[string]word{}
	}
	p.heard[entry] = word{demand: demand, at: now}
	p.at = time.Time{}
}

// Part is this entry's part of one, with a demand of own among n entries.
func (p *Parts) Part(own float64, n int, now time.Time) float64 {
	p.reckon(now)
	even := 1 / float64(n)
	silent := max(0, n-1-len(p.heard))
	sum := own + p.others + own*float64(silent)
	if sum == 0 {
		return even
	}
	return p.Even*even + (1-p.Even)*own/sum
}

// reckon adds up what others said, seldom: there may be hundreds.
func (p *Parts) reckon(now time.Time) {
	if now.Sub(p.at) < reckonEvery {
		return
	}
	p.at = now
	p.others = 0
	for e, w := range p.heard {
		if now.Sub(w.at) > heardFor {
			delete(p.heard, e)
			continue
		}
		p.others += w.demand
	}
}
