package registrar

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minReportLead is how much later than the last answer that a peer knows the store must have answered for a report
	// without records: about what a peer's answer ages on its way.
	minReportLead = 100 * time.Millisecond
	// maxReportedAge is the greatest age that a report may state; to add to a greater one might overflow.
	maxReportedAge = 100 * 365 * 24 * time.Hour
)

// WeightsBeyond returns what this process knows of weights beyond what a peer's batch covers, as a batch of weights only:
// the store's last confirmation and the records after the peer's revision. It is false if the peer knows as much.
func (r *Registrar) WeightsBeyond(peer Batch) (Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered, confirmed := r.lastAnswer(), r.weightsConfirmation()
	b := Batch{
		After: peer.At, At: r.revision, Age: r.Clock.Since(answered), Unconfirmed: answered.Sub(confirmed),
		ConfirmedBy: r.confirmedBy, WeightsOnly: true, Records: r.weightsAfter(peer.At),
	}
	return b, !confirmed.IsZero() && (len(b.Records) > 0 || answered.Sub(peer.lastAnswer()) > minReportLead)
}

// weightsAfter returns the records of weights after a revision, for another process.
func (r *Registrar) weightsAfter(revision uint64) []Record {
	var records []Record
	for _, rec := range r.records {
		if rec.Revision > revision && r.isWeights(rec.Key) {
			rec.Age, rec.Announcements = r.ageOf(rec), r.announcementReports(rec.Key)
			records = append(records, r.pack(rec))
		}
	}
	slices.SortFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	return records
}

// isWeights reports whether a key is known to hold the weights of a model.
func (r *Registrar) isWeights(key string) bool {
	_, hidden := r.hidden[key]
	_, ok := r.facts[key].(Weights)
	return ok || hidden
}

// ApplyWeights applies a batch from another process's WeightsBeyond that was sent at most transit ago, and reports whether
// anything changed. One that this process can't use is ignored.
func (r *Registrar) ApplyWeights(b Batch, transit time.Duration) bool {
	records, ok := unpackAll(b.Records)
	if !ok || !b.hasValidAges() || slices.ContainsFunc(records, r.isForeign) {
		klog.InfoS("Weights report ignored", append([]any{"age", b.Age, "records", len(b.Records)}, b.Source.logFields()...)...)
		return false
	}
	if b.AsOf.IsZero() {
		b.AsOf = r.Clock.Now()
	}
	b = Batch{
		After: b.After, At: b.At, Age: b.Age, Unconfirmed: b.Unconfirmed,
		ConfirmedBy: b.ConfirmedBy, WeightsOnly: true, Records: records, AsOf: b.AsOf, Source: b.Source,
	}.Older(transit)
	if slices.ContainsFunc(b.Records, func(rec Record) bool { return r.outlastsFailure(rec, b.AsOf) }) {
		return false
	}
	return r.Apply(b)
}

// outlastsFailure reports whether a record has an announcement that is dated by an outage, or would be here, and that its
// sender received after this process's last failed call. Once the next one ends, this process can tell how long the outage
// was, or, if it fails later than a call that started in the outage may, that it was none.
func (r *Registrar) outlastsFailure(rec Record, received time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rec.Revision > r.records[rec.Key].Revision && slices.ContainsFunc(rec.Announcements, func(n AnnouncementReport) bool {
		known := timeAtPositiveAge(received, n.KnownAge)
		if n.Age == UnknownAge || n.SinceAge == UnknownAge {
			return known.Add(maxLateFailure).After(r.unreachableAt)
		}
		return n.ConfirmedAge > 0 && known.After(r.unreachableAt)
	})
}

// refutesOutage reports whether a batch shows that the store answered another process after the last answer known here and
// before the last failed call, by the answer itself or by a record of weights that the other process received then.
func (r *Registrar) refutesOutage(b Batch) bool {
	isInOutage := func(t time.Time) bool { return t.After(r.lastAnswer()) && t.Before(r.unreachableAt) }
	return isInOutage(b.lastAnswer()) || b.WeightsOnly && slices.ContainsFunc(b.Records, func(rec Record) bool {
		return rec.Revision > r.records[rec.Key].Revision && slices.ContainsFunc(rec.Announcements, func(n AnnouncementReport) bool {
			return isInOutage(timeAtPositiveAge(b.AsOf, n.KnownAge))
		})
	})
}

// isForeign reports whether a record isn't one of weights.
func (r *Registrar) isForeign(rec Record) bool {
	// A record of weights that can't be decoded, as a deleted one, counts as one.
	f, _ := r.Decode(rec.Key, rec.Value)
	_, ok := f.(Weights)
	return !ok
}

// hasValidAges reports whether no time that a batch of weights states lies in the future. Old weights would look confirmed
// until then.
func (b Batch) hasValidAges() bool {
	valid := func(age time.Duration) bool { return age >= 0 && age <= maxReportedAge }
	for _, rec := range b.Records {
		for _, n := range rec.Announcements {
			for _, a := range []time.Duration{n.Age, n.SinceAge} {
				if a != UnknownAge && !valid(a) {
					return false
				}
			}
			if !valid(n.KnownAge) || !valid(n.ConfirmedAge) {
				return false
			}
		}
	}
	return valid(b.Age) && valid(b.Unconfirmed)
}
