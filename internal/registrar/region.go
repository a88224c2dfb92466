package registrar

import "time"

// longestUnconfirmed is how long after its last confirmation the store may have answered without one
// for an outage to follow the confirmation: a watch may hold its answer back for a second.
const longestUnconfirmed = 1200 * time.Millisecond

// RegionOutage reports that a process of a region had no answer of the store, with ages instead of
// moments.
type RegionOutage struct {
	Region string `json:"region"`
	// Since is how long ago the store last answered that process or anybody it knows of, at the
	// least; Until how long ago its last failed call ended, at the most.
	Since time.Duration `json:"since"`
	Until time.Duration `json:"until"`
}

// outageSpan is the time in which a process of a region had no answer of the store.
type outageSpan struct{ since, until time.Time }

// seesOutage tells whether all calls of this process have failed since the last known answer, and not for a cause of
// its own.
func (r *Registrar) seesOutage() bool {
	return !r.isCutOffAlone() && r.outage.After(r.answered) && !r.cutAnswer.After(r.confirmed) && r.outageSeen().After(r.answered)
}

// outageFor is for how long after the last known answer the store answered nobody, as far as is known.
func (r *Registrar) outageFor() time.Duration {
	until := r.outageSeen()
	if r.isCutOffAlone() {
		until = earlier(until, r.othersOutage)
	}
	return max(0, until.Sub(r.answered))
}

// regionOutages reports what is known of outages in all regions.
func (r *Registrar) regionOutages() []RegionOutage {
	if r.seesOutage() {
		r.noteOutage(r.Region, outageSpan{since: r.answered, until: r.outage})
	}
	now := r.Clock.Now()
	var reports []RegionOutage
	for region, s := range r.outages {
		if s.until.After(r.answered) {
			reports = append(reports, RegionOutage{Region: region, Since: now.Sub(s.since), Until: now.Sub(s.until)})
		}
	}
	return reports
}

// noteOutage keeps the latest of what is known of a region.
func (r *Registrar) noteOutage(region string, s outageSpan) {
	if r.outages == nil {
		r.outages = map[string]outageSpan{}
	}
	if s.until.After(r.outages[region].until) {
		r.outages[region] = s
	}
}

// outageOfAllRegions is until when processes of all regions had no answer of the store since its last
// confirmation; zero if some may have had one. The links from the store's region to all others may be
// saturated at once, and only a process there knows then that the store answers.
func (r *Registrar) outageOfAllRegions() time.Time {
	until := r.outageSeen()
	for region := range r.regions() {
		s := r.outages[region]
		if region == r.Region && r.seesOutage() && r.outage.After(s.until) {
			s = outageSpan{since: r.answered, until: r.outage}
		}
		if s.until.IsZero() || s.since.After(r.confirmed.Add(longestUnconfirmed)) {
			return time.Time{}
		}
		until = earlier(until, s.until)
	}
	return until
}

// regions are those of the entries that are known, and this process's own.
func (r *Registrar) regions() map[string]bool {
	regions := map[string]bool{r.Region: true}
	if v := r.view.Load(); v != nil {
		for _, m := range v.Members {
			regions[m.Region] = true
		}
	}
	return regions
}
