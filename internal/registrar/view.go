package registrar

import (
	"slices"
	"strings"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// View is all facts at one moment. It is never changed.
type View struct {
	// Revision is the store's counter at the newest change taken in.
	Revision uint64
	// Table is nil while no route table is known.
	Table *matcher.Table
	// Upstreams are sorted by ID. An upstream whose address belongs to a later start isn't among them.
	Upstreams []*UpstreamView
	// Members are sorted by ID.
	Members []Member
	// Blames are those kept in the store, by part.
	Blames map[string]localizer.Blame

	services map[string][]*UpstreamView
	drained  map[string]bool
	weights  map[string]WeightsView
}

// UpstreamView is an upstream and when this process heard of it.
type UpstreamView struct {
	Upstream
	// Revision is the store's counter at its record.
	Revision uint64
	// Learned is when the record was written at the latest, by the registrar's clock.
	Learned time.Time

	clock     clock.PassiveClock
	coldUntil time.Time
}

// ColdFor is how much longer it is cold; 0 when it is not. It is a duration and no time, as
// whoever asks may have another clock than the registrar.
func (u *UpstreamView) ColdFor() time.Duration { return max(0, u.coldUntil.Sub(u.clock.Now())) }

func newView(r *Registrar) *View {
	v := &View{
		Revision: r.at,
		services: map[string][]*UpstreamView{},
		drained:  map[string]bool{},
		weights:  map[string]WeightsView{},
		Blames:   map[string]localizer.Blame{},
	}
	latest := r.latestStarts()
	for key, f := range r.facts {
		v.Revision = max(v.Revision, r.records[key].Revision)
		switch f := f.(type) {
		case Table:
			v.Table = f.Table
		case Upstream:
			if !latest.isLatest(f) || r.isReplaced(f) {
				continue
			}
			u := &UpstreamView{Upstream: f, Revision: r.records[key].Revision, Learned: r.learned[key], clock: r.Clock, coldUntil: r.learned[key].Add(f.Cold)}
			v.Upstreams = append(v.Upstreams, u)
		case Drained:
			v.drained[f.FailureDomain] = true
		case Weights:
			ns := r.namings[key]
			v.weights[f.Model] = WeightsView{Weights: f, Learned: ns[len(ns)-1].Learned, Namings: slices.Clone(ns)}
		case Member:
			v.Members = append(v.Members, f)
		case Blame:
			v.Blames[f.Part] = f.Blame
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b *UpstreamView) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	for _, u := range v.Upstreams {
		v.services[u.Service] = append(v.services[u.Service], u)
	}
	return v
}

// Service lists the upstreams of a service, sorted by ID.
func (v *View) Service(name string) []*UpstreamView { return v.services[name] }

// Drained tells whether a failure domain is to get nothing.
func (v *View) Drained(failureDomain string) bool { return v.drained[failureDomain] }

// Weights gives the version of a model that engines are to hold; false while none
// was named.
func (v *View) Weights(model string) (WeightsView, bool) {
	w, ok := v.weights[model]
	return w, ok
}

// Named gives the newest version of each model that was named.
func (v *View) Named() map[string]uint64 {
	named := make(map[string]uint64, len(v.weights))
	for model, w := range v.weights {
		named[model] = w.Version
	}
	return named
}

// Holds gives the version of a model that the upstream said it holds; 0 for none.
func (u *UpstreamView) Holds(model string) uint64 {
	for _, m := range u.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}
