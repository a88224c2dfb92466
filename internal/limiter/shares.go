package limiter

import "time"

const (
	// reportTTL is how long another entry's demand counts.
	reportTTL = 5 * time.Second
	// shareInterval is how often shares are recomputed.
	shareInterval = 100 * time.Millisecond
)

// DemandShares divides a quantity between entries by the demand at each, as far as
// they have reported it. Reports may be late or missing: an entry without a report is
// assumed to have as much demand as this one, which gives even shares without any
// reports. The zero value is ready to use. It is not safe for concurrent use.
type DemandShares struct {
	// Even is the fraction that is divided evenly regardless of demand.
	Even float64

	reports    map[string]report
	peerDemand float64
	summedAt   time.Time
}

// report is the demand that another entry reported.
type report struct {
	demand   float64
	received time.Time
}

// SetDemand stores another entry's demand.
func (s *DemandShares) SetDemand(entry string, demand float64, now time.Time) {
	if s.reports == nil {
		s.reports = map[string]report{}
	}
	s.reports[entry] = report{demand: demand, received: now}
	s.summedAt = time.Time{}
}

// Share is this entry's share, from 0 to 1, with a demand of own among n
// entries.
func (s *DemandShares) Share(own float64, n int, now time.Time) float64 {
	s.sumDemand(now)
	evenly := 1 / float64(n)
	unreported := max(0, n-1-len(s.reports))
	sum := own + s.peerDemand + own*float64(unreported)
	if sum == 0 {
		return evenly
	}
	return s.Even*evenly + (1-s.Even)*own/sum
}

// sumDemand adds up the demand of the other entries, rarely: there may be
// hundreds.
func (s *DemandShares) sumDemand(now time.Time) {
	if now.Sub(s.summedAt) < shareInterval {
		return
	}
	s.summedAt = now
	s.peerDemand = 0
	for e, r := range s.reports {
		if now.Sub(r.received) > reportTTL {
			delete(s.reports, e)
			continue
		}
		s.peerDemand += r.demand
	}
}
