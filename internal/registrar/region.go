package registrar

import "time"

// maxUnconfirmed is how long after its last confirmation the store may have given an unconfirmed
// answer if an outage is to follow the confirmation: a watch may delay its answer for a second.
const maxUnconfirmed = 1200 * time.Millisecond

// RegionOutage reports that a process of a region got no answer from the store, with ages instead
// of times.
type RegionOutage struct {
	Region string `json:"region"`
	// Since is the least time since the store last answered that process or any known to it; Until
	// the greatest time since its last failed call ended.
	Since time.Duration `json:"since"`
	Until time.Duration `json:"until"`
}

// outageSpan is the time in which a process of a region got no answer from the store.
type outageSpan struct{ since, until time.Time }

// observesOutage reports whether all calls of this process have failed since the last known answer.
func (r *Registrar) observesOutage() bool {
	return r.unreachableAt.After(r.lastAnswer()) && !r.partialAnswerAt.After(r.extendedConfirmation()) &&
		r.locallyConfirmedUntil().After(r.lastAnswer())
}

// observedOutage returns the outage that observesOutage reports. After a gap between this process's calls it ends before
// that gap.
func (r *Registrar) observedOutage() outageSpan {
	return outageSpan{since: r.lastAnswer(), until: earlier(r.unreachableAt, r.locallyConfirmedUntil())}
}

// outageDuration returns how long after the last known answer the store answered no process.
func (r *Registrar) outageDuration() time.Duration {
	return max(0, r.locallyConfirmedUntil().Sub(r.lastAnswer()))
}

// outageReports returns the known outages in all regions.
func (r *Registrar) outageReports() []RegionOutage {
	if r.observesOutage() {
		r.recordRegionOutage(r.Region, r.observedOutage())
	}
	now := r.Clock.Now()
	var reports []RegionOutage
	for region, s := range r.outages {
		if s.until.After(r.lastAnswer()) {
			reports = append(reports, RegionOutage{Region: region, Since: now.Sub(s.since), Until: now.Sub(s.until)})
		}
	}
	return reports
}

// recordRegionOutage keeps the latest outage of a region.
func (r *Registrar) recordRegionOutage(region string, s outageSpan) {
	if r.outages == nil {
		r.outages = map[string]outageSpan{}
	}
	if s.until.After(r.outages[region].until) {
		r.outages[region] = s
	}
}

// allRegionsOutageEnd returns the time until which processes of all regions got no answer since the store's last
// confirmation; zero if some may have got one. The links from the store's region to all others may be saturated at
// once, and only a process there observes then that the store answers.
func (r *Registrar) allRegionsOutageEnd() time.Time {
	until := r.locallyConfirmedUntil()
	for region := range r.regions() {
		s := r.outages[region]
		if own := r.observedOutage(); region == r.Region && r.observesOutage() && own.until.After(s.until) {
			s = own
		}
		if s.until.IsZero() || s.since.After(r.extendedConfirmation().Add(maxUnconfirmed)) {
			return time.Time{}
		}
		until = earlier(until, s.until)
	}
	return until
}

// regions returns the regions of all known entries and of this process.
func (r *Registrar) regions() map[string]bool {
	regions := map[string]bool{r.Region: true}
	if v := r.view.Load(); v != nil {
		for _, m := range v.Members {
			regions[m.Region] = true
		}
	}
	return regions
}
