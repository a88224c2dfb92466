package limiter

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	// evenShare is the part of a limit that is divided evenly regardless of
	// demand, so that a workspace's first request at an entry is admitted.
	evenShare = 0.2
	// shareGrowthPerSecond bounds how fast an entry's share of a limit grows. A
	// share falls at once, but after a surge at all entries each of them counts
	// only its own demand until the next exchange.
	shareGrowthPerSecond = 0.05
)

// demand is the request rate of one workspace, at this entry and at the others.
type demand struct {
	requests retrier.Rate
	shares   DemandShares
	// share is this entry's share of the limits as of updated.
	share   float64
	updated time.Time
}

// update recomputes the share for n live entries.
func (d *demand) update(now time.Time, n int) {
	if now.Sub(d.updated) < shareInterval {
		return
	}
	maxShare := d.share + shareGrowthPerSecond*now.Sub(d.updated).Seconds()
	if now.Sub(d.updated) > reportTTL {
		maxShare = 1 / float64(n)
	}
	d.shares.Even = evenShare
	d.share, d.updated = min(maxShare, d.shares.Share(d.requests.At(now), n, now)), now
}

// Demand returns the request rate of each workspace with limits at this entry,
// in requests a second, for SetPeerDemand of other entries. Workspaces without
// requests are omitted.
func (l *Limiter) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	rates := map[string]float64{}
	for name, u := range l.workspaces {
		if v := u.demand.requests.At(now); u.limits != (bundler.Limits{}) && v > minDemand {
			rates[name] = v
		}
	}
	return rates
}

// minDemand is the rate, in requests a second, up to which a workspace is
// omitted.
const minDemand = 0.01

// SetPeerDemand stores the Demand of another entry. While it is late or missing, the
// limits are divided slightly wrong.
func (l *Limiter) SetPeerDemand(entry string, rates map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for name, u := range l.workspaces {
		u.demand.shares.SetDemand(entry, rates[name], now)
	}
}
