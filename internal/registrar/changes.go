package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxTombstones is how many deletions are kept for other processes. One that is further behind gets
// the whole state, some ten kilobytes.
const maxTombstones = 512

// deleteMissing deletes the known records that a whole batch doesn't contain.
func (r *Registrar) deleteMissing(b Batch) bool {
	present := make(map[string]bool, len(b.Records))
	for _, rec := range b.Records {
		present[rec.Key] = true
	}
	changed := false
	for _, key := range slices.Collect(maps.Keys(r.records)) {
		if rec := r.records[key]; !present[key] && !rec.Deleted && rec.Revision <= b.At {
			changed = r.applyRecord(Record{Key: key, Revision: b.At, Deleted: true}, b) || changed
		}
	}
	// Deletions up to here may have been missed, so they can't be reported to others.
	r.deletionFloor = max(r.deletionFloor, b.At)
	return changed
}

// ChangesSince returns the changes after a revision, for another process.
func (r *Registrar) ChangesSince(after uint64) Batch { return r.batchSince(after, false) }

// ChangesSinceWithAges returns these and the records of all weights whose announcements have known
// times, for a process that found them in the store when it started.
func (r *Registrar) ChangesSinceWithAges(after uint64) Batch { return r.batchSince(after, true) }

func (r *Registrar) batchSince(after uint64, ages bool) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Batch{
		After: after, At: r.revision, Age: r.Clock.Since(r.answeredAt), Unconfirmed: r.answeredAt.Sub(r.confirmedAt),
		OutageFor: r.outageDuration(), Whole: after < r.deletionFloor, Lost: r.lostStore(),
		Outages: r.outageReports(), ConfirmedBy: r.confirmedBy,
	}
	if r.confirmedAt.IsZero() {
		b.Unconfirmed = UnknownAge
	}
	if !r.weightsConfirmedAt.IsZero() {
		b.WeightsAge = r.Clock.Since(r.weightsAnsweredAt)
		b.WeightsUnconfirmed = max(1, r.weightsAnsweredAt.Sub(r.weightsConfirmedAt))
	}
	if after > r.revision {
		return b
	}
	now := r.Clock.Now()
	query := recordQuery{after: after, whole: b.Whole, ages: ages}
	if r.selected == nil || r.selected.recordQuery != query || now.Sub(r.selected.selectedAt) > selectionLifetime {
		r.selected = &selection{recordQuery: query, selectedAt: now, records: r.selectRecords(query)}
	}
	b.Records, b.RecordsAge = r.selected.records, now.Sub(r.selected.selectedAt)
	b.Age -= b.RecordsAge
	b.WeightsAge -= b.RecordsAge
	return b
}

// selectionLifetime is how long records selected for one process are used for others. Hundreds that
// start together send the same few queries; to select and compress thousands of records for each
// takes seconds of a small VM's processor, and the queries time out.
const selectionLifetime = 200 * time.Millisecond

// recordQuery selects all records, or those after a revision, and optionally the ages of weights.
type recordQuery struct {
	after       uint64
	whole, ages bool
}

// selection holds the records that a query selected.
type selection struct {
	recordQuery
	selectedAt time.Time
	records    []Record
}

func (r *Registrar) selectRecords(q recordQuery) []Record {
	var records []Record
	for _, rec := range r.records {
		selected := rec.Revision > q.after
		if q.whole {
			selected = !rec.Deleted
		}
		if selected || q.ages && !rec.Deleted && isDated(r.announcements[rec.Key]) {
			rec.Age, rec.Announcements = r.ageOf(rec), r.announcementReports(rec.Key)
			records = append(records, r.pack(rec))
		}
	}
	slices.SortFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	return records
}

func (r *Registrar) ageOf(rec Record) time.Duration {
	if rec.Deleted {
		return age(r.Clock.Now(), r.deletedAt[rec.Key])
	}
	return age(r.Clock.Now(), r.writtenAt[rec.Key])
}

// pruneTombstones drops the oldest deletions.
func (r *Registrar) pruneTombstones() {
	var gone []Record
	for _, rec := range r.records {
		if rec.Deleted {
			gone = append(gone, rec)
		}
	}
	if len(gone) <= maxTombstones {
		return
	}
	slices.SortFunc(gone, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, rec := range gone[:len(gone)-maxTombstones] {
		r.deletionFloor = max(r.deletionFloor, rec.Revision)
		delete(r.records, rec.Key)
		delete(r.writtenAt, rec.Key)
		delete(r.deletedAt, rec.Key)
	}
}
