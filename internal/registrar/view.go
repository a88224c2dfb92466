package registrar

import (
	"slices"
	"strings"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// View is a snapshot of all facts. It is immutable.
type View struct {
	// Revision is the store's counter at the newest applied change.
	Revision uint64
	// Table is nil while no route table is known.
	Table *matcher.Table
	// Upstreams are sorted by ID. An upstream whose address belongs to a later start isn't among them.
	Upstreams []*UpstreamView
	// Members are sorted by ID.
	Members []Member
	// Blames are the stored results, by part.
	Blames map[string]localizer.Blame

	services map[string][]*UpstreamView
	drained  map[string]bool
	weights  map[string]WeightsView
	// unreadableSince are the times since which unreadable records may have stood for other versions, by model.
	unreadableSince map[string]time.Time
}

// UpstreamView is an upstream and the revision and time of its record.
type UpstreamView struct {
	Upstream
	// Revision is the store's counter at its record.
	Revision uint64
	// Learned is the latest time at which the record was written, by the registrar's clock.
	Learned time.Time

	clock     clock.PassiveClock
	coldUntil time.Time
}

// ColdFor returns how much longer it is cold; 0 if it is not. It is a duration and no time, as the
// caller may have another clock than the registrar.
func (u *UpstreamView) ColdFor() time.Duration { return max(0, u.coldUntil.Sub(u.clock.Now())) }

func newView(r *Registrar) *View {
	v := &View{
		Revision: r.revision,
		services: map[string][]*UpstreamView{},
		drained:  map[string]bool{},
		weights:  map[string]WeightsView{},
		Blames:   map[string]localizer.Blame{},

		unreadableSince: r.unreadableSince(),
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
			u := &UpstreamView{Upstream: f, Revision: r.records[key].Revision, Learned: r.writtenAt[key], clock: r.Clock, coldUntil: r.writtenAt[key].Add(f.Cold)}
			v.Upstreams = append(v.Upstreams, u)
		case Drained:
			v.drained[f.FailureDomain] = true
		case Weights:
			ns := r.announcements[key]
			v.weights[f.Model] = WeightsView{Weights: f, Learned: ns[len(ns)-1].Learned, Announcements: slices.Clone(ns)}
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

// Drained reports whether a failure domain gets no requests.
func (v *View) Drained(failureDomain string) bool { return v.drained[failureDomain] }

// Weights returns the version of a model that engines are to hold; false while none was announced.
func (v *View) Weights(model string) (WeightsView, bool) {
	w, ok := v.weights[model]
	return w, ok
}

// AnnouncedVersions returns the newest announced version of each model.
func (v *View) AnnouncedVersions() map[string]uint64 {
	versions := make(map[string]uint64, len(v.weights))
	for model, w := range v.weights {
		versions[model] = w.Version
	}
	return versions
}

// HeldVersion returns the version of a model that the upstream reports; 0 for none.
func (u *UpstreamView) HeldVersion(model string) uint64 {
	for _, m := range u.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}
